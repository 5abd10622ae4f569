import {REQUEST_ID_HEADER, RunState, VERDICT_HEADER} from '@egretrill/common';
import got, {RequestError, TimeoutError} from 'got';
import {z} from 'zod';
import type {CallEnded} from '../types.js';
import {CALL_TIMEOUT_MS} from './constants.js';

export type CallAnswer = Omit<CallEnded, 'kind' | 'atMs' | 'attempt'>;
export type CallBody = {readonly headers: Record<string, string>; readonly body: string};

const ErrorBody = z.object({error: z.object({verdict: RunState, code: z.string()})});
const Chunk = z.object({id: z.string(), egretrill: z.object({seq: z.int()})});
const Whole = z.object({id: z.string(), usage: z.object({completion_tokens: z.int()})});

type Body = Pick<CallAnswer, 'chunks' | 'isDone' | 'hasErrorEvent' | 'verdict' | 'code' | 'runId'>;

const nothing: Body = {chunks: [], isDone: false, hasErrorEvent: false};

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function readStream(text: string): Body {
	const data = [...text.matchAll(/^data: (?<value>.*)$/gmv)].map(({groups}) => groups?.value ?? '');
	const failure = ErrorBody.safeParse(parseJson(data.at(-1) ?? ''));
	return {
		chunks: data.flatMap(value => {
			const chunk = Chunk.safeParse(parseJson(value));
			return chunk.success ? [{id: chunk.data.id, seq: chunk.data.egretrill.seq}] : [];
		}),
		isDone: data.at(-1) === '[DONE]',
		hasErrorEvent: text.includes('event: error'),
		...(failure.success && failure.data.error),
	};
}

function readBody(text: string, contentType: string): Body {
	if (contentType.startsWith('text/event-stream')) {
		return readStream(text);
	}

	const value = parseJson(text);
	const failure = ErrorBody.safeParse(value);
	if (failure.success) {
		return {...nothing, verdict: failure.data.error.verdict, code: failure.data.error.code};
	}

	const whole = Whole.safeParse(value);
	return whole.success
		? {...nothing, runId: whole.data.id, chunks: Array.from({length: whole.data.usage.completion_tokens}, (_, seq) => ({id: whole.data.id, seq}))}
		: nothing;
}

function getEnd(err: unknown, status: number): CallAnswer['end'] {
	if (err instanceof TimeoutError) {
		return 'timed-out';
	}

	return status === 0 && err instanceof RequestError && err.code === 'ECONNREFUSED' ? 'unreachable' : 'broken';
}

/** Sends one call and reads all that comes back, also of an answer that breaks off. */
export async function sendCall(url: string, {headers, body}: CallBody): Promise<CallAnswer> {
	const stream = got.stream.post(url, {
		headers, body, throwHttpErrors: false, retry: {limit: 0}, timeout: {request: CALL_TIMEOUT_MS},
	});
	let status = 0;
	let answerHeaders: Readonly<Record<string, string | undefined>> = {};
	stream.on('response', (res: {statusCode: number; headers: Record<string, string | undefined>}) => {
		status = res.statusCode;
		answerHeaders = res.headers;
	});
	let text = '';
	let end: CallAnswer['end'] = 'answered';
	try {
		for await (const bytes of stream) {
			text += String(bytes);
		}
	} catch (err: unknown) {
		end = getEnd(err, status);
	}

	const verdict = RunState.safeParse(answerHeaders[VERDICT_HEADER]);
	return {
		end,
		status,
		...(verdict.success && {verdict: verdict.data}),
		requestId: answerHeaders[REQUEST_ID_HEADER],
		runId: answerHeaders['x-run-id'],
		runDigest: answerHeaders['x-run-digest'],
		...readBody(text, answerHeaders['content-type'] ?? ''),
	};
}
