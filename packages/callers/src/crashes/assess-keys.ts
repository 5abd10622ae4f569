import {
	BLOCK_SETTLE_MS, ENDS_TO_BLOCK, ENDS_TO_SUSPECT, FIRST_PROBE_DELAY_MS, PROBE_DELAY_FACTOR, UNEXPLAINED_ENDS_TO_BLOCK,
} from './constants.js';
import {type KeyEvidence, listSeparateEnds} from './key-evidence.js';
import type {KeyVerdict} from './types.js';

/** Keys that are blocked, or will be unless an answer proves them harmless, with the times of their blocks. */
export type BlockTimes = ReadonlyMap<string, number>;

/** Number of ends that a key needs for a block besides those explained by more specific keys. */
function getNeededEnds(explainedCount: number): number {
	return explainedCount === 0 ? ENDS_TO_BLOCK : UNEXPLAINED_ENDS_TO_BLOCK;
}

/**
 * Decides which keys are blocked. Requests with a harmful part have its other parts in common too, so the most specific key is
 * judged first, and the ends at which it was waiting do not count against the keys that were waiting there with it.
 */
export function assessKeys(evidences: ReadonlyMap<string, KeyEvidence>): BlockTimes {
	const blockTimes = new Map<string, number>();
	const explained = new Set<string>();
	const candidates = [...evidences].filter(([, {ends}]) => listSeparateEnds(ends).length >= ENDS_TO_BLOCK);
	for (const [key, {ends}] of candidates.toSorted(([, a], [, b]) => b.rank - a.rank || b.ends.length - a.ends.length)) {
		const unexplained = ends.filter(({startId}) => !explained.has(startId));
		const separate = listSeparateEnds(unexplained);
		const neededCount = getNeededEnds(ends.length - unexplained.length);
		const [first] = ends;
		const last = separate[neededCount - 1];
		if (first && last) {
			blockTimes.set(key, Math.max(last.atMs, first.atMs + BLOCK_SETTLE_MS));
			for (const {startId} of ends) {
				explained.add(startId);
			}
		}
	}

	return blockTimes;
}

/** Decides what the evidence says of one key. */
export function getKeyVerdict({ends}: KeyEvidence, blockedAtMs: number | undefined, nowMs: number): KeyVerdict {
	if (blockedAtMs !== undefined) {
		return blockedAtMs <= nowMs ? 'blocked' : 'settling';
	}

	return listSeparateEnds(ends).length >= ENDS_TO_SUSPECT ? 'suspected' : 'sound';
}

/** Time of the next probe of a blocked key. */
export function getNextProbeMs({probedMs, probeCount}: KeyEvidence, blockedAtMs: number): number {
	return Math.max(blockedAtMs, probedMs) + (FIRST_PROBE_DELAY_MS * (PROBE_DELAY_FACTOR ** probeCount));
}
