import {
	Agent, type ClientRequest, type IncomingMessage, request,
} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyFraming, SendFailure} from '@egretrill/common';
import {Result} from 'true-myth';
import {AnswerProgress, ConnectionMonitor} from './connection-monitor.js';

/** Time for a connection to be established; a target that is cut off or without power answers nothing at all. */
export const FORWARD_CONNECT_TIMEOUT_MS = 250;

/** Idle connections kept to each target. */
export const MAX_IDLE_CONNECTIONS = 8;

/** Longest body that is read and dropped to keep its connection; refusals are short, and a target could send without end while the request runs elsewhere. */
export const MAX_DISCARD_BYTES = 65_536;

export type ForwardRequest = {
	readonly address: string;
	readonly method: string;
	readonly url: string;
	/** Header names and values in turn, written as they are. */
	readonly headers: string[];
	readonly body: Uint8Array;
	/** Whether a kept connection may carry the request, which its other end may have closed already. */
	readonly mayReuse: boolean;
};

const STATUS_SWITCHING_PROTOCOLS = 101;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** By what the parser recognises the end of the body, or why the answer cannot be read. */
function readFraming({headers, statusCode = 0}: IncomingMessage, method: string): Result<BodyFraming, string> {
	const {'transfer-encoding': coding, 'content-length': length} = headers;
	if (statusCode === STATUS_SWITCHING_PROTOCOLS) {
		return Result.err('The target changed the protocol.');
	}

	// Callers cannot read other codings, and their end may be that of the connection.
	if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
		return Result.err('The answer has a transfer coding other than chunks.');
	}

	if (method === 'HEAD' || statusCode === STATUS_NOT_MODIFIED) {
		return Result.ok('none');
	}

	if (statusCode === STATUS_NO_CONTENT) {
		// The parser would wait for the body that is announced.
		return coding === undefined && Number(length ?? 0) === 0 ? Result.ok('none') : Result.err('The answer announces a body that its status does not allow.');
	}

	if (coding !== undefined) {
		return Result.ok('chunks');
	}

	return Result.ok(length === undefined ? 'connection' : 'length');
}

/** Whether a connection whose end was just read has been reset. A reset that arrives together with data is reported as an orderly end, but leaves the connection without a remote address. Node remembers the address once it has been read, so that nothing may read it before. */
function isDisconnected(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/** An answer whose body is still to be read. */
export type ForwardAnswer = {
	readonly status: number;
	/** Header names and values in turn, as they came. */
	readonly rawHeaders: readonly string[];
	readonly body: AsyncIterable<Uint8Array>;
	/** By what the end of the body is recognised. */
	readonly framing: BodyFraming;
	/** Whether the body arrived to its end; meaningful once it has been read. */
	readonly isComplete: () => boolean;
	/** Reads and drops the body, so that the connection can be kept; a long one closes it. */
	readonly discard: () => void;
	/** Closes the connection. */
	readonly destroy: () => void;
};

/** Sends requests to targets byte for byte and gives back the head of the answer; it never retries. */
export class ForwardClient {
	private readonly agent = new Agent({keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo'});
	private readonly watches = new WeakMap<Socket, ConnectionMonitor>();

	/** Resolves with the answer, whose body is still to be read, or with whether the target may have received anything. */
	async send(message: ForwardRequest, signal: AbortSignal): Promise<Result<ForwardAnswer, SendFailure>> {
		const separator = message.address.lastIndexOf(':');
		return new Promise(resolve => {
			let isConnected = false;
			const fail = (code: string, reason: string): void => {
				resolve(Result.err({accepted: isConnected, code, reason}));
			};

			const progress = new AnswerProgress();
			const req = request({
				host: message.address.slice(0, separator),
				port: Number(message.address.slice(separator + 1)),
				method: message.method,
				path: message.url,
				headers: message.headers,
				agent: message.mayReuse ? this.agent : false,
				signal,
			});
			req.once('socket', socket => {
				this.watch(socket).expectAnswer(progress);
				whenConnected(req, socket, () => {
					isConnected = true;
				});
			});
			req.on('error', (err: NodeJS.ErrnoException) => {
				fail(err.code ?? 'ERR_EXCHANGE', err.message);
			});
			// The library closes a connection whose protocol changes without an error or an answer.
			req.once('close', () => {
				fail('ERR_EXCHANGE', 'The connection was closed without an answer.');
			});
			req.once('response', res => {
				const answer = openAnswer(res, message.method, progress);
				if (answer.isErr) {
					fail('ERR_ANSWER', answer.error);
					req.destroy();
					return;
				}

				resolve(Result.ok(answer.value));
			});
			req.end(message.body);
		});
	}

	close(): void {
		this.agent.destroy();
	}

	private watch(socket: Socket): ConnectionMonitor {
		const known = this.watches.get(socket);
		if (known) {
			return known;
		}

		const created = new ConnectionMonitor(socket);
		this.watches.set(socket, created);
		return created;
	}
}

/** Tells when a request has a connection, and gives up one that is not established in time. */
function whenConnected(req: ClientRequest, socket: Socket, tell: () => void): void {
	if (!socket.connecting) {
		tell();
		return;
	}

	const timer = setTimeout(() => {
		req.destroy(new Error(`No connection within ${FORWARD_CONNECT_TIMEOUT_MS} ms.`));
	}, FORWARD_CONNECT_TIMEOUT_MS);
	socket.once('connect', () => {
		tell();
		clearTimeout(timer);
	});
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/** Reads and drops a body, so that its connection can be kept; a longer one closes the connection. */
async function discardBody(body: AsyncIterable<Uint8Array>): Promise<void> {
	let bytes = 0;
	try {
		for await (const piece of body) {
			bytes += piece.length;
			if (bytes > MAX_DISCARD_BYTES) {
				// Leaving the loop closes the connection.
				return;
			}
		}
	} catch {
		// Nobody waits for this body, so that its early end matters to nobody.
	}
}

/** The answer that a head begins, or why none can be read. */
function openAnswer(res: IncomingMessage, method: string, progress: AnswerProgress): Result<ForwardAnswer, string> {
	// Later failures reach the reader of the body; without a listener they would end the process.
	res.on('error', () => undefined);
	const framing = readFraming(res, method);
	if (framing.isErr) {
		return Result.err(framing.error);
	}

	const {socket} = res;
	let wasReset = false;
	if (framing.value === 'connection') {
		socket.prependOnceListener('end', () => {
			wasReset = isDisconnected(socket);
		});
	}

	progress.start(res);
	const body = progress.readBody(res);
	return Result.ok({
		status: res.statusCode ?? 0,
		rawHeaders: res.rawHeaders,
		body,
		framing: framing.value,
		// The library takes any end of a connection, also a reset, for the end of a body without a length.
		isComplete: () => res.complete && !socket.errored && !wasReset,
		discard() {
			void discardBody(body);
		},
		destroy() {
			res.destroy();
		},
	});
}
