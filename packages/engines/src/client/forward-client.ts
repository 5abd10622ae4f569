import {Agent, type IncomingMessage, request} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyFraming, SendFailure} from '@egretrill/common';
import {Result} from 'true-myth';

/** Time for a connection to be established; a target that is cut off or without power answers nothing at all. */
export const FORWARD_CONNECT_MS = 250;

/** Idle connections kept to each target. */
export const MAX_IDLE_CONNECTIONS = 8;

export type ForwardMessage = {
	readonly address: string;
	readonly method: string;
	readonly url: string;
	/** Header names and values in turn, written as they are. */
	readonly headers: string[];
	readonly body: Uint8Array;
	/** Whether a kept connection may carry the request, which its other end may have closed already. */
	readonly mayReuse: boolean;
};

/** Kept connections to targets; one on which bytes arrive that belong to no request is closed. */
class ForwardAgent extends Agent {
	private readonly guards = new WeakMap<Socket, () => void>();

	constructor() {
		super({keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo'});
	}

	override keepSocketAlive(socket: Socket): boolean {
		// The types leave out that the library answers whether the connection is kept.
		const keep = super.keepSocketAlive as unknown as (socket: Socket) => boolean;
		const isKept = keep.call(this, socket);
		if (isKept) {
			const guard = (): void => {
				socket.destroy();
			};

			this.guards.set(socket, guard);
			socket.on('data', guard);
		}

		return isKept;
	}

	override reuseSocket(socket: Socket, req: Parameters<Agent['reuseSocket']>[1]): void {
		const guard = this.guards.get(socket);
		if (guard) {
			socket.off('data', guard);
			this.guards.delete(socket);
		}

		super.reuseSocket(socket, req);
	}
}

const STATUS_SWITCHING_PROTOCOLS = 101;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** By what the parser recognises the end of the body; undefined for a transfer coding that callers cannot read, and that may end by chunks or by the connection. */
function getFraming({headers, statusCode = 0}: IncomingMessage, method: string): BodyFraming | undefined {
	const coding = headers['transfer-encoding'];
	if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
		return undefined;
	}

	if (method === 'HEAD' || bodilessStatuses.has(statusCode)) {
		return 'none';
	}

	if (coding !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}

/** Whether a connection whose end was just read has been reset. A reset that arrives together with data is reported as an orderly end, but leaves the connection without a remote address. */
function isDisconnected(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/** An answer whose body is still to be read. */
export type ForwardAnswer = {
	readonly message: IncomingMessage;
	/** By what the end of the body is recognised. */
	readonly framing: BodyFraming;
	/** Whether the body arrived to its end; meaningful once it has been read. */
	readonly isComplete: () => boolean;
};

/** Sends requests to targets byte for byte and gives back the head of the answer; it never retries. */
export class ForwardClient {
	private readonly agent = new ForwardAgent();

	/** Resolves with the answer, whose body is still to be read, or with whether the target may have received anything. */
	async send(message: ForwardMessage, signal: AbortSignal): Promise<Result<ForwardAnswer, SendFailure>> {
		const separator = message.address.lastIndexOf(':');
		return new Promise(resolve => {
			let isConnected = false;
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
				if (!socket.connecting) {
					isConnected = true;
					return;
				}

				const timer = setTimeout(() => {
					req.destroy(new Error(`No connection within ${FORWARD_CONNECT_MS} ms.`));
				}, FORWARD_CONNECT_MS);
				socket.once('connect', () => {
					isConnected = true;
					clearTimeout(timer);
				});
				socket.once('close', () => {
					clearTimeout(timer);
				});
			});
			req.on('error', (err: NodeJS.ErrnoException) => {
				resolve(Result.err({accepted: isConnected, code: err.code ?? 'ERR_EXCHANGE', reason: err.message}));
			});
			// The library closes a connection whose protocol changes without an error or an answer.
			req.once('close', () => {
				resolve(Result.err({accepted: isConnected, code: 'ERR_EXCHANGE', reason: 'The connection was closed without an answer.'}));
			});
			req.once('response', res => {
				// Later failures reach the reader of the body; without a listener they would end the process.
				res.on('error', () => undefined);
				const {socket} = res;
				let wasReset = false;
				const framing = getFraming(res, message.method);
				if (framing === undefined) {
					req.destroy();
					resolve(Result.err({accepted: true, code: 'ERR_TRANSFER_CODING', reason: 'The answer has a transfer coding other than chunks.'}));
					return;
				}

				if (res.statusCode === STATUS_SWITCHING_PROTOCOLS) {
					req.destroy();
					resolve(Result.err({accepted: true, code: 'ERR_PROTOCOL', reason: 'The target changed the protocol.'}));
					return;
				}

				if (framing === 'connection') {
					socket.prependOnceListener('end', () => {
						wasReset = isDisconnected(socket);
					});
				}

				resolve(Result.ok({
					message: res,
					framing,
					// The library takes any end of a connection, also a reset, for the end of a body without a length.
					isComplete: () => res.complete && !socket.errored && !wasReset,
				}));
			});
			req.end(message.body);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}
