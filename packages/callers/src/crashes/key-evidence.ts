import {
	CLEARED_RETENTION_MS, END_SPACING_MS, EVIDENCE_TTL_MS, MAX_ENDS_PER_KEY,
} from './constants.js';
import type {CrashRecord} from './types.js';

/** The end of one lifetime of a target. */
export type CountedEnd = {readonly startId: string; readonly atMs: number};

/** Evidence about one key, in the time of this host. */
export type KeyEvidence = {
	/** Ends after the last proven answer, the oldest first. */
	readonly ends: readonly CountedEnd[];
	/** How specific the key is. */
	readonly rank: number;
	readonly provenMs: number;
	readonly probeCount: number;
	readonly probedMs: number;
	readonly arrivedMs: number;
};

const NEVER_MS = Number.NEGATIVE_INFINITY;

export const NO_EVIDENCE: KeyEvidence = {
	ends: [], rank: 0, provenMs: NEVER_MS, probeCount: 0, probedMs: NEVER_MS, arrivedMs: NEVER_MS,
};

/** Ends that count separately: one of several that are close together. */
export function listSeparateEnds(ends: readonly CountedEnd[]): readonly CountedEnd[] {
	const separate: CountedEnd[] = [];
	for (const end of ends) {
		if (end.atMs - (separate.at(-1)?.atMs ?? NEVER_MS) >= END_SPACING_MS) {
			separate.push(end);
		}
	}

	return separate;
}

/** Joins what two hosts know of a key. An end is counted once, and a proven answer outweighs all ends before it. */
export function mergeEvidence(a: KeyEvidence, b: KeyEvidence): KeyEvidence {
	const provenMs = Math.max(a.provenMs, b.provenMs);
	const endMs = new Map<string, number>();
	for (const {startId, atMs} of [...a.ends, ...b.ends]) {
		endMs.set(startId, Math.min(atMs, endMs.get(startId) ?? atMs));
	}

	const ends = [...endMs].map(([startId, atMs]) => ({startId, atMs})).filter(({atMs}) => atMs > provenMs).toSorted((x, y) => x.atMs - y.atMs);
	// A proven answer also ends the count of probes.
	const probed = [a, b].filter(({probedMs}) => probedMs > provenMs).toSorted((x, y) => y.probeCount - x.probeCount)[0] ?? NO_EVIDENCE;
	return {
		ends: ends.slice(0, MAX_ENDS_PER_KEY), rank: Math.max(a.rank, b.rank), provenMs, probeCount: probed.probeCount, probedMs: probed.probedMs, arrivedMs: Math.max(a.arrivedMs, b.arrivedMs),
	};
}

/** Whether the second evidence would change the decisions of a host that knows the first. */
export function hasNews(known: KeyEvidence, current: KeyEvidence): boolean {
	const knownIds = new Set(known.ends.map(({startId}) => startId));
	return current.ends.length < known.ends.length || current.ends.some(({startId}) => !knownIds.has(startId)) || current.probeCount > known.probeCount;
}

/** Whether evidence is too old to count. */
export function isOutdated({ends, provenMs, arrivedMs}: KeyEvidence, nowMs: number): boolean {
	return ends.length === 0 ? nowMs - provenMs > CLEARED_RETENTION_MS : nowMs - Math.max(arrivedMs, ends.at(-1)?.atMs ?? NEVER_MS) > EVIDENCE_TTL_MS;
}

function toAge(timeMs: number, nowMs: number): number | undefined {
	return timeMs === NEVER_MS ? undefined : Math.max(0, Math.round(nowMs - timeMs));
}

/** Converts evidence for a message. */
export function toRecord(key: string, {ends, rank, provenMs, probeCount, probedMs, arrivedMs}: KeyEvidence, nowMs: number): CrashRecord {
	const [provenAgeMs, probeAgeMs] = [toAge(provenMs, nowMs), toAge(probedMs, nowMs)];
	return {
		key,
		ends: ends.map(({startId, atMs}) => [startId, Math.max(0, Math.round(nowMs - atMs))]),
		rank,
		...(provenAgeMs !== undefined && {provenAgeMs}),
		probeCount,
		...(probeAgeMs !== undefined && {probeAgeMs}),
		arrivalAgeMs: toAge(arrivedMs, nowMs) ?? EVIDENCE_TTL_MS,
	};
}

/** Converts a received record to the time of this host. */
export function fromRecord({ends, rank, provenAgeMs, probeCount, probeAgeMs, arrivalAgeMs}: CrashRecord, nowMs: number): KeyEvidence {
	return {
		rank,
		ends: ends.map(([startId, ageMs]) => ({startId, atMs: nowMs - ageMs})).toSorted((x, y) => x.atMs - y.atMs),
		provenMs: provenAgeMs === undefined ? NEVER_MS : nowMs - provenAgeMs,
		probeCount,
		probedMs: probeAgeMs === undefined ? NEVER_MS : nowMs - probeAgeMs,
		arrivedMs: nowMs - arrivalAgeMs,
	};
}
