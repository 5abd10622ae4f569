import type {TrafficRoute} from '@egretrill/common';
import {
	FEW_OBSERVED_FACTOR, MIN_OBSERVED_DURATIONS, ONCE_DURATION_FACTOR, REPEATABLE_DURATION_FACTOR, SIZED_DURATION_FACTOR, SIZED_ONCE_DURATION_FACTOR, STOP_END_MARGIN_MS,
} from '../constants.js';

/** How long requests of a route have taken on this host: their number, a high quantile and the longest. */
export type ObservedDurations = {
	readonly count: number;
	readonly highMs: number;
	readonly longestMs: number;
	/** How long the longest of those took that named a similar size, or would have with the size that the request names. */
	readonly sizedMs?: number;
};

/** What is known of a request during a planned stop of this host. */
export type StopState = {
	readonly route: Pick<TrafficRoute, 'repeat' | 'isStream' | 'isResumable' | 'targetLatencyMs'>;
	/** Whether the request arrived when the balancer sent no new connections any more, so that its caller had kept one. */
	readonly isLate: boolean;
	/** Time until this host ends all requests. */
	readonly stopLeftMs: number;
	/** Time until the request reaches its own time limit. */
	readonly requestLeftMs: number;
	/** How long a stream that is to be resumed has run already. */
	readonly ranMs: number;
	readonly observed: ObservedDurations;
};

/** What an expected duration is based on. */
export type DurationBasis = 'observed-size' | 'observed' | 'few-observed' | 'target-latency' | 'time-limit';

/** Whether a request is served although its host stops, and how long it is expected to take. */
export type StopDecision = {readonly isServed: boolean; readonly expectedMs: number; readonly basis: DurationBasis};

type Expectation = {readonly expectedMs: number; readonly basis: DurationBasis};

/** Whether a request that is cut off may be sent again, by this host or its caller. */
export function isRepeatable({repeat, isStream, isResumable}: Pick<TrafficRoute, 'repeat' | 'isStream' | 'isResumable'>): boolean {
	return isStream ? isResumable : repeat === 'idempotent';
}

/**
 * The whole time that a request is expected to take. One that must not be repeated loses more by being cut off than by a refusal, and so does a stream,
 * of which the caller has a part by then; what most requests of the route take says nothing of it.
 */
function getWhole(route: StopState['route'], {highMs, longestMs, sizedMs}: ObservedDurations): Expectation {
	const repeatable = isRepeatable(route);
	if (sizedMs !== undefined) {
		return {expectedMs: sizedMs * (repeatable ? SIZED_DURATION_FACTOR : SIZED_ONCE_DURATION_FACTOR), basis: 'observed-size'};
	}

	if (!repeatable) {
		return {expectedMs: longestMs * ONCE_DURATION_FACTOR, basis: 'observed'};
	}

	return {expectedMs: (route.isStream ? longestMs : highMs) * REPEATABLE_DURATION_FACTOR, basis: 'observed'};
}

function getExpectation({route, requestLeftMs, ranMs, observed}: StopState): Expectation {
	const {targetLatencyMs, isStream} = route;
	const repeatable = isRepeatable(route);
	if (observed.count >= MIN_OBSERVED_DURATIONS) {
		const {expectedMs, basis} = getWhole(route, observed);
		return {expectedMs: ranMs > 0 ? Math.max(targetLatencyMs, expectedMs - ranMs) : expectedMs, basis};
	}

	if (observed.count > 0) {
		return {expectedMs: Math.max(targetLatencyMs, observed.longestMs, observed.sizedMs ?? 0) * FEW_OBSERVED_FACTOR, basis: 'few-observed'};
	}

	// The target latency of a stream is the time to its first event.
	return repeatable && !isStream
		? {expectedMs: targetLatencyMs * REPEATABLE_DURATION_FACTOR, basis: 'target-latency'}
		: {expectedMs: requestLeftMs, basis: 'time-limit'};
}

/**
 * Decides whether a request is served during a planned stop. One that arrives while the balancer still sends new connections is served if it is expected to
 * end before this host does. Later only callers that have kept a connection send, and a refusal costs them little more than another connection; what the
 * past shows holds neither for a target that falls silent or slows down nor for the longest request of a route, so that only the time limit of the
 * request bounds how long it takes.
 */
export function decideAtStop(state: StopState): StopDecision {
	const {stopLeftMs, isLate} = state;
	const requestLeftMs = Math.max(0, state.requestLeftMs);
	const limit: Expectation = {expectedMs: requestLeftMs, basis: 'time-limit'};
	const expectation = isLate ? limit : getExpectation({...state, requestLeftMs});
	const expected = expectation.expectedMs < requestLeftMs ? expectation : limit;
	return {isServed: expected.expectedMs + STOP_END_MARGIN_MS <= stopLeftMs, ...expected};
}
