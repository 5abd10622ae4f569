import type {Clock} from '@egretrill/common';
import {MAX_EMPTY_POOL_CACHE_MS} from '../constants.js';
import {RatePoolClient} from '../forward-dependencies.js';
import type {RateDecision} from './rate-allocations.js';

/** Caches until when the pool of a customer's rate is empty, so that a customer far over its rate does not cause a request to the owner for each of its own requests. */
export class BackoffPoolClient extends RatePoolClient {
	/** Until when the owner is not asked again, and when the pool has refilled, by customer. */
	private readonly emptyPools = new Map<string, {readonly untilMs: number; readonly refilledMs: number}>();

	constructor(private readonly clock: Clock, private readonly poolClient: RatePoolClient) {
		super();
	}

	override async borrow(name: string, cost: number): Promise<RateDecision | undefined> {
		const known = this.emptyPools.get(name);
		if (known && this.clock.now() < known.untilMs) {
			return {isGranted: false, retryAfterMs: known.refilledMs - this.clock.now(), isRepeated: true};
		}

		const answer = await this.poolClient.borrow(name, cost);
		if (answer && !answer.isGranted) {
			const nowMs = this.clock.now();
			this.emptyPools.set(name, {untilMs: nowMs + Math.min(answer.retryAfterMs, MAX_EMPTY_POOL_CACHE_MS), refilledMs: nowMs + answer.retryAfterMs});
		}

		return answer;
	}

	override giveBack(name: string, cost: number): void {
		this.poolClient.giveBack(name, cost);
	}
}
