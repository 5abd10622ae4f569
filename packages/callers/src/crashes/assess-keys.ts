import {
	BLOCK_SETTLE_MS, ENDS_TO_BLOCK, ENDS_TO_SUSPECT, ENDS_TO_SUSPECT_UNPROVEN, FIRST_PROBE_DELAY_MS, PROBE_DELAY_FACTOR, REQUEST_RANK, UNEXPLAINED_ENDS_TO_BLOCK,
} from './constants.js';
import {type CountedEnd, type KeyEvidence, listSeparateEnds} from './key-evidence.js';
import type {KeyVerdict} from './types.js';

/** Keys that are blocked, or will be unless an answer proves them harmless, with the times of their blocks. */
export type BlockTimes = ReadonlyMap<string, number>;

/** Lifetimes of targets whose ends have a blocked key among their causes. */
type Explained = {readonly byParts: Set<string>; readonly byRequests: Set<string>};

/** The ends that count towards a block of a part, if they are enough. */
function findBlockingEnds(ends: readonly CountedEnd[], {byParts, byRequests}: Explained): readonly CountedEnd[] | undefined {
	// A request that came several times explains the ends of its parts only while no other request ended a target under them.
	if (ends.every(({startId}) => byRequests.has(startId))) {
		return undefined;
	}

	if (listSeparateEnds(ends).length < ENDS_TO_BLOCK) {
		return undefined;
	}

	const unexplained = ends.filter(({startId}) => !byParts.has(startId));
	const neededCount = unexplained.length === ends.length ? ENDS_TO_BLOCK : UNEXPLAINED_ENDS_TO_BLOCK;
	const separate = listSeparateEnds(unexplained);
	return separate.length >= neededCount ? separate.slice(0, neededCount) : undefined;
}

/** Time at which a key is blocked; undefined without enough ends. */
function getBlockedAtMs({ends, rank}: KeyEvidence, explained: Explained, requestEnds: number): number | undefined {
	if (rank === REQUEST_RANK) {
		return ends[requestEnds - 1]?.atMs;
	}

	const [first] = ends;
	const last = findBlockingEnds(ends, explained)?.at(-1);
	return first && last && Math.max(last.atMs, first.atMs + BLOCK_SETTLE_MS);
}

/**
 * Decides which keys are blocked. Requests with a harmful part have its other parts in common too, so the most specific key is
 * judged first, and the ends at which it was waiting do not count against the keys that were waiting there with it.
 */
export function assessKeys(evidences: ReadonlyMap<string, KeyEvidence>, requestEnds: number): BlockTimes {
	const blockTimes = new Map<string, number>();
	const explained: Explained = {byParts: new Set(), byRequests: new Set()};
	const candidates = [...evidences].filter(([, {ends}]) => ends.length >= ENDS_TO_SUSPECT);
	for (const [key, evidence] of candidates.toSorted(([, a], [, b]) => b.rank - a.rank || b.ends.length - a.ends.length)) {
		const blockedAtMs = getBlockedAtMs(evidence, explained, requestEnds);
		if (blockedAtMs !== undefined) {
			blockTimes.set(key, blockedAtMs);
			const explainedIds = evidence.rank === REQUEST_RANK ? explained.byRequests : explained.byParts;
			for (const {startId} of evidence.ends) {
				explainedIds.add(startId);
			}
		}
	}

	return blockTimes;
}

/** Decides what the evidence says of one key. */
export function getKeyVerdict({ends, provenMs}: KeyEvidence, blockedAtMs: number | undefined, nowMs: number): KeyVerdict {
	if (blockedAtMs !== undefined) {
		return blockedAtMs <= nowMs ? 'blocked' : 'settling';
	}

	const suspectEnds = Number.isFinite(provenMs) ? ENDS_TO_SUSPECT : ENDS_TO_SUSPECT_UNPROVEN;
	return listSeparateEnds(ends).length >= suspectEnds ? 'suspected' : 'sound';
}

/** Time of the next probe of a blocked key. */
export function getNextProbeMs({probedMs, probeCount}: KeyEvidence, blockedAtMs: number): number {
	return Math.max(blockedAtMs, probedMs) + (FIRST_PROBE_DELAY_MS * (PROBE_DELAY_FACTOR ** probeCount));
}
