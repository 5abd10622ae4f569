import {VERDICT_HEADER} from '@egretrill/common';
import got from 'got';
import {build, type Histogram} from 'hdr-histogram-js';
import {z} from 'zod';
import {BENCH_MAX_TOKENS, BENCH_TIMEOUT_MS, CONNECT_TIMEOUT_MS} from '../constants.js';

/** Histograms hold whole numbers, so times are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1000;

const count = z.int().nonnegative();
const Percentiles = z.object({
	p50: z.number(), p95: z.number(), p99: z.number(), max: z.number(),
});

export const LoadReport = z.object({
	requests: count,
	/** Requests without an answer or with an incomplete one. */
	unanswered: count,
	firstTokenMs: Percentiles,
	totalMs: Percentiles,
	verdicts: z.record(z.string(), count),
});
export type LoadReport = z.infer<typeof LoadReport>;

export type LoadOptions = {
	readonly url: string; readonly key: string; readonly model: string; readonly requests: number; readonly concurrency: number; readonly stream: boolean;
};

type Sample = {readonly verdict: string; readonly isAnswered: boolean; readonly firstTokenMs?: number; readonly totalMs: number};

/** Sends one request and measures its answer; an incomplete stream counts as unanswered. */
async function measure({url, key, model, stream}: LoadOptions): Promise<Sample> {
	const startMs = performance.now();
	let firstTokenMs: number | undefined;
	let text = '';
	let status = 0;
	let verdictHeader = 'none';
	try {
		const answer = got.stream.post(url, {
			headers: {authorization: `Bearer ${key}`},
			json: {
				model, stream, max_tokens: BENCH_MAX_TOKENS, messages: [{role: 'user', content: 'Draft.'}],
			},
			retry: {limit: 0},
			followRedirect: false,
			throwHttpErrors: false,
			timeout: {connect: CONNECT_TIMEOUT_MS, request: BENCH_TIMEOUT_MS},
		});
		answer.on('response', (res: {statusCode: number; headers: Record<string, string | undefined>}) => {
			status = res.statusCode;
			verdictHeader = res.headers[VERDICT_HEADER] ?? 'none';
		});
		for await (const bytes of answer) {
			text += String(bytes);
			// Heartbeats are SSE comments and carry no token.
			firstTokenMs ??= !stream || /^data:/mv.test(text) ? performance.now() - startMs : undefined;
		}
	} catch {
		return {verdict: 'no answer', isAnswered: false, totalMs: performance.now() - startMs};
	}

	const isStreamed = stream && status === 200;
	const isComplete = !isStreamed || /^data: \[DONE\]$/mv.test(text);
	return {
		// The verdict of a stream is known only when the stream ends, after its headers were sent.
		verdict: isStreamed ? `200 ${isComplete ? 'whole' : 'incomplete'} stream` : `${status} ${verdictHeader}`,
		isAnswered: isComplete,
		...(status === 200 && {firstTokenMs}),
		totalMs: performance.now() - startMs,
	};
}

function summarize(histogram: Histogram): z.infer<typeof Percentiles> {
	const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
	return {
		p50: getMs(50), p95: getMs(95), p99: getMs(99), max: getMs(100),
	};
}

/** Sends the requests from concurrent workers, each of which waits for its answer before it sends the next one, and summarizes the answers. */
export async function runLoad(opts: LoadOptions): Promise<LoadReport> {
	const firstTokenTimes = build();
	const totalTimes = build();
	const verdicts = new Map<string, number>();
	let unanswered = 0;
	let startedCount = 0;
	const runWorker = async (): Promise<void> => {
		while (startedCount < opts.requests) {
			startedCount += 1;
			const {verdict, isAnswered, firstTokenMs, totalMs} = await measure(opts);
			verdicts.set(verdict, (verdicts.get(verdict) ?? 0) + 1);
			unanswered += isAnswered ? 0 : 1;
			totalTimes.recordValue(Math.round(totalMs * MICROSECONDS_PER_MS));
			if (firstTokenMs !== undefined) {
				firstTokenTimes.recordValue(Math.round(firstTokenMs * MICROSECONDS_PER_MS));
			}
		}
	};

	await Promise.all(Array.from({length: Math.min(opts.concurrency, opts.requests)}, async () => runWorker()));
	return {
		requests: opts.requests,
		unanswered,
		firstTokenMs: summarize(firstTokenTimes),
		totalMs: summarize(totalTimes),
		verdicts: Object.fromEntries([...verdicts].toSorted(([first], [second]) => first.localeCompare(second))),
	};
}
