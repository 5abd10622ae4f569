import {refuse, type TrafficRoute, type Verdict} from '@egretrill/common';
import {MIN_RETRY_AFTER_MS} from './constants.js';
import {decideAtStop, type DurationBasis} from './decide-at-stop.js';
import type {ForwardProgress} from './forward-context.js';
import type {ForwardDependencies} from './forward-dependencies.js';

/** Step of a request at which a planned stop is checked. */
export type StopCheckpoint = 'arrival' | 'body' | 'send' | 'switch';

/** Why a request was refused or not sent again during a planned stop, for logs. */
export type StopRefusal = {
	readonly checkpoint: StopCheckpoint;
	readonly stopLeftMs: number;
	readonly expectedMs: number;
	readonly basis: DurationBasis;
	/** Number of observed durations of the route. */
	readonly observedCount: number;
};

export type StopCheck = {
	readonly deps: Pick<ForwardDependencies, 'clock' | 'stop' | 'durations'>;
	readonly route: TrafficRoute;
	readonly progress: ForwardProgress;
	/** Time at which the request reaches its time limit. */
	readonly endsMs: number;
	/** Whether a part of the answer has been sent, so that only the rest of it is needed. */
	readonly hasStarted?: boolean;
};

/** The refusal of a request because its host shuts down. */
export function refuseForStop(): Verdict {
	return refuse(503, 'stopping', 'This host is shutting down.', MIN_RETRY_AFTER_MS);
}

/** Refuses a request that is not expected to end before a planned stop of this host does; keeps the reason in the progress. */
export function checkStop({deps: {clock, stop, durations}, route, progress, endsMs, hasStarted}: StopCheck, checkpoint: StopCheckpoint): Verdict | undefined {
	const stopLeftMs = stop.getTimeLeftMs();
	if (stopLeftMs === undefined) {
		return undefined;
	}

	const nowMs = clock.now();
	const observed = durations.getObserved(route.name);
	const {isServed, expectedMs, basis} = decideAtStop({
		route, stopLeftMs, observed, requestLeftMs: endsMs - nowMs, ranMs: hasStarted && progress.sentMs !== undefined ? nowMs - progress.sentMs : 0,
	});
	if (isServed) {
		return undefined;
	}

	progress.stopRefusal = {
		checkpoint, stopLeftMs, expectedMs, basis, observedCount: observed.count,
	};
	return refuseForStop();
}
