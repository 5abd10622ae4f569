import {type Clock, Signal} from '@egretrill/common';
import {
	ARRIVAL_REPORT_INTERVAL_MS, ENDS_TO_CONFIRM, MAX_PASSED_RECORDS, REQUEST_ENDS_TO_BLOCK, REQUEST_RANK, MAX_CRASH_RECORDS, MAX_PROVEN_KEYS, MAX_RECORDS_PER_MESSAGE,
} from './constants.js';
import {
	assessKeys, type BlockTimes, getKeyVerdict, getNextProbeMs,
} from './assess-keys.js';
import {
	fromRecord, hasNews, isOutdated, type KeyEvidence, listSeparateEnds, mergeEvidence, NO_EVIDENCE, toRecord,
} from './key-evidence.js';
import {getRequestPrefix} from './request-keys.js';
import type {
	CrashRecord, CrashRevision, CrashUpdate, KeyVerdict, RankedKey,
} from './types.js';

type Entry = {readonly evidence: KeyEvidence; readonly revision: number};

const SWEEP_INTERVAL_MS = 1000;
const REQUEST_PREFIX_PATTERN = /^request:\d+:/v;

/** Revision before all changes. */
const NO_REVISION = -1;

/** Sets an entry as the newest and removes the oldest beyond the limit. */
function setNewest<Value>(map: Map<string, Value>, key: string, value: Value, limit: number): void {
	map.delete(key);
	map.set(key, value);
	const [oldest] = map.keys();
	if (map.size > limit && oldest !== undefined) {
		map.delete(oldest);
	}
}

/**
 * Counts, by key, the ends of targets that a request with the key was waiting at, and the answers that prove a key harmless. Each host
 * has a tracker and exchanges its changes with that of the leader; what hosts know is joined, so no order of messages matters.
 */
export class CrashTracker {
	/** Notified when the verdict on a key may have changed. */
	readonly changed = new Signal();
	/** In the order of their last change. */
	private readonly entries = new Map<string, Entry>();
	/** Last proven answers of all keys, also of those without ends: the first end may be known later. */
	private readonly provenMs = new Map<string, number>();
	private revision = 0;
	private blockTimes: BlockTimes | undefined;
	private requestPrefixes: ReadonlySet<string> | undefined;
	private sweptMs = Number.NEGATIVE_INFINITY;

	/** The origin tells this tracker from that of an earlier process or term. An unchanged request is refused after `requestEnds` ends. */
	constructor(private readonly clock: Clock, readonly origin: string, private readonly requestEnds = REQUEST_ENDS_TO_BLOCK) {}

	/** Number of changes so far. */
	getRevision(): number {
		return this.revision;
	}

	isEmpty(): boolean {
		return this.entries.size === 0;
	}

	/** Whether there is evidence about any request with a body of this length; without, its key need not be computed. */
	mayKnowRequest(bodyLength: number): boolean {
		this.requestPrefixes ??= new Set([...this.entries.keys()].flatMap(key => REQUEST_PREFIX_PATTERN.exec(key) ?? []));
		return this.requestPrefixes.has(getRequestPrefix(bodyLength));
	}

	getVerdict(key: string): KeyVerdict {
		this.sweep();
		const evidence = this.entries.get(key)?.evidence;
		return evidence ? getKeyVerdict(evidence, this.getBlockTimes().get(key), this.clock.now()) : 'sound';
	}

	/** Time until a key with enough ends is blocked. */
	getTimeUntilBlockedMs(key: string): number {
		return (this.getBlockTimes().get(key) ?? 0) - this.clock.now();
	}

	/** The keys whose requests are refused now. */
	listBlocked(): readonly string[] {
		this.sweep();
		const nowMs = this.clock.now();
		return [...this.getBlockTimes()].filter(([, blockedAtMs]) => blockedAtMs <= nowMs).map(([key]) => key);
	}

	/** Describes the evidence about a key for logs. */
	describe(key: string): {readonly ends: readonly string[]; readonly firstAgeMs?: number; readonly provenAgeMs?: number; readonly probeCount: number} {
		const {ends, provenMs, probeCount} = this.getEvidence(key);
		const nowMs = this.clock.now();
		return {
			ends: ends.map(({startId}) => startId),
			...(ends[0] && {firstAgeMs: Math.round(nowMs - ends[0].atMs)}),
			...(Number.isFinite(provenMs) && {provenAgeMs: Math.round(nowMs - provenMs)}),
			probeCount,
		};
	}

	/** Records that a lifetime of a target ended while a request with these keys waited there. */
	recordEnd(keys: readonly RankedKey[], startId: string): void {
		const nowMs = this.clock.now();
		for (const {key, rank} of keys) {
			this.join(key, {
				...NO_EVIDENCE, ends: [{startId, atMs: nowMs}], rank, arrivedMs: nowMs,
			});
		}
	}

	/** Records that a target has survived a request with these keys whose answer began at this time. */
	recordProof(keys: readonly string[], atMs: number): void {
		for (const key of keys) {
			setNewest(this.provenMs, key, Math.max(atMs, this.provenMs.get(key) ?? atMs), MAX_PROVEN_KEYS);
			if (this.entries.has(key)) {
				this.join(key, {...NO_EVIDENCE, provenMs: atMs});
			}
		}
	}

