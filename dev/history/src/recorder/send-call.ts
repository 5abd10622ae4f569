import {REQUEST_ID_HEADER, RunState, VERDICT_HEADER} from '@egretrill/common';
import got, {RequestError, TimeoutError} from 'got';
import {z} from 'zod';
import type {CallEnded} from '../types.js';
import {CALL_TIMEOUT_MS} from './constants.js';

export type CallAnswer = Omit<CallEnded, 'kind' | 'atMs' | 'attempt'>;
export type CallBody = {readonly headers: Record<string, string>; readonly body: string};

const ErrorBody = z.object({error: z.object({verdict: RunState, code: z.string()})});
const Chunk = z.object({id: z.string(), egretrill: z.object({seq: z.int()})});
const Completion = z.object({id: z.string(), usage: z.object({completion_tokens: z.int()})});

type ParsedBody = Pick<CallAnswer, 'chunks' | 'isDone' | 'hasErrorEvent' | 'verdict' | 'code' | 'runId'>;

const emptyBody: ParsedBody = {chunks: [], isDone: false, hasErrorEvent: false};

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function parseStream(text: string): ParsedBody {
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

function parseBody(text: string, contentType: string): ParsedBody {
	if (contentType.startsWith('text/event-stream')) {
		return parseStream(text);
	}

	const value = parseJson(text);
	const failure = ErrorBody.safeParse(value);
	if (failure.success) {
		return {...emptyBody, verdict: failure.data.error.verdict, code: failure.data.error.code};
	}

	const completion = Completion.safeParse(value);
	return completion.success
		? {...emptyBody, runId: completion.data.id, chunks: Array.from({length: completion.data.usage.completion_tokens}, (_, seq) => ({id: completion.data.id, seq}))}
		: emptyBody;
}

function getEndOnError(err: unknown, status: number): CallAnswer['end'] {
	if (err instanceof TimeoutError) {
		return 'timed-out';
	}

	return status === 0 && err instanceof RequestError && err.code === 'ECONNREFUSED' ? 'unreachable' : 'broken';
}

/** Sends one call and reads its answer; of an answer that is cut off, the part that was received. */
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
		end = getEndOnError(err, status);
	}

	const verdict = RunState.safeParse(answerHeaders[VERDICT_HEADER]);
	return {
		end,
		status,
		...(verdict.success && {verdict: verdict.data}),
		requestId: answerHeaders[REQUEST_ID_HEADER],
		runId: answerHeaders['x-run-id'],
		runDigest: answerHeaders['x-run-digest'],
		...parseBody(text, answerHeaders['content-type'] ?? ''),
	};
}
