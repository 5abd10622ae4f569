import type {Customer} from '@egretrill/common';
import type {Attempt, HistoryView} from '../history-view.js';
import type {Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** An amount that was certainly spent within an interval: from the start of the call to the start of its first run. */
type Spend = {readonly fromMs: number; readonly toMs: number; readonly amount: number; readonly attempt: Attempt};
type RateLimit = {readonly unit: 'requests' | 'tokens'; readonly burst: number; readonly perSecond: number};

function getSpends(attempts: readonly Attempt[], unit: RateLimit['unit']): readonly Spend[] {
	return attempts.flatMap(attempt => {
		const {started, ended, runs} = attempt;
		const [first] = runs;
		const amount = unit === 'requests' ? 1 : (ended?.status === 200 && (ended.isDone || !started.isStream) ? started.tokens : 0);
		return first === undefined || amount === 0
			? []
			: [{
				fromMs: started.atMs, toMs: first.atMs, amount, attempt,
			}];
	});
}

/** Finds the window with the largest excess over the limit, among all windows from the start of a call to the start of a run. */
function findLargestExcess(spends: readonly Spend[], {burst, perSecond}: RateLimit): {readonly excess: number; readonly window: readonly Spend[]} {
	const spendsByEnd = spends.toSorted((a, b) => a.toMs - b.toMs);
	let largest: {excess: number; window: readonly Spend[]} = {excess: 0, window: []};
	for (const {fromMs} of spends) {
		let sum = 0;
		for (const {fromMs: startMs, toMs, amount} of spendsByEnd) {
			sum += startMs >= fromMs ? amount : 0;
			const excess = startMs >= fromMs ? sum - burst - (perSecond * (toMs - fromMs) / 1000) : 0;
			if (excess > largest.excess) {
				largest = {excess, window: spendsByEnd.filter(spend => spend.fromMs >= fromMs && spend.toMs <= toMs)};
			}
		}
	}

	return largest;
}

/** P4: in every window, all hosts together spend at most a customer's burst plus its rate times the length of the window. */
export class RateCheck extends PromiseCheck {
	override readonly promise = 'P4';
	override readonly title = 'no customer gets more than its rate and burst over all hosts';
	override readonly unit = 'runs counted against a rate';

	protected override examine(view: HistoryView): Examination {
		const keyed = view.attempts.filter(({started, runs}) => started.isKeyed && runs.length > 0);
		return {counted: keyed.length, findings: view.history.document.customers.flatMap(customer => this.checkCustomer(customer, keyed))};
	}

	private checkCustomer({id, rate}: Customer, keyed: readonly Attempt[]): readonly Finding[] {
		const ownAttempts = keyed.filter(({started}) => started.customer === id);
		const limits: readonly RateLimit[] = [
			{unit: 'requests', burst: rate.burstRequests, perSecond: rate.requestsPerSecond},
			{unit: 'tokens', burst: rate.burstTokens, perSecond: rate.tokensPerSecond},
		];
		return limits.flatMap(limit => {
			const {excess, window} = findLargestExcess(getSpends(ownAttempts, limit.unit), limit);
			const [first, last] = [window[0], window.at(-1)];
			return excess > 0
				? [{
					what: `${id} spent ${excess.toFixed(2)} ${limit.unit} more than a window allows, in ${window.length} runs`,
					evidence: describeEvents(first?.attempt.started, last?.attempt.runs[0]),
				}]
				: [];
		});
	}
}
