import {RATE_WINDOW_MS} from './constants.js';

/** A customer's limit and the present demand of all hosts for it. */
export type RateUse = {
	readonly ratePerSecond: number;
	readonly burst: number;
	readonly demandPerSecond: number;
	/** Largest mean cost of a request at any host; 0 while none is known. */
	readonly meanCost: number;
	readonly hostCount: number;
};

/** Number of requests that each host may grant before it asks the owner: even if all do so at once, the spending in a window that has begun with the present demand keeps to the limit. */
export function countAdvances({ratePerSecond, burst, demandPerSecond, meanCost, hostCount}: RateUse): number {
	const unspent = Math.max(0, ratePerSecond - demandPerSecond) * RATE_WINDOW_MS / 1000;
	const oneEach = hostCount * meanCost;
	return oneEach === 0 ? 0 : Math.floor((burst + unspent) / oneEach);
}
