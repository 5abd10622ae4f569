import type {TrafficRoute} from '@egretrill/common';
import {decideAtStop, type ObservedDurations} from '../stops/decide-at-stop.js';

/** What is known of a stream whose target leaves. */
export type LeavingStream = {
	readonly route: Pick<TrafficRoute, 'repeat' | 'isStream' | 'isResumable' | 'targetLatencyMs'>;
	/** Time until the target is gone; undefined if it does not leave, or does not say when. */
	readonly leaveLeftMs: number | undefined;
	/** Time until the request reaches its own time limit. */
	readonly requestLeftMs: number;
	readonly ranMs: number;
	/** Lists how long requests of the route took; called only if the target leaves. */
	readonly getObserved: () => ObservedDurations;
};

/** Whether a stream is to go on at another target, since it is not expected to end before its own one is gone. Answers the withdrawal of an engine together with all its streams. */
export function mustMove({route, leaveLeftMs, requestLeftMs, ranMs, getObserved}: LeavingStream): boolean {
	return leaveLeftMs !== undefined && !decideAtStop({
		route, isLate: false, stopLeftMs: leaveLeftMs, requestLeftMs, ranMs, observed: getObserved(),
	}).isServed;
}
