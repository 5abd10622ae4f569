import {createHash} from 'node:crypto';
import {MAX_PART_ID_LENGTH, REQUEST_RANK} from './constants.js';
import type {RankedKey} from './types.js';

/** Identifies a request by its fields and its body. */
export function getFingerprint(fields: readonly string[], body: Uint8Array): string {
	const hash = createHash('sha256');
	// Length prefixes prevent collisions made on purpose by moving characters from one field to the next.
	for (const field of fields) {
		hash.update(`${new TextEncoder().encode(field).length}:${field}`);
	}

	return hash.update(body).digest('hex');
}

/** Keys of the prompt parts that a request may share with others. Callers choose the ids, so long ones are hashed. */
export function getPartKeys(partIds: readonly string[]): readonly RankedKey[] {
	return [...new Set(partIds.slice(0, -1))].map((id, rank) => ({key: `part:${id.length > MAX_PART_ID_LENGTH ? createHash('sha256').update(id).digest('base64url') : id}`, rank}));
}

/** Beginning of the keys of all requests with a body of this length. */
export function getRequestPrefix(bodyLength: number): string {
	return `request:${bodyLength}:`;
}

/** Key of a request that may come again unchanged. */
export function getRequestKey(fingerprint: string, bodyLength: number): RankedKey {
	return {key: `${getRequestPrefix(bodyLength)}${fingerprint}`, rank: REQUEST_RANK};
}
