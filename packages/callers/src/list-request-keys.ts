import {createHash} from 'node:crypto';
import {getPartKeys, getRequestKey, type RankedKey} from './crashes/index.js';
import type {Work} from './work.js';

/** Keys under which the end of a target counts against a request: its messages but the last, which others may share, and the request as a whole. */
export function listRequestKeys(fingerprint: string, bodyLength: number, {chat}: Work): readonly RankedKey[] {
	const messageIds = (chat?.messages ?? []).map(({role, content}) => createHash('sha256').update(JSON.stringify([role, content])).digest('base64url'));
	return [...getPartKeys(messageIds), getRequestKey(fingerprint, bodyLength)];
}
