import type {TrafficRoute} from '@egretrill/common';
import {
	MAX_WAIT_RATIO, MIN_SATURATED_WAIT_MS, PLANNED_WAIT_RATIO, SATURATED_WAIT_RATIO, STREAM_CALLER_TIMEOUT_MS, STREAM_CALLER_TIMEOUT_RATIO, STREAM_WAIT_RATIO, UNKNOWN_WAIT_RATIO,
} from '../constants.js';
import type {WaitLimits} from './wait-forecast.js';

/** How long a request may wait for a slot. */
export function getWaitLimits({isStream, targetLatencyMs}: Pick<TrafficRoute, 'isStream' | 'targetLatencyMs'>, remainingMs: number): WaitLimits {
	const callerWaitMs = isStream ? Math.max(STREAM_CALLER_TIMEOUT_MS, targetLatencyMs * STREAM_CALLER_TIMEOUT_RATIO) * STREAM_WAIT_RATIO : remainingMs;
	const unplannedMs = Math.min(remainingMs * MAX_WAIT_RATIO, callerWaitMs);
	return {
		unplannedMs,
		plannedMs: Math.min(remainingMs * PLANNED_WAIT_RATIO, callerWaitMs),
		saturatedMs: Math.min(unplannedMs, Math.max(MIN_SATURATED_WAIT_MS, targetLatencyMs * SATURATED_WAIT_RATIO)),
		shortage: {
			saturatedMs: Math.min(unplannedMs, targetLatencyMs * SATURATED_WAIT_RATIO),
			unknownMs: Math.min(unplannedMs, targetLatencyMs * UNKNOWN_WAIT_RATIO),
		},
	};
}
