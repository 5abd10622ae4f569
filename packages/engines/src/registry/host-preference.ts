import {createHash} from 'node:crypto';

const HASH_RANGE = 2 ** 32;

/** How much a host prefers a target, from 0 to 1, by rendezvous hashing: stable, independent of the other targets, and unrelated to what other hosts prefer. */
export function getHostPreference(hostId: string, targetId: string): number {
	return createHash('sha256').update(JSON.stringify([hostId, targetId])).digest().readUInt32BE() / HASH_RANGE;
}
