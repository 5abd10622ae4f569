import {Buffer} from 'node:buffer';
import type {Agent} from 'node:http';
import got, {RequestError, type Response, TimeoutError} from 'got';
import {Result} from 'true-myth';
import type {
	SendFailure, TargetAddress, TargetRequest, TargetResponse,
} from './target-client.js';
import {
	DEADLINE_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TARGET_CONNECT_TIMEOUT_MS,
} from './constants.js';

/** Errors that occur before any byte of a request has left this host. */
const unsentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);

const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

function isUnsent(err: unknown): boolean {
	if (err instanceof TimeoutError) {
		return err.event === 'connect' || err.event === 'lookup';
	}

	return err instanceof RequestError && unsentCodes.has(err.code);
}

/** Describes a failed exchange, with the truth about whether the target may have received anything. */
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

/** Sends one HTTP request to a target, without retries, and resolves with the head of the answer. */
export async function exchangeHttp(target: TargetAddress, req: TargetRequest, signal: AbortSignal, agent: Agent): Promise<Result<TargetResponse, SendFailure>> {
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
	// Later failures reach the reader of the body; without a listener they would end the process.
	stream.on('error', () => undefined);
	if (req.body.length === 0 && !bodilessMethods.has(req.method)) {
		// Without a body the library waits for one to be written.
		stream.end();
	}

	return new Promise(resolve => {
		stream.once('error', (err: unknown) => {
			resolve(Result.err(toSendFailure(err)));
		});
		stream.once('response', (response: Response) => {
			resolve(Result.ok({status: response.statusCode, headers: getHeaders(response), body: stream}));
		});
	});
}
