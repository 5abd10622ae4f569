import type {SpendEvent} from './types.js';

/** A rate limit in one unit: at most `burst + perSecond * t` in any window of t seconds. */
export type SpendLimit = {readonly burst: number; readonly perSecond: number};

/**
 * Largest amount by which any window exceeds its limit; 0 or less if no window exceeds it.
 * One pass is exact: the largest sum of `amount - perSecond * elapsed` over all windows that end at an event
 * is that of the previous event less what accrued since then, or that of a new window starting at this event.
 */
export function getLargestExcess(events: readonly SpendEvent[], limit: SpendLimit): number {
	let windowSum = 0;
	let largest = -limit.burst;
	let previousMs = Number.NEGATIVE_INFINITY;
	for (const event of events.toSorted((a, b) => a.atMs - b.atMs)) {
		const accrued = limit.perSecond * (event.atMs - previousMs) / 1000;
		windowSum = Math.max(0, windowSum - accrued) + event.amount;
		largest = Math.max(largest, windowSum - limit.burst);
		previousMs = event.atMs;
	}

	return largest;
}
