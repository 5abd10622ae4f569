import {Buffer} from 'node:buffer';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import got, {
	type Request as GotRequest, RequestError, type Response, TimeoutError,
} from 'got';
import {Result} from 'true-myth';
import type {
	SendFailure, TargetAddress, TargetRequest, TargetResponse,
} from './target-client.js';
import {
	DEADLINE_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TARGET_CONNECT_TIMEOUT_MS,
} from './constants.js';
import {isAnswerStatus} from './answer-status.js';
import {hasOtherCoding} from './transfer-coding.js';

/** Error codes of failures that occur before any byte of a request has left this host. */
const unsentErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);

/** System calls that fail before there is a connection. Reading from an established one may fail with the same codes. */
const connectSyscalls: ReadonlySet<string> = new Set(['bind', 'connect', 'getaddrinfo']);

const STATUS_SWITCHING_PROTOCOLS = 101;

const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** Answers with these statuses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether connecting failed; Node joins the errors of a name with several addresses. */
function isConnectError(err: unknown): boolean {
	return err instanceof AggregateError
		? err.errors.every(part => isConnectError(part))
		: connectSyscalls.has((err as NodeJS.ErrnoException | undefined)?.syscall ?? '');
}

function isUnsent(err: unknown): boolean {
	if (err instanceof TimeoutError) {
		return err.event === 'connect' || err.event === 'lookup';
	}

	return err instanceof RequestError && unsentErrorCodes.has(err.code) && isConnectError(err.cause);
}

/** Describes a failed exchange and whether the target may have received any of the request. */
export function toSendFailure(err: unknown): SendFailure {
	const code = err instanceof RequestError ? err.code : 'ERR_EXCHANGE';
	const reason = err instanceof Error ? err.message : 'The exchange failed.';
	return {accepted: !isUnsent(err), code, reason};
}

function getHeaders(response: Response): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(response.headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? '']));
}

function createRequestHeaders(req: TargetRequest): Record<string, string> {
	return {
		...req.headers,
		[REQUEST_ID_HEADER]: req.requestId,
		[DEADLINE_HEADER]: String(Math.max(0, Math.round(req.deadlineMs))),
		...(req.resumeFrom !== undefined && {[RESUME_HEADER]: String(req.resumeFrom)}),
	};
}

/** Whether the body has neither a length nor chunked framing, so that only the close of the connection ends it. */
function isCloseDelimited({headers, statusCode}: Response, method: string): boolean {
	const hasNoBody = method === 'HEAD' || bodilessStatuses.has(statusCode);
	return !hasNoBody && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Returns a function that reports whether the connection was reset. Node reports a reset that arrives together with data as an orderly end, but the socket then has no remote address. */
function detectReset(socket: Socket): () => boolean {
	let isDisconnected = false;
	socket.prependOnceListener('end', () => {
		isDisconnected = socket.remoteAddress === undefined;
	});
	return () => isDisconnected || Boolean(socket.errored);
}

/** Yields a body and throws at its end if the connection was reset, which the library treats as the regular end of a body without a length. */
async function * failAfterReset(body: AsyncIterable<Uint8Array>, wasReset: () => boolean): AsyncGenerator<Uint8Array, void> {
	yield * body;
	if (wasReset()) {
		throw new Error('The connection was reset before the end of the answer.');
	}
}

/** Calls back when a request gets its connection, which may be a kept-alive one. */
function whenConnected(req: ClientRequest, onConnected: () => void): void {
	const watch = (socket: Socket): void => {
		if (socket.connecting) {
			socket.once('connect', onConnected);
		} else {
			onConnected();
		}
	};

	if (req.socket) {
		watch(req.socket);
	} else {
		req.once('socket', watch);
	}
}

/** The server switched protocols instead of answering. */
export class ProtocolSwitchError extends Error {
	override readonly name = 'ProtocolSwitchError';
	override readonly message = 'The server switched protocols.';
}

/** Calls back when a server switches protocols. The HTTP library reports neither an answer nor an error then, its time limit no longer applies, and an error of the connection would end the process. */
export function onProtocolSwitch(req: ClientRequest, onSwitch: () => void): void {
	req.once('upgrade', (_res: IncomingMessage, socket: Duplex) => {
		socket.destroy();
		onSwitch();
	});
}

/** Returns why an answer cannot be read. */
function findFault({statusCode, headers}: Response): Error | undefined {
	if (statusCode === STATUS_SWITCHING_PROTOCOLS) {
		return new ProtocolSwitchError();
	}

	if (!isAnswerStatus(statusCode)) {
		return new Error(`The answer has the invalid status ${statusCode}.`);
	}

	return hasOtherCoding(headers) ? new Error('The answer has a transfer coding other than chunks.') : undefined;
}

/** Creates the exchange; nothing is written before a later iteration of the event loop. */
function createExchange(target: TargetAddress, req: TargetRequest, signal: AbortSignal, agent: Agent): GotRequest {
	const stream = got.stream(`http://${target.address}${req.path}`, {
		method: req.method as 'POST',
		headers: createRequestHeaders(req),
		...(req.body.length > 0 && {body: Buffer.from(req.body.buffer, req.body.byteOffset, req.body.byteLength)}),
		agent: {http: agent},
		retry: {limit: 0},
		throwHttpErrors: false,
		followRedirect: false,
		decompress: false,
		timeout: {connect: TARGET_CONNECT_TIMEOUT_MS, request: Math.max(1, req.deadlineMs)},
		signal,
	});
	// The library reads the connection's address for each answer. Node keeps an address that was read, also after a reset, which then goes undetected.
	Object.defineProperty(stream, 'ip', {value: undefined});
	return stream;
}

/** Sends one HTTP request to a target, without retries, and resolves with the head of the answer or a failure. Never rejects. */
export async function exchangeHttp(target: TargetAddress, req: TargetRequest, signal: AbortSignal, agent: Agent): Promise<Result<TargetResponse, SendFailure>> {
	let stream: GotRequest;
	try {
		stream = createExchange(target, req, signal, agent);
	} catch (err: unknown) {
		return Result.err({...toSendFailure(err), accepted: false});
	}

	let isConnected = false;
	stream.once('request', (sent: ClientRequest) => {
		whenConnected(sent, () => {
			isConnected = true;
		});
		onProtocolSwitch(sent, () => {
			stream.destroy(new ProtocolSwitchError());
		});
	});
	// Failures after the head are reported to the reader of the body; without a listener they would terminate the process.
	stream.on('error', () => undefined);
	if (req.body.length === 0 && !bodilessMethods.has(req.method)) {
		// The library waits for a body to be written unless the stream is ended.
		stream.end();
	}

	return new Promise(resolve => {
		stream.once('error', (err: unknown) => {
			// An invalid address, method or header fails before there is a connection to which a part could be written.
			const failure = toSendFailure(err);
			resolve(Result.err({...failure, accepted: isConnected && failure.accepted}));
		});
		stream.once('response', (response: Response) => {
			const fault = findFault(response);
			if (fault) {
				stream.destroy(fault);
				return;
			}

			const body = isCloseDelimited(response, req.method) ? failAfterReset(stream, detectReset(response.socket)) : stream;
			resolve(Result.ok({status: response.statusCode, headers: getHeaders(response), body}));
		});
	});
}
