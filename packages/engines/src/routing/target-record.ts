import type {LoadReport} from '@egretrill/common';
import {
	LOAD_STEPS, MAX_RETIRED_STARTS, RELAYED_TTL_MS, REPORT_LAG_MS, SUSPICION_MAX_MS, SUSPICION_MIN_MS,
} from './constants.js';
import {OwnRequests} from './own-requests.js';
import type {DirectoryEntry, LoadChange, Warmth} from './types.js';

/** How a host learns of a target: from itself, a directory host of the zone, or another zone's summary. */
export type EntrySource = 'target' | 'directory' | 'summary';

/** What a target or a directory host says about one target, without what the receiver adds. */
export type ReportedEntry = Omit<DirectoryEntry, 'handle' | 'warmth'>;

/** Rounds a load count to the steps in which changes are published. */
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

/** Returns whichever warmth is newer; within a generation a target only turns warm. */
export function getNewerWarmth(first: Warmth, second: Warmth): Warmth {
	if (first.generation !== second.generation) {
		return first.generation > second.generation ? first : second;
	}

	return first.warm ? first : second;
}

/** One target in a directory, with this host's own experience of it. */
export class TargetRecord {
	warmth: Warmth = {generation: 0, warm: false};
	heardAtMs: number;
	/** When the target itself was last heard; only such targets are passed on in digests. */
	announcedAtMs = Number.NEGATIVE_INFINITY;
	isPublished = false;
	contentSeq = 0;
	loadSeq = 0;
	work = new OwnRequests();
	adaptersByModel: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	suspectedUntilMs = Number.NEGATIVE_INFINITY;
	private retiredStarts: readonly string[] = [];
	private failures = 0;
	private contentKey = '';
	private loadKey = '';

	constructor(readonly handle: number, public entry: ReportedEntry, public source: EntrySource, public sampledAtMs: number) {
		this.heardAtMs = sampledAtMs;
		this.noteSource(source, sampledAtMs);
	}

	/** Reports out of order and reports of an earlier start say nothing about the present. */
	isOutdated(entry: ReportedEntry, sampledAtMs: number): boolean {
		return sampledAtMs < this.sampledAtMs || this.retiredStarts.includes(entry.startId);
	}

	/** Takes over a newer report. */
	update(entry: ReportedEntry, source: EntrySource, sampledAtMs: number): void {
		if (entry.startId !== this.entry.startId) {
			this.restart();
		} else if (entry.cold && !this.entry.cold) {
			// The target lost its warm state without a restart, so an earlier ramp no longer counts.
			this.warmth = {generation: this.warmth.generation + 1, warm: false};
		}

		// A start that announced its leave never takes work again, even if a later report omits the flag.
		const leaving = entry.leaving || (entry.startId === this.entry.startId && this.entry.leaving);
		this.entry = {...entry, leaving};
		this.source = source;
		this.sampledAtMs = sampledAtMs;
		this.heardAtMs = Math.max(this.heardAtMs, sampledAtMs);
		this.noteSource(source, sampledAtMs);
		this.work.prune(sampledAtMs - REPORT_LAG_MS);
	}

	/** Notes what changed since the last published state; returns whether anything did. */
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

	/** Load now: the report, corrected by this host's requests that it cannot count yet. */
	getOutstanding(): number {
		return this.getExpected(1);
	}

	/** Load now if the rest of the fleet has acted as this host has since the report. */
	getExpected(fleetFactor: number): number {
		const {running, waiting} = this.entry.load;
		return Math.max(this.work.activeCount, running + waiting + (this.work.getDelta(this.sampledAtMs - REPORT_LAG_MS) * fleetFactor));
	}

	/**
	 * Load now if the report counts as many of this host's requests as it can, since it is sampled up to one announcement
	 * period before it is sent. Counting them as not reported would count those of that period twice.
	 */
	getLeastOutstanding(): number {
		const {running, waiting} = this.entry.load;
		const own = Math.max(this.work.getCounted(this.sampledAtMs - REPORT_LAG_MS), this.work.getCounted(this.sampledAtMs));
		return this.work.activeCount + Math.max(0, running + waiting - own);
	}

	/** This host's part of the reported load. */
	getReportedOwn(): number {
		return this.work.getCounted(this.sampledAtMs - REPORT_LAG_MS);
	}

	isCold(): boolean {
		return this.entry.cold || (this.entry.kind === 'engine' && !this.warmth.warm);
	}

	/** Whether another host's word of this target is so old that the target may have announced its leave since. */
	isUnconfirmed(nowMs: number): boolean {
		return this.source !== 'target' && nowMs - this.heardAtMs > RELAYED_TTL_MS;
	}

	/** Excludes the target for this host alone; the fault may be in the one link. */
	suspect(nowMs: number): void {
		this.suspectedUntilMs = nowMs + Math.min(SUSPICION_MAX_MS, SUSPICION_MIN_MS * (2 ** this.failures));
		this.failures += 1;
	}

	clearSuspicion(): void {
		this.failures = 0;
		this.suspectedUntilMs = Number.NEGATIVE_INFINITY;
	}

	private noteSource(source: EntrySource, sampledAtMs: number): void {
		if (source !== 'target') {
			return;
		}

		this.announcedAtMs = sampledAtMs;
		if (!this.isPublished) {
			this.isPublished = true;
			// Readers were told to drop the target, so they need its full entry again.
			this.contentKey = '';
		}
	}

	private restart(): void {
		this.retiredStarts = [...this.retiredStarts, this.entry.startId].slice(-MAX_RETIRED_STARTS);
		this.warmth = {generation: 0, warm: false};
		this.work = new OwnRequests();
		this.clearSuspicion();
	}
}
