import {
	Agent, type ClientRequest, type IncomingMessage, request,
} from 'node:http';
import type {Socket, SocketConstructorOpts} from 'node:net';
import type {DuplexOptions} from 'node:stream';
import {
	type BodyFraming, hasOtherCoding, type HostAndPort, type OutgoingMessage, parseSocketAddress, type SendFailure, type TargetAnswer, TurnQueue,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {AnswerProgress, ConnectionMonitor} from './connection-monitor.js';

/** Timeout for establishing a connection. A target that is partitioned or powered off does not even refuse the connection. */
export const FORWARD_CONNECT_TIMEOUT_MS = 250;

/** Idle connections kept open to each target. */
export const MAX_IDLE_CONNECTIONS = 8;

/** Longest body that is read and discarded to reuse its connection. Refusals are short, and a target could send an endless body while the request is already retried elsewhere. */
export const MAX_DISCARD_BYTES = 65_536;

const STATUS_SWITCHING_PROTOCOLS = 101;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Option that Node passes on to the socket. All that a read brings is parsed at once, so a connection is not read again until most of the body so far is taken. */
const connectionOptions: SocketConstructorOpts & DuplexOptions = {readableHighWaterMark: 1024};

/** Returns how the parser detects the end of the body, or why the answer cannot be read. */
function readFraming({headers, statusCode = 0}: IncomingMessage, method: string): Result<BodyFraming, string> {
	const {'transfer-encoding': coding, 'content-length': length} = headers;
	if (statusCode === STATUS_SWITCHING_PROTOCOLS) {
		return Result.err('The target changed the protocol.');
	}

	if (hasOtherCoding(headers)) {
		return Result.err('The answer has a transfer coding other than chunks.');
	}

	if (method === 'HEAD' || statusCode === STATUS_NOT_MODIFIED) {
		return Result.ok('none');
	}

	if (statusCode === STATUS_NO_CONTENT) {
		// The parser would wait for the body that the headers announce.
		return coding === undefined && Number(length ?? 0) === 0 ? Result.ok('none') : Result.err('The answer announces a body that its status does not allow.');
	}

	if (coding !== undefined) {
		return Result.ok('chunks');
	}

	return Result.ok(length === undefined ? 'connection' : 'length');
}

/**
 * Whether a connection whose end was just read has been reset. Node reports a reset that arrives together with data as a
 * normal end, but the socket then has no remote address. Node caches the address on first access, so nothing may read it
 * earlier.
 */
function isDisconnected(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/** Sends requests to targets unchanged and returns the head of the answer. Never retries. */
export class ForwardClient {
	private readonly agent = new Agent({keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo'});
	private readonly monitors = new WeakMap<Socket, ConnectionMonitor>();

	/** Answers share the turns of the event loop with the other work that waits for them. */
	constructor(private readonly turns = new TurnQueue()) {}

	/** Resolves with the answer, whose body has not been read yet, or with a failure that says whether the target may have received the request. Never rejects. */
	async send(forwardReq: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		const address = parseSocketAddress(forwardReq.address);
		if (!address) {
			return Result.err({accepted: false, code: 'ERR_ADDRESS', reason: 'The address of the target cannot be used.'});
		}

		const created = this.createRequest(forwardReq, address);
		return created.isErr ? Result.err(created.error) : this.exchange(created.value, forwardReq, signal);
	}

	/** Whether an idle connection to the address is open, so that the next request that may reuse one needs no new connection. */
	hasIdleConnection(address: string): boolean {
		const parsed = parseSocketAddress(address);
		const idle = parsed && this.agent.freeSockets[this.agent.getName(parsed)];
		return idle?.some(socket => !socket.destroyed && socket.writable) ?? false;
	}

	close(): void {
		this.agent.destroy();
	}

	/** Creates a request, of which nothing is written yet. Node throws if its method, path or a header is invalid. */
	private createRequest({method, url, headers, mayReuse}: OutgoingMessage, address: HostAndPort): Result<ClientRequest, SendFailure> {
		try {
			return Result.ok(request({
				...address, ...connectionOptions, method, path: url, headers, agent: mayReuse ? this.agent : false,
			}));
		} catch (err: unknown) {
			const {code = 'ERR_REQUEST', message} = err as NodeJS.ErrnoException;
			return Result.err({accepted: false, code, reason: message});
		}
	}

	/** Writes a request and resolves with the head of its answer. */
	private async exchange(req: ClientRequest, {method, body}: OutgoingMessage, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
		return new Promise(resolve => {
			let isConnected = false;
			const fail = (code: string, reason: string): void => {
				resolve(Result.err({accepted: isConnected, code, reason}));
			};

			const progress = new AnswerProgress(this.turns);
			req.once('socket', socket => {
				this.getMonitor(socket).expectAnswer(progress);
				whenConnected(req, socket, () => {
					isConnected = true;
				});
			});
			req.on('error', (err: NodeJS.ErrnoException) => {
				fail(err.code ?? 'ERR_EXCHANGE', err.message);
			});
			// Node closes a connection that switches protocols without emitting an error or a response.
			req.once('close', () => {
				fail('ERR_EXCHANGE', 'The connection was closed without an answer.');
			});
			req.once('response', res => {
				const answer = createAnswer(res, method, progress);
				if (answer.isErr) {
					fail('ERR_ANSWER', answer.error);
					req.destroy();
					return;
				}

				resolve(Result.ok(answer.value));
			});
			destroyOnAbort(req, signal);
			req.end(body);
		});
	}

	private getMonitor(socket: Socket): ConnectionMonitor {
		const existing = this.monitors.get(socket);
		if (existing) {
			return existing;
		}

		const created = new ConnectionMonitor(socket);
		this.monitors.set(socket, created);
		return created;
	}
}

/** Destroys a request with its connection when the signal aborts. Node's option of the same purpose watches several events of each request. */
function destroyOnAbort(req: ClientRequest, signal: AbortSignal): void {
	const abort = (): void => {
		req.destroy(Object.assign(new Error('The request was aborted.'), {code: 'ABORT_ERR'}));
	};

	if (signal.aborted) {
		abort();
		return;
	}

	signal.addEventListener('abort', abort, {once: true});
	req.once('close', () => {
		signal.removeEventListener('abort', abort);
	});
}

/** Calls back when the request's connection is established; destroys the request if that takes too long. */
function whenConnected(req: ClientRequest, socket: Socket, onConnected: () => void): void {
	if (!socket.connecting) {
		onConnected();
		return;
	}

	const timer = setTimeout(() => {
		req.destroy(new Error(`No connection within ${FORWARD_CONNECT_TIMEOUT_MS} ms.`));
	}, FORWARD_CONNECT_TIMEOUT_MS);
	socket.once('connect', () => {
		onConnected();
		clearTimeout(timer);
	});
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/** Reads and discards a body so that its connection can be reused; closes the connection if the body exceeds the limit. */
async function discardBody(body: AsyncIterable<Uint8Array>): Promise<void> {
	let bytes = 0;
	try {
		for await (const chunk of body) {
			bytes += chunk.length;
			if (bytes > MAX_DISCARD_BYTES) {
				// Leaving the loop destroys the stream and closes the connection.
				return;
			}
		}
	} catch {
		// The body is not used, so its failure needs no handling.
	}
}

/** Creates the answer for a received head, or returns why it cannot be read. */
function createAnswer(res: IncomingMessage, method: string, progress: AnswerProgress): Result<TargetAnswer, string> {
	// The consumer of the body receives later errors; without a listener they would terminate the process.
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
		isConnectionReused: progress.isConnectionReused,
		// Node treats any end of the connection, also a reset, as the end of a body without a length.
		isComplete: () => res.complete && !socket.errored && !wasReset,
		discard() {
			void discardBody(body);
		},
		destroy() {
			res.destroy();
		},
	});
}
