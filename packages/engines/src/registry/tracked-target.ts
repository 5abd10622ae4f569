import type {Registration} from '@egretrill/common';
import type {ColdSends} from './cold-sends.js';
import {
	LOAD_SMOOTHING_MS, OTHER_COUNTS_TTL_MS, REGISTRATION_TTL_MS, SUSPECT_MS,
} from './constants.js';

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
	/** Moving mean of the reported requests of the other hosts. */
	smoothedOthers: number;
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
	/** How much longer than usual work took at the target, as last reported with an answer, and the time of that; 1 is as usual. */
	slowdown: number;
	slowdownReportedMs: number;
	/** How much this host prefers the target, from 0 to 1; set when it is first needed. */
	preference: number | undefined;
};

/** Returns a target of which only its registration is known. */
export function createTarget({registration, coldUntilMs, registeredMs, coldSends}: Pick<Target, 'registration' | 'coldUntilMs' | 'registeredMs' | 'coldSends'>): Target {
	return {
		registration,
		coldUntilMs,
		registeredMs,
		coldSends,
		limitedFromMs: 0,
		limitedUntilMs: 0,
		returnedUntilMs: 0,
		ownRequests: 0,
		adapterUses: new Map(),
		otherHostsRequests: 0,
		othersReportedMs: 0,
		smoothedOthers: 0,
		suspectedUntilMs: 0,
		silentUntilMs: 0,
		failures: 0,
		failuresUpdatedMs: 0,
		unreachableCount: 0,
		unreachableMs: 0,
		slowdown: 1,
		slowdownReportedMs: 0,
		preference: undefined,
	};
}

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

/** Sets the outstanding requests of the other hosts. */
export function setOthers(target: Target, count: number, nowMs: number): void {
	const weight = 1 - Math.exp((target.othersReportedMs - nowMs) / LOAD_SMOOTHING_MS);
	target.smoothedOthers += (count - target.smoothedOthers) * weight;
	target.otherHostsRequests = count;
	target.othersReportedMs = nowMs;
}

/** Requests of all hosts at a target. A host that is cut off from the leader must not take old counts of the others for running requests. */
export function getOutstanding({ownRequests, otherHostsRequests, othersReportedMs}: Target, nowMs: number): number {
	return ownRequests + (nowMs - othersReportedMs > OTHER_COUNTS_TTL_MS ? 0 : otherHostsRequests);
}

/** Requests of the other hosts at a target on average over the last seconds. Many hosts with the same figure would choose the target that happened to have the fewest. */
export function getRecentOthers({smoothedOthers, othersReportedMs}: Target, nowMs: number): number {
	return nowMs - othersReportedMs > OTHER_COUNTS_TTL_MS ? 0 : smoothedOthers;
}

/** Whether the target is cold, or may be without being registered as such. */
export function isLimited({coldUntilMs, limitedUntilMs, returnedUntilMs}: Target, nowMs: number): boolean {
	return nowMs < Math.max(coldUntilMs, limitedUntilMs, returnedUntilMs);
}

/** Sends a target no more than a cold one bears until its next process is registered, or its registration has expired. */
export function limitUntilRegistered(target: Target, nowMs: number): void {
	if (!isLimited(target, nowMs)) {
		target.limitedFromMs = nowMs;
	}

	target.limitedUntilMs = nowMs + REGISTRATION_TTL_MS;
}

/** Sets when a target that leaves is gone; the first announcement counts, since later ones may be delayed. */
export function setLeave(target: Target | undefined, {leavesInMs}: Registration, receivedMs: number): void {
	if (target) {
		target.leavesAtMs = leavesInMs === undefined ? undefined : Math.min(target.leavesAtMs ?? Number.POSITIVE_INFINITY, receivedMs + leavesInMs);
	}
}
