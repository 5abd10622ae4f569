import {
	FAILURE_DECAY_MS, MAX_SUSPECT_MS, SUCCESS_DECAY_RATIO, SUSPECT_MS,
} from './constants.js';
import type {Target} from './tracked-target.js';
import type {TargetOutcome} from './types.js';

/** Recent failures of a target, decayed until now. */
export function getFailures({failures, failuresUpdatedMs}: Target, nowMs: number): number {
	return failures * Math.exp((failuresUpdatedMs - nowMs) / FAILURE_DECAY_MS);
}

/** Counts failures of targets that still respond; unreachable targets are handled by suspicion instead. */
function recordFailure(target: Target, outcome: TargetOutcome, nowMs: number): void {
	if (outcome !== 'unreachable') {
		const failures = getFailures(target, nowMs);
		target.failures = outcome === 'answered' ? failures * SUCCESS_DECAY_RATIO : failures + 1;
		target.failuresUpdatedMs = nowMs;
	}
}

/** Each request to a powered-off or partitioned target costs a timeout, so it ranks last for twice as long after each failure. */
export function recordHealth(target: Target, outcome: TargetOutcome, nowMs: number): void {
	target.unreachableCount = outcome === 'unreachable' ? target.unreachableCount + 1 : 0;
	recordFailure(target, outcome, nowMs);
	target.unreachableMs = outcome === 'unreachable' ? nowMs : target.unreachableMs;
	if (outcome === 'broke-off' || outcome === 'unreachable') {
		const factor = 2 ** Math.max(0, target.unreachableCount - 1);
		target.suspectedUntilMs = nowMs + Math.min(SUSPECT_MS * factor, MAX_SUSPECT_MS);
	}
}
