import {
	type Clock, refuse, type TrafficRoute, type Verdict,
} from '@egretrill/common';
import {MIN_RETRY_AFTER_MS} from './constants.js';
import {decideAtStop} from './decide-at-stop.js';
import type {PlannedStop} from './planned-stop.js';
import type {RequestSize, RouteDurations} from './route-durations.js';
import type {StopCheckpoint, StopRefusal} from './stop-refusal.js';

export type StopCheck = {
	readonly deps: {readonly clock: Clock; readonly stop: PlannedStop; readonly durations: RouteDurations};
	readonly route: TrafficRoute;
	readonly call: RequestSize;
	readonly progress: {
		/** Time of the first attempt. */
		readonly sentMs?: number;
		/** Set when the request is refused. */
		stopRefusal?: StopRefusal;
	};
	/** Time at which the request reaches its time limit. */
	readonly endsMs: number;
	/** Whether a part of the answer has been sent, so that only the rest of it is needed. */
	readonly hasStarted?: boolean;
};

/** The refusal of a request because its host shuts down. */
export function refuseForStop(): Verdict {
	return refuse(503, 'stopping', 'This host is shutting down.', MIN_RETRY_AFTER_MS);
}

/** Finds out why a request is not expected to end before a planned stop of this host does; undefined if it is. */
function findStopRefusal({deps: {clock, stop, durations}, route, call, progress, endsMs, hasStarted}: StopCheck, checkpoint: StopCheckpoint): StopRefusal | undefined {
	const stopLeftMs = stop.getTimeLeftMs();
	if (stopLeftMs === undefined) {
		return undefined;
	}

	const nowMs = clock.now();
	const observed = durations.getObserved(route.name, call);
	const {isServed, expectedMs, basis} = decideAtStop({
		route, stopLeftMs, observed, requestLeftMs: endsMs - nowMs, ranMs: hasStarted && progress.sentMs !== undefined ? nowMs - progress.sentMs : 0,
	});
	return isServed
		? undefined
		: {
			checkpoint, stopLeftMs, expectedMs, basis, observedCount: observed.count, ...(call.tokensOut !== undefined && {tokensOut: call.tokensOut}),
		};
}

/** Refuses a request that is not expected to end before a planned stop of this host does, and records the reason in its progress. */
export function refuseBeforeStop(check: StopCheck, checkpoint: StopCheckpoint): Verdict | undefined {
	const refusal = findStopRefusal(check, checkpoint);
	if (!refusal) {
		return undefined;
	}

	check.progress.stopRefusal = refusal;
	return refuseForStop();
}
