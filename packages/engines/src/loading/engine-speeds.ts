import {LATE_RATIO_PER_MISSING_SPEED, MIN_SPEED_RATIO} from './constants.js';

/** Whether engines differ so much in speed that it matters which one holds a copy. Unknown speeds count as the mean. */
export function areSpeedsUneven(speeds: readonly number[]): boolean {
	return speeds.length > 0 && Math.max(...speeds) >= Math.min(...speeds) * MIN_SPEED_RATIO;
}

/** Share of the requests at an engine that are late even though it has free slots, since its tokens take longer than callers allow. */
export function getLateRatio(speed: number): number {
	return Math.min(1, Math.max(0, 1 - speed) * LATE_RATIO_PER_MISSING_SPEED);
}
