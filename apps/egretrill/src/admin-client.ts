import {limitAnswer, toSendFailure} from '@egretrill/common';
import {ApiError, type operations, OPERATOR_HEADER} from '@egretrill/operators';
import got from 'got';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {CALL_TIMEOUT_MS, CONNECT_TIMEOUT_MS, MAX_REPLY_BYTES} from './constants.js';
import type {CallFailure} from './types.js';

export type OperationCall = {
	readonly operation: typeof operations[keyof typeof operations];
	/** Values of the placeholders in the path. */
	readonly params?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

export type AdminClientOptions = {readonly url: string; readonly credential: string; readonly operator?: string};

/** Maps an error answer to a failure. Proxies and failed handlers answer without the API's error body; of those answers only a 4xx guarantees that a change did not start. */
function toFailure(status: number, isChange: boolean, body: unknown): CallFailure {
	const parsed = ApiError.safeParse(body);
	if (parsed.success) {
		const {verdict, code, message} = parsed.data.error;
		return {effect: verdict === 'not-run' ? 'not-applied' : 'unknown', code, reason: message};
	}

	const effect = isChange && (status < 400 || status >= 500) ? 'unknown' : 'not-applied';
	return {effect, code: 'unexpected-answer', reason: `The host answered with status ${status} and a body of another form.`};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Calls the operators' API of one host. */
export class AdminClient {
	constructor(private readonly opts: AdminClientOptions) {}

	/** Sends one call without retries and parses its answer. */
	async call<Schema extends z.ZodType>(call: OperationCall, schema: Schema): Promise<Result<z.infer<Schema>, CallFailure>> {
		const {operation, params = {}, body} = call;
		const {url, credential, operator} = this.opts;
		const path = operation.path.replaceAll(/\{(?<name>\w+)\}/gv, (_match, name: string) => encodeURIComponent(params[name] ?? ''));
		const isChange = operation.method === 'post';
		try {
			const res = await limitAnswer(got(`${url}${path}`, {
				method: operation.method,
				headers: {authorization: `Bearer ${credential}`, ...(operator !== undefined && {[OPERATOR_HEADER]: operator})},
				...(body !== undefined && {json: body}),
				retry: {limit: 0},
				followRedirect: false,
				throwHttpErrors: false,
				timeout: {connect: CONNECT_TIMEOUT_MS, request: CALL_TIMEOUT_MS},
			}), MAX_REPLY_BYTES);
			const answer = parseJson(res.body);
			const parsed = schema.safeParse(answer);
			const isDeclared = Object.hasOwn(operation.answers, String(res.statusCode));
			return isDeclared && parsed.success ? Result.ok(parsed.data) : Result.err(toFailure(res.statusCode, isChange, answer));
		} catch (err: unknown) {
			const {accepted, code, reason} = toSendFailure(err);
			return Result.err({effect: isChange && accepted ? 'unknown' : 'not-applied', code, reason});
		}
	}
}
