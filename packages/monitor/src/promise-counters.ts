import {PROMISES} from './constants.js';
import {PromiseId, type PromiseCount} from './types.js';

type Tally = {readonly counted: number; readonly broken: number; readonly lastBreach?: string};

/** Counts the checks and the breaches of each promise. */
export class PromiseCounters {
	private readonly tallies = new Map<PromiseId, Tally>();

	/** Counts checks that found the promise held. */
	countHeld(promise: PromiseId, checks = 1): void {
		const {counted = 0, broken = 0, lastBreach} = this.tallies.get(promise) ?? {};
		this.tallies.set(promise, {counted: counted + checks, broken, lastBreach});
	}

	/** Counts a check that found the promise broken, and keeps the description of the breach. */
	countBreach(promise: PromiseId, description: string): void {
		const {counted = 0, broken = 0} = this.tallies.get(promise) ?? {};
		this.tallies.set(promise, {counted: counted + 1, broken: broken + 1, lastBreach: description});
	}

	/** Lists every promise, including those that have not been checked yet. */
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