	/** Records a request with a blocked key, which keeps the block in force. */
	recordArrival(key: string): void {
		const known = this.entries.get(key);
		const nowMs = this.clock.now();
		if (known && nowMs - known.evidence.arrivedMs >= ARRIVAL_REPORT_INTERVAL_MS) {
			this.set(key, {...known.evidence, arrivedMs: nowMs}, true);
		}
	}

	/** Whether the block of a key is beyond doubt. */
	isConfirmed(key: string): boolean {
		const {rank, ends} = this.getEvidence(key);
		return rank === REQUEST_RANK || listSeparateEnds(ends).length >= ENDS_TO_CONFIRM;
	}

	/** Time until a probe of a blocked key is due. */
	getTimeUntilProbeMs(key: string): number {
		const blockedAtMs = this.getBlockTimes().get(key);
		return blockedAtMs === undefined ? Number.POSITIVE_INFINITY : getNextProbeMs(this.getEvidence(key), blockedAtMs) - this.clock.now();
	}

	/** Grants a probe of a blocked key if one is due. */
	grantProbe(key: string): boolean {
		if (this.getTimeUntilProbeMs(key) > 0) {
			return false;
		}

		const evidence = this.getEvidence(key);
		this.set(key, {...evidence, probeCount: evidence.probeCount + 1, probedMs: this.clock.now()}, true);
		return true;
	}

	/** Joins the report of another host; what is new is passed on to all. Returns whether anything was. */
	mergeReport(records: readonly CrashRecord[]): boolean {
		const before = this.revision;
		for (const record of records) {
			this.join(record.key, fromRecord(record, this.clock.now()));
		}

		return this.revision > before;
	}

	/** Joins what the leader knows; only what it does not know yet is reported to it. Returns whether anything was new to this host. */
	mergeShared(records: readonly CrashRecord[]): boolean {
		const nowMs = this.clock.now();
		let isNew = false;
		for (const record of records) {
			const shared = fromRecord(record, nowMs);
			const own = this.getEvidence(record.key);
			const merged = mergeEvidence(own, shared);
			isNew ||= hasNews(own, merged);
			this.set(record.key, merged, hasNews(shared, merged));
		}

		if (isNew) {
			this.changed.notify();
		}

		return isNew;
	}

	/** Whether there are changes after a revision. */
	hasChanges({origin, revision}: CrashRevision): boolean {
		return this.revision > (origin === this.origin ? revision : 0);
	}

	/** Returns the changes after a revision; all records for another origin. */
	getChanges({origin, revision}: CrashRevision): CrashUpdate {
		this.sweep();
		const knownRevision = origin === this.origin ? revision : NO_REVISION;
		const changed = [...this.entries].filter(([, entry]) => entry.revision > knownRevision).toSorted(([, a], [, b]) => a.revision - b.revision);
		const included = changed.slice(0, MAX_RECORDS_PER_MESSAGE);
		const nowMs = this.clock.now();
		return {
			origin: this.origin,
			revision: included.length < changed.length ? included.at(-1)?.[1].revision ?? 0 : this.revision,
			records: included.map(([key, {evidence}]) => toRecord(key, evidence, nowMs)),
		};
	}

	/** Returns the records with the most ends, to be passed on to hosts that follow this one. */
	listRecords(): readonly CrashRecord[] {
		this.sweep();
		const nowMs = this.clock.now();
		return [...this.entries].toSorted(([, a], [, b]) => b.evidence.ends.length - a.evidence.ends.length).slice(0, MAX_PASSED_RECORDS).map(([key, {evidence}]) => toRecord(key, evidence, nowMs));
	}

	private getBlockTimes(): BlockTimes {
		this.blockTimes ??= assessKeys(new Map([...this.entries].map(([key, {evidence}]) => [key, evidence])), this.requestEnds);
		return this.blockTimes;
	}

	private getEvidence(key: string): KeyEvidence {
		return this.entries.get(key)?.evidence ?? {...NO_EVIDENCE, provenMs: this.provenMs.get(key) ?? NO_EVIDENCE.provenMs};
	}

	private join(key: string, evidence: KeyEvidence): void {
		const known = this.getEvidence(key);
		const merged = mergeEvidence(known, evidence);
		this.set(key, merged, hasNews(known, merged));
	}

	private set(key: string, evidence: KeyEvidence, isNews: boolean): void {
		this.forgetDerived();
		const known = this.entries.get(key);
		if (!isNews) {
			this.entries.set(key, {evidence, revision: known?.revision ?? 0});
			return;
		}

		this.revision += 1;
		setNewest(this.entries, key, {evidence, revision: this.revision}, MAX_CRASH_RECORDS);
		this.changed.notify();
	}

	/** What is computed from the evidence is computed anew after a change. */
	private forgetDerived(): void {
		this.blockTimes = undefined;
		this.requestPrefixes = undefined;
	}

	private sweep(): void {
		const nowMs = this.clock.now();
		if (nowMs - this.sweptMs < SWEEP_INTERVAL_MS) {
			return;
		}

		this.sweptMs = nowMs;
		for (const [key, {evidence}] of this.entries) {
			if (isOutdated(evidence, nowMs)) {
				this.entries.delete(key);
				this.forgetDerived();
			}
		}
	}
}
