import type {AnswerMetadata, ForwardCall, SendDetails} from './types.js';

/** Head of a message as the HTTP library returns it; the headers alternate names and values. */
export type RequestHead = {readonly method: string; readonly url: string; readonly rawHeaders: readonly string[]};
export type AnswerHead = {readonly status: number; readonly rawHeaders: readonly string[]};

/** Maps the headers of a deployment's callers and targets to what a request needs. */
export abstract class ForwardDialect {
	/** Parses a caller's request; undefined when it lacks what it needs to be served. */
	abstract readCall(head: RequestHead): ForwardCall | undefined;
	/** Builds the headers of the request to a target. */
	abstract writeSendHeaders(call: ForwardCall, details: SendDetails): string[];
	abstract readAnswer(head: AnswerHead): AnswerMetadata;
}

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length',
]);

/** Iterates over the headers, with each name in lower case. */
export function * iterateHeaders(rawHeaders: readonly string[]): Generator<readonly [name: string, value: string, rawName: string]> {
	for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
		const rawName = rawHeaders[i] ?? '';
		yield [rawName.toLowerCase(), rawHeaders[i + 1] ?? '', rawName];
	}
}

/** Names of hop-by-hop headers, including those listed in the message's Connection header. */
export function getHopByHopHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
	const listed = [...iterateHeaders(rawHeaders)].filter(([name]) => name === 'connection').flatMap(([, value]) => value.split(',').map(name => name.trim().toLowerCase()));
	return listed.length === 0 ? hopByHopHeaders : new Set([...hopByHopHeaders, ...listed]);
}
