import type {LoadReport} from '@egretrill/common';
import {
	LOAD_STEPS, MAX_PREVIOUS_STARTS, RELAYED_TTL_MS, REPORT_LAG_MS, SUSPICION_MAX_MS, SUSPICION_MIN_MS,
} from './constants.js';
import {OwnRequests} from './own-requests.js';
import type {DirectoryEntry, LoadChange, Warmth} from './types.js';

/** Source of a host's information about a target: the target itself, a directory host of the zone, or another zone's summary. */
export type EntrySource = 'target' | 'directory' | 'summary';

/** The part of a directory entry that a target or a directory host reports, without the fields that the receiver adds. */
export type ReportedEntry = Omit<DirectoryEntry, 'handle' | 'warmth'>;

/** Rounds a load count to the step size in which changes are published. */
export function quantiseCount(value: number, limit: number): number {
	const step = Math.max(1, Math.floor(limit / LOAD_STEPS));
	return Math.round(value / step) * step;
}

/** Encodes a load report as the tuple that digests carry. */
export function getLoadChange(handle: number, load: LoadReport): LoadChange {
	const {limit, prefilling} = load;
	return [
		handle,
		quantiseCount(load.running, limit),
		quantiseCount(load.waiting, limit),
		Math.round(load.kvUsedRatio * LOAD_STEPS),
		...(prefilling === undefined ? [] : [quantiseCount(prefilling, limit)]),
	];
}

function getContentKey(entry: ReportedEntry, warmth: Warmth): string {
	const {startId, zone, address, kind, service, role, load, resident, settledOrders, leaving, cold} = entry;
	return JSON.stringify([startId, zone, address, kind, service, role, load.limit, resident, settledOrders, leaving, cold, warmth.generation, warmth.warm]);
}

/** Returns the newer warmth. Within a generation a target can only become warm. */
export function getNewerWarmth(first: Warmth, second: Warmth): Warmth {
	if (first.generation !== second.generation) {
		return first.generation > second.generation ? first : second;
	}

	return first.warm ? first : second;
}

/** One target in a directory, with this host's own requests and connect failures. */
export class TargetRecord {
	warmth: Warmth = {generation: 0, warm: false};
	lastSeenAtMs: number;
	/** Time of the last announcement from the target itself; only announced targets are included in digests. */
	announcedAtMs = Number.NEGATIVE_INFINITY;
	isPublished = false;
	contentSeq = 0;
	loadSeq = 0;
	ownRequests = new OwnRequests();
	adaptersByModel: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	suspectedUntilMs = Number.NEGATIVE_INFINITY;
	private previousStarts: readonly string[] = [];
	private failures = 0;
	private contentKey = '';
	private loadKey = '';

	constructor(readonly handle: number, public entry: ReportedEntry, public source: EntrySource, public sampledAtMs: number) {
		this.lastSeenAtMs = sampledAtMs;
		this.recordSource(source, sampledAtMs);
	}

	/** Whether a report is out of order or belongs to an earlier start. */
	isOutdated(entry: ReportedEntry, sampledAtMs: number): boolean {
		return sampledAtMs < this.sampledAtMs || this.previousStarts.includes(entry.startId);
	}

	/** Applies a newer report. */
	update(entry: ReportedEntry, source: EntrySource, sampledAtMs: number): void {
		if (entry.startId !== this.entry.startId) {
			this.resetForNewStart();
		} else if (entry.cold && !this.entry.cold) {
			// The target became cold without a restart, so an earlier ramp no longer counts.
			this.warmth = {generation: this.warmth.generation + 1, warm: false};
		}

		// A start that announced that it is leaving never gets requests again, even if a later report omits the flag.
		const leaving = entry.leaving || (entry.startId === this.entry.startId && this.entry.leaving);
		this.entry = {...entry, leaving};
		this.source = source;
		this.sampledAtMs = sampledAtMs;
		this.lastSeenAtMs = Math.max(this.lastSeenAtMs, sampledAtMs);
		this.recordSource(source, sampledAtMs);
		this.ownRequests.prune(sampledAtMs - REPORT_LAG_MS);
	}

	/** Marks what changed since the last published state; returns whether anything changed. */
	markChanges(seq: number): boolean {
		const contentKey = getContentKey(this.entry, this.warmth);
		const loadKey = getLoadChange(this.handle, this.entry.load).join(',');
		const hasNewContent = contentKey !== this.contentKey;
		const hasNewLoad = loadKey !== this.loadKey;
		if (hasNewContent) {
			this.contentKey = contentKey;
			this.contentSeq = seq;
			this.adaptersByModel = new Map(this.entry.resident.map(resident => [resident.model, new Set(resident.adapters)]));
		}

		if (hasNewLoad) {
			this.loadKey = loadKey;
			this.loadSeq = seq;
		}

		return hasNewContent || hasNewLoad;
	}

	/** Returns the current load: the report, corrected by this host's requests that it cannot include yet. */
	getOutstanding(): number {
		return this.getExpectedLoad(1);
	}

	/** Returns the current load, assuming that all other hosts have behaved like this one since the report. */
	getExpectedLoad(fleetFactor: number): number {
		const {running, waiting} = this.entry.load;
		return Math.max(this.ownRequests.activeCount, running + waiting + (this.ownRequests.getDeltaSince(this.sampledAtMs - REPORT_LAG_MS) * fleetFactor));
	}

	/**
	 * Returns the lowest possible current load: the report may be sampled up to one announcement period before it is sent,
	 * and includes as many of this host's requests as possible. Assuming the opposite would count those of that period twice.
	 */
	getMinOutstanding(): number {
		const {running, waiting} = this.entry.load;
		const includedOwn = Math.max(this.ownRequests.countIncluded(this.sampledAtMs - REPORT_LAG_MS), this.ownRequests.countIncluded(this.sampledAtMs));
		return this.ownRequests.activeCount + Math.max(0, running + waiting - includedOwn);
	}

	/** Returns this host's part of the reported load. */
	getReportedOwnRequests(): number {
		return this.ownRequests.countIncluded(this.sampledAtMs - REPORT_LAG_MS);
	}

	isCold(): boolean {
		return this.entry.cold || (this.entry.kind === 'engine' && !this.warmth.warm);
	}

	/** Whether information from another host is so old that the target may have announced since then that it is leaving. */
	isStale(nowMs: number): boolean {
		return this.source !== 'target' && nowMs - this.lastSeenAtMs > RELAYED_TTL_MS;
	}

	/** Excludes the target on this host only, since the failure may be limited to one link. */
	recordConnectFailure(nowMs: number): void {
		this.suspectedUntilMs = nowMs + Math.min(SUSPICION_MAX_MS, SUSPICION_MIN_MS * (2 ** this.failures));
		this.failures += 1;
	}

	clearSuspicion(): void {
		this.failures = 0;
		this.suspectedUntilMs = Number.NEGATIVE_INFINITY;
	}

	private recordSource(source: EntrySource, sampledAtMs: number): void {
		if (source !== 'target') {
			return;
		}

		this.announcedAtMs = sampledAtMs;
		if (!this.isPublished) {
			this.isPublished = true;
			// Readers received the removal of the target, so they need its full entry again.
			this.contentKey = '';
		}
	}

	private resetForNewStart(): void {
		this.previousStarts = [...this.previousStarts, this.entry.startId].slice(-MAX_PREVIOUS_STARTS);
		this.warmth = {generation: 0, warm: false};
		this.ownRequests = new OwnRequests();
		this.clearSuspicion();
	}
}
