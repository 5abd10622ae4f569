import {
	type Clock, refuse, type TrafficRoute, type Verdict,
} from '@egretrill/common';
import {MIN_RETRY_AFTER_MS} from '../constants.js';
import {decideAtStop} from './decide-at-stop.js';
import type {PlannedStop} from './planned-stop.js';
import type {RequestSize, RouteDurations} from './route-durations.js';
import type {StopCheckpoint, StopEstimate, StopRefusal} from './stop-refusal.js';

export type StopCheck = {
	readonly deps: {readonly clock: Clock; readonly stop: PlannedStop; readonly durations: RouteDurations};
	readonly route: TrafficRoute;
	readonly call: RequestSize;
	readonly progress: {
		/** Time of the first attempt. */
		readonly sentMs?: number;
		/** Whether the request was complete only when the balancer sent no new connections any more. */
		isLateArrival?: boolean;
		/** Set when the request is refused. */
		stopRefusal?: StopRefusal;
		/** Set when the request is served although the host stops: what was expected of it at first and last. */
		stopArrival?: StopEstimate;
		stopEstimate?: StopEstimate;
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

/** Finds out whether a request is expected to end before a planned stop of this host does; undefined without a stop. */
function assess({deps: {clock, stop, durations}, route, call, progress, endsMs, hasStarted}: StopCheck, checkpoint: StopCheckpoint): {readonly isServed: boolean; readonly estimate: StopEstimate} | undefined {
	const stopLeftMs = stop.getTimeLeftMs();
	if (stopLeftMs === undefined) {
		return undefined;
	}

	if (checkpoint === 'arrival' || checkpoint === 'body') {
		progress.isLateArrival = stop.isLate();
	}

	const nowMs = clock.now();
	const observed = durations.getObserved(route.name, call);
	const {isServed, expectedMs, basis} = decideAtStop({
		route, stopLeftMs, isLate: progress.isLateArrival ?? false, observed, requestLeftMs: endsMs - nowMs, ranMs: hasStarted && progress.sentMs !== undefined ? nowMs - progress.sentMs : 0,
	});
	return {
		isServed,
		estimate: {
			checkpoint, stopElapsedMs: stop.getElapsedMs() ?? 0, stopLeftMs, expectedMs, basis, observedCount: observed.count, ...(call.tokensOut !== undefined && {tokensOut: call.tokensOut}),
		},
	};
}

/** Refuses a request that is not expected to end before a planned stop of this host does, and records in its progress what the decision rests on. */
export function refuseBeforeStop(check: StopCheck, checkpoint: StopCheckpoint): Verdict | undefined {
	const assessed = assess(check, checkpoint);
	if (!assessed) {
		return undefined;
	}

	if (assessed.isServed) {
		check.progress.stopArrival ??= assessed.estimate;
		check.progress.stopEstimate = assessed.estimate;
		return undefined;
	}

	check.progress.stopRefusal = assessed.estimate;
	return refuseForStop();
}
