import {
	type CrashRecord, type CrashReport, type CrashTracker, EVIDENCE_TTL_MS, grantProbes,
} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {
	type FleetNode, type FleetState, MAX_STORED_CRASHES, MAX_STORED_ENDS, type StoredCrash,
} from '@egretrill/hosts';

/** Longest wait for the log when a probe is to be granted: the host that asked for it waits for the answer. */
export const CRASH_STORE_TIMEOUT_MS = 500;

/** Shortest time between two entries: the ends of one crash arrive from several hosts. */
const STORE_INTERVAL_MS = 100;

/** How often the stored evidence is compared with the current one if nothing has changed. */
const CHECK_INTERVAL_MS = 1000;

/** Requests with a key keep its evidence alive; their latest arrival is stored once it is so much later than the stored one. */
const ARRIVAL_STORE_MS = EVIDENCE_TTL_MS / 4;

export type CrashLogOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly tracker: CrashTracker;
	readonly node: Pick<FleetNode, 'isLeaderWithLease' | 'propose'>;
	readonly state: Pick<FleetState, 'getCrashes'>;
	readonly getTimeOfDayMs: () => number;
};

/** Converts stored evidence for a tracker. */
export function toCrashRecord({key, rank, ends, provenAtMs, probeCount, probedAtMs, arrivedAtMs}: StoredCrash, timeOfDayMs: number): CrashRecord {
	const getAge = (atMs: number): number => Math.max(0, timeOfDayMs - atMs);
	return {
		key,
		rank,
		ends: ends.map(([startId, atMs]) => [startId, getAge(atMs)]),
		...(provenAtMs !== undefined && {provenAgeMs: getAge(provenAtMs)}),
		probeCount,
		...(probedAtMs !== undefined && {probeAgeMs: getAge(probedAtMs)}),
		arrivalAgeMs: getAge(arrivedAtMs),
	};
}

function toStoredCrash({key, rank, ends, provenAgeMs, probeCount, probeAgeMs, arrivalAgeMs}: CrashRecord, timeOfDayMs: number): StoredCrash {
	const getTime = (ageMs: number): number => Math.max(0, Math.round(timeOfDayMs - ageMs));
	return {
		key,
		rank,
		ends: ends.slice(0, MAX_STORED_ENDS).map(([startId, ageMs]) => [startId, getTime(ageMs)]),
		...(provenAgeMs !== undefined && {provenAtMs: getTime(provenAgeMs)}),
		probeCount,
		...(probeAgeMs !== undefined && {probedAtMs: getTime(probeAgeMs)}),
		arrivedAtMs: getTime(arrivalAgeMs),
	};
}

/** Keeps the evidence of the leader in the replicated log, so that a request which ends targets stays refused after all hosts were lost at once. */
export class CrashLog {
	private restored: readonly StoredCrash[] = [];
	private storedRevision = 0;
	private pendingStores = 0;

	constructor(private readonly opts: CrashLogOptions) {}

	/** Joins what the log has brought. What this host stores itself is known already, and would only be rounded. */
	restore(): void {
		const {tracker, state, getTimeOfDayMs} = this.opts;
		const stored = state.getCrashes();
		if (stored === this.restored || this.pendingStores > 0) {
			return;
		}

		this.restored = stored;
		const timeOfDayMs = getTimeOfDayMs();
		tracker.mergeReport(stored.map(crash => toCrashRecord(crash, timeOfDayMs)));
	}

	/** Stores changes of the evidence while this host leads, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, node, tracker} = this.opts;
		while (!signal.aborted) {
			this.restore();
			if (!node.isLeaderWithLease() || !this.hasChanges()) {
				await tracker.changed.wait(clock, CHECK_INTERVAL_MS, signal);
				continue;
			}

			await this.store();
			await clock.sleep(STORE_INTERVAL_MS, signal);
		}
	}

	/** Stores the current evidence; resolves with whether the log has confirmed it in time. Only a leader that has applied all earlier entries may replace it. */
	async store(): Promise<boolean> {
		const {logger, node, state, tracker, getTimeOfDayMs} = this.opts;
		this.restore();
		if (!node.isLeaderWithLease()) {
			return false;
		}

		const revision = tracker.getRevision();
		const timeOfDayMs = getTimeOfDayMs();
		const crashes = tracker.listRecords().filter(({ends}) => ends.length > 0).slice(0, MAX_STORED_CRASHES).map(record => toStoredCrash(record, timeOfDayMs));
		this.pendingStores += 1;
		const outcome = await node.propose({kind: 'setCrashes', crashes}, CRASH_STORE_TIMEOUT_MS);
		this.pendingStores -= 1;
		const isStored = outcome.kind === 'committed';
		if (isStored) {
			this.restored = state.getCrashes();
			this.storedRevision = Math.max(this.storedRevision, revision);
		}

		logger.info({keys: crashes.length, ends: crashes.reduce((sum, {ends}) => sum + ends.length, 0), outcome: outcome.kind}, isStored ? 'Evidence on what ends targets was stored.' : 'The log has not confirmed the evidence on what ends targets.');
		return isStored;
	}

	/** Grants the probes that are due of those that a host could send, but only once the log has them: each may end another target, and none may be granted again after a loss of all hosts. */
	async grantProbes(report: CrashReport): Promise<readonly string[]> {
		const {logger, tracker} = this.opts;
		this.restore();
		const keys = grantProbes(tracker, report);
		if (keys.length === 0) {
			return [];
		}

		const isStored = await this.store();
		logger.info({keys, isStored}, isStored ? 'Probes of blocked keys were granted.' : 'Probes of blocked keys were not granted, since the log did not confirm them.');
		return isStored ? keys : [];
	}

	private hasChanges(): boolean {
		return this.opts.tracker.getRevision() > this.storedRevision || this.hasLaterArrivals();
	}

	private hasLaterArrivals(): boolean {
		const {tracker, getTimeOfDayMs} = this.opts;
		if (this.restored.length === 0) {
			return false;
		}

		const storedMs = new Map(this.restored.map(({key, arrivedAtMs}) => [key, arrivedAtMs]));
		const timeOfDayMs = getTimeOfDayMs();
		return tracker.listRecords().some(({key, arrivalAgeMs}) => timeOfDayMs - arrivalAgeMs - (storedMs.get(key) ?? timeOfDayMs) > ARRIVAL_STORE_MS);
	}
}
