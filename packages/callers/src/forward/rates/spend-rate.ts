import {refuse, type TrafficCustomer, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {MIN_RETRY_AFTER_MS} from '../constants.js';
import type {ForwardDependencies} from '../forward-dependencies.js';
import {getCost} from '../route-table.js';
import type {ForwardCall} from '../types.js';
import type {RateDecision} from './rate-allocations.js';

/** Where the cost of a request was charged: to this host's allocation or to the owner's pool. */
export type RateSource = 'allocation' | 'pool';

type RateDependencies = Pick<ForwardDependencies, 'rates' | 'poolClient' | 'retrySchedule'>;

function describeRefusal(borrowed: RateDecision | undefined): string {
	if (borrowed === undefined) {
		return 'The customer has used up this host\'s part of its rate, and the owner of the rate does not answer.';
	}

	return borrowed.isRepeated
		? 'The customer had used up its rate when its owner was last asked.'
		: 'The customer has used up its rate.';
}

/** Charges a request to its customer's rate: to this host's allocation first, then to the owner's pool. Returns which of them was charged, or a refusal if neither grants it. */
export async function spendRate(customer: TrafficCustomer, call: ForwardCall, {rates, poolClient, retrySchedule}: RateDependencies): Promise<Result<RateSource, Verdict>> {
	const {name} = customer;
	const cost = getCost(customer, call);
	const allocated = rates.spend(name, cost);
	if (allocated.isGranted) {
		return Result.ok('allocation');
	}

	const borrowed = await poolClient.borrow(name, cost);
	const decision = borrowed ?? rates.overdraw(name, cost);
	if (decision.isGranted) {
		return Result.ok(borrowed ? 'pool' : 'allocation');
	}

	const earliestMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(allocated.retryAfterMs, decision.retryAfterMs));
	return Result.err(refuse(429, 'over-rate', describeRefusal(borrowed), retrySchedule.getRetryAfterMs(name, earliestMs)));
}

/** Gives back the cost of a request that certainly reached no target, to where it was charged. */
export function refundRate(customer: TrafficCustomer, call: ForwardCall, source: RateSource, {rates, poolClient}: Pick<RateDependencies, 'rates' | 'poolClient'>): void {
	const cost = getCost(customer, call);
	if (source === 'pool') {
		poolClient.giveBack(customer.name, cost);
	} else {
		rates.refund(customer.name, cost);
	}
}
