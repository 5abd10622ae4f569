import got from 'got';

/** A complete HTTP answer, normalized for snapshots. */
export type RecordedAnswer = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string};

const recordedHeaders = ['content-type', 'x-egretrill-verdict', 'retry-after'];

/** Replaces ids, addresses and digests, which differ from run to run. */
export function normalize(text: string): string {
	return text
		.replaceAll(/req-[\da-f\-]{36}/gv, 'req-ID')
		.replaceAll(/start-[\da-f]{8}/gv, 'start-ID')
		.replaceAll(/127\.0\.0\.1:\d+/gv, 'ADDRESS')
		.replaceAll(/[\da-f]{64}/gv, 'DIGEST');
}

/** Sends one request and records the complete answer; if the connection breaks, the recorded body ends with the error. */
export async function recordExchange(url: string, opts: {readonly method?: string; readonly headers?: Record<string, string>; readonly body?: string} = {}): Promise<RecordedAnswer> {
	const stream = got.stream(url, {
		method: (opts.method ?? 'POST') as 'POST', headers: opts.headers ?? {}, ...(opts.body !== undefined && {body: opts.body}), throwHttpErrors: false, retry: {limit: 0},
	});
	let status = 0;
	let headers: Record<string, string> = {};
	stream.on('response', (res: {statusCode: number; headers: Record<string, string>}) => {
		status = res.statusCode;
		headers = Object.fromEntries(recordedHeaders.filter(name => res.headers[name] !== undefined).map(name => [name, res.headers[name] ?? '']));
	});
	let body = '';
	try {
		for await (const bytes of stream) {
			body += String(bytes);
		}
	} catch (err: unknown) {
		body += `[connection broken: ${err instanceof Error ? err.message : 'unknown'}]`;
	}

	return {status, headers, body: normalize(body)};
}
