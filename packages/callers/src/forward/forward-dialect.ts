import type {AnswerMetadata, ForwardCall, SendDetails} from './types.js';

/** Head of a message as the HTTP library gives it; the headers are names and values in turn. */
export type RequestHead = {readonly method: string; readonly url: string; readonly rawHeaders: readonly string[]};
export type AnswerHead = {readonly status: number; readonly rawHeaders: readonly string[]};

/** Header names of a deployment: how callers and targets say what a request needs. */
export abstract class ForwardDialect {
	/** Reads a caller's request; undefined when it cannot be served at all. */
	abstract readCall(head: RequestHead): ForwardCall | undefined;
	/** Writes the headers of the request that a target receives. */
	abstract writeSendHeaders(call: ForwardCall, details: SendDetails): string[];
	abstract readAnswer(head: AnswerHead): AnswerMetadata;
}

const connectionHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length',
]);

/** Visits each header with its name in lower case. */
export function * readHeaders(rawHeaders: readonly string[]): Generator<readonly [name: string, value: string, rawName: string]> {
	for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
		const rawName = rawHeaders[i] ?? '';
		yield [rawName.toLowerCase(), rawHeaders[i + 1] ?? '', rawName];
	}
}

/** Names of headers that concern one connection only, with those that the message itself lists. */
export function getConnectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
	const listed = [...readHeaders(rawHeaders)].filter(([name]) => name === 'connection').flatMap(([, value]) => value.split(',').map(name => name.trim().toLowerCase()));
	return listed.length === 0 ? connectionHeaders : new Set([...connectionHeaders, ...listed]);
}
