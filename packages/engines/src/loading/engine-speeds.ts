import {LATE_RATIO_PER_MISSING_SPEED, MIN_SPEED_RATIO, OMITTED_SPEED_RATIO} from './constants.js';

/** Whether engines differ so much in speed that it matters which one holds a copy. A tenth at either end is left out, since single engines may have been measured wrongly. */
export function areSpeedsUneven(speeds: readonly number[]): boolean {
	const sorted = speeds.toSorted((a, b) => a - b);
	const omitted = Math.floor(sorted.length * OMITTED_SPEED_RATIO);
	return sorted.length > 0 && sorted.at(-1 - omitted)! >= sorted[omitted]! * MIN_SPEED_RATIO;
}

/** Share of the requests at an engine that are late even though it has free slots, since its tokens take longer than callers allow. */
export function getLateRatio(speed: number): number {
	return Math.min(1, Math.max(0, 1 - speed) * LATE_RATIO_PER_MISSING_SPEED);
}
