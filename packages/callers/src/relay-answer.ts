import {Buffer} from 'node:buffer';
import {
	type CallOutcome, MAX_ANSWER_BYTES, type SendFailure, type TargetAddress, type TargetResponse, toSendFailure, VERDICT_HEADER,
} from '@egretrill/common';
import type {Result} from 'true-myth';
import type {AttemptResult, Exchange, TargetRequestBuilder} from './exchange-types.js';

const hopByHopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'date', 'trailer', 'upgrade']);

/** Reads a complete answer; a body that is truncated or too large is a failure, never a shorter answer. */
export async function readAnswer(response: TargetResponse): Promise<CallOutcome | SendFailure> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const bytes of response.body) {
			size += bytes.length;
			if (size > MAX_ANSWER_BYTES) {
				return {accepted: true, code: 'answer-too-large', reason: 'The answer of the target is too large.'};
			}

			chunks.push(bytes);
		}
	} catch (err: unknown) {
		return {...toSendFailure(err), accepted: true};
	}

	const headers = Object.fromEntries(Object.entries(response.headers).filter(([name]) => !hopByHopHeaders.has(name)));
	return {status: response.status, headers, body: Buffer.concat(chunks)};
}

/** Type guard for failed exchanges. */
export function isSendFailure(value: CallOutcome | SendFailure): value is SendFailure {
	return 'accepted' in value;
}

/** Sends a complete answer to the caller. */
export async function sendAnswer(exchange: Exchange, answer: CallOutcome): Promise<void> {
	exchange.reply.start(answer.status, {
		...answer.headers, 'content-length': String(answer.body.length), 'x-request-id': exchange.req.requestId, [VERDICT_HEADER]: 'ran',
	});
	await exchange.reply.write(answer.body);
	await exchange.reply.end();
}

function isAnswerToRequest(exchange: Exchange, answer: CallOutcome): boolean {
	if (exchange.work.route.kind === 'service' || answer.status !== 200) {
		return true;
	}

	try {
		const value = JSON.parse(Buffer.from(answer.body).toString('utf8')) as {id?: unknown};
		return value.id === exchange.req.requestId;
	} catch {
		return false;
	}
}

/** Makes one attempt without streaming; the caller receives nothing unless the answer is complete. */
export async function relayAnswer(exchange: Exchange, target: TargetAddress, buildRequest: TargetRequestBuilder): Promise<AttemptResult> {
	const {signal, deps, work} = exchange;
	const req = buildRequest(0);
	const sent: Result<TargetResponse, SendFailure> = work.route.kind === 'service'
		? await deps.services.send(target, req, signal)
		: await deps.engines.complete(target, req, signal);
	if (sent.isErr) {
		return signal.aborted ? {kind: 'cancelled', isUnsent: !sent.error.accepted} : {kind: 'failed', failure: sent.error, deliveredChunks: 0};
	}

	const answer = await readAnswer(sent.value);
	if (isSendFailure(answer)) {
		return signal.aborted ? {kind: 'cancelled'} : {kind: 'failed', failure: answer, deliveredChunks: 0};
	}

	if (!isAnswerToRequest(exchange, answer)) {
		return {kind: 'failed', deliveredChunks: 0, failure: {accepted: true, code: 'crossed-answer', reason: 'The target answered another request.'}};
	}

	if (work.route.kind === 'model' && answer.status >= 500) {
		return {kind: 'failed', deliveredChunks: 0, failure: {accepted: true, code: 'engine-status', reason: `The engine answered with status ${answer.status}.`}};
	}

	await exchange.beforeAnswer?.(answer);
	await sendAnswer(exchange, answer);
	return {kind: 'completed', ...getCompletionTokens(answer)};
}

function getCompletionTokens(answer: CallOutcome): {readonly tokens?: number} {
	try {
		const value = JSON.parse(Buffer.from(answer.body).toString('utf8')) as {usage?: {completion_tokens?: number}};
		return value.usage?.completion_tokens === undefined ? {} : {tokens: value.usage.completion_tokens};
	} catch {
		return {};
	}
}
