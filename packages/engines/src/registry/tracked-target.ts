import type {Registration} from '@egretrill/common';
import type {ColdSends} from './cold-sends.js';
import {SUSPECT_MS} from './constants.js';

/** What an entry host knows of a target. */
export type Target = {
	registration: Registration;
	coldUntilMs: number;
	/** Time at which a target that leaves is gone, if it says so. */
	leavesAtMs?: number | undefined;
	/** Time at which this host learned of the process. */
	readonly registeredMs: number;
	/** Time for which its process may have ended: what listens at its address then is another one, which is cold and has yet to be registered here. */
	limitedFromMs: number;
	limitedUntilMs: number;
	/** End of the time after the return of its zone to service in which it may be cold without being registered as such. */
	returnedUntilMs: number;
	/** Outstanding requests of this host. */
	ownRequests: number;
	/** Outstanding requests of this host that use an adapter, by model and adapter. */
	readonly adapterUses: Map<string, {readonly model: string; readonly adapter: string; readonly count: number}>;
	/** Outstanding requests of the other hosts, as last reported by the leader or the target, and the time of that report. */
	otherHostsRequests: number;
	othersReportedMs: number;
	suspectedUntilMs: number;
	/** End of the time for which the target counts as silent unless something arrives from it. */
	silentUntilMs: number;
	/** Recent failures, decayed over time. */
	failures: number;
	failuresUpdatedMs: number;
	/** Consecutive requests that could not reach the target, and the time of the last one. */
	unreachableCount: number;
	unreachableMs: number;
	readonly coldSends: ColdSends;
};

/** Changes the number of outstanding requests that use an adapter. */
export function changeAdapterUse({adapterUses}: Target, model: string | undefined, adapter: string | undefined, change: number): void {
	if (model === undefined || adapter === undefined) {
		return;
	}

	const key = JSON.stringify([model, adapter]);
	const count = (adapterUses.get(key)?.count ?? 0) + change;
	if (count > 0) {
		adapterUses.set(key, {model, adapter, count});
	} else {
		adapterUses.delete(key);
	}
}

/** Records that something has arrived for a request that was sent at the given time. Ends the silence of the target, and the longer suspicion after several connections that timed out: a silent target with a full queue of new connections is neither powered off nor partitioned. */
export function recordActivity(target: Target, acquiredMs: number): void {
	target.silentUntilMs = 0;
	// What arrives for a request from before shows that the process has not ended.
	if (acquiredMs < target.limitedFromMs) {
		target.limitedUntilMs = 0;
	}

	if (target.unreachableCount > 0) {
		target.suspectedUntilMs = Math.min(target.suspectedUntilMs, target.unreachableMs + SUSPECT_MS);
	}
}
