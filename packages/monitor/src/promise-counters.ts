import {PROMISES} from './constants.js';
import {PromiseId, type PromiseCount} from './types.js';

type Tally = {readonly counted: number; readonly broken: number; readonly lastBreach?: string};

/** Counts, for each promise, how often it was checked and how often it did not hold. */
export class PromiseCounters {
	private readonly tallies = new Map<PromiseId, Tally>();

	/** Counts checks of a promise that held. */
	countHeld(promise: PromiseId, amount = 1): void {
		const {counted = 0, broken = 0, lastBreach} = this.tallies.get(promise) ?? {};
		this.tallies.set(promise, {counted: counted + amount, broken, lastBreach});
	}

	/** Counts a check that found the promise broken, with what was seen. */
	countBreach(promise: PromiseId, seen: string): void {
		const {counted = 0, broken = 0} = this.tallies.get(promise) ?? {};
		this.tallies.set(promise, {counted: counted + 1, broken: broken + 1, lastBreach: seen});
	}

	/** Lists every promise, also those for which nothing was counted yet. */
	getCounts(): readonly PromiseCount[] {
		return PromiseId.options.map(promise => {
			const {counted = 0, broken = 0, lastBreach} = this.tallies.get(promise) ?? {};
			const [text, counts] = PROMISES[promise];
			return {
				promise, text, counts, counted, broken, state: broken > 0 ? 'broken' : (counted > 0 ? 'held' : 'not-counted'), ...(lastBreach !== undefined && {lastBreach}),
			};
		});
	}
}
