import {refuse, type TrafficCustomer, type Verdict} from '@egretrill/common';
import {MIN_RETRY_AFTER_MS} from '../constants.js';
import type {ForwardDependencies} from '../forward-dependencies.js';
import {getCost} from '../route-table.js';
import type {ForwardCall} from '../types.js';
import type {RateDecision} from './rate-allocations.js';

type RateDependencies = Pick<ForwardDependencies, 'rates' | 'poolClient' | 'retrySchedule'>;

function describeRefusal(borrowed: RateDecision | undefined): string {
	if (borrowed === undefined) {
		return 'The customer has used up this host\'s part of its rate, and the owner of the rate does not answer.';
	}

	return borrowed.isRepeated
		? 'The customer had used up its rate when its owner was last asked.'
		: 'The customer has used up its rate.';
}

/** Charges a request to its customer's rate: to this host's allocation first, then to the owner's pool. Returns a refusal if neither grants it. */
export async function spendRate(customer: TrafficCustomer, call: ForwardCall, {rates, poolClient, retrySchedule}: RateDependencies): Promise<Verdict | undefined> {
	const {name} = customer;
	const cost = getCost(customer, call);
	const allocated = rates.spend(name, cost);
	if (allocated.isGranted) {
		return undefined;
	}

	const borrowed = await poolClient.borrow(name, cost);
	const decision = borrowed ?? rates.overdraw(name, cost);
	if (decision.isGranted) {
		return undefined;
	}

	const earliestMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(allocated.retryAfterMs, decision.retryAfterMs));
	return refuse(429, 'over-rate', describeRefusal(borrowed), retrySchedule.getRetryAfterMs(name, earliestMs));
}
