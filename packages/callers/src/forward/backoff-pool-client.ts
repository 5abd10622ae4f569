import type {Clock} from '@egretrill/common';
import {MAX_EMPTY_POOL_CACHE_MS} from './constants.js';
import {RatePoolClient} from './forward-dependencies.js';
import type {RateDecision} from './rate-allocations.js';

/** Caches until when the pool of a customer's rate is empty, so that a customer far over its rate does not cause a request to the owner for each of its own requests. */
export class BackoffPoolClient extends RatePoolClient {
	private readonly emptyUntilMs = new Map<string, number>();

	constructor(private readonly clock: Clock, private readonly poolClient: RatePoolClient) {
		super();
	}

	override async borrow(name: string, cost: number): Promise<RateDecision | undefined> {
		const remainingMs = (this.emptyUntilMs.get(name) ?? 0) - this.clock.now();
		if (remainingMs > 0) {
			return {isGranted: false, retryAfterMs: remainingMs};
		}

		const answer = await this.poolClient.borrow(name, cost);
		if (answer && !answer.isGranted) {
			this.emptyUntilMs.set(name, this.clock.now() + Math.min(answer.retryAfterMs, MAX_EMPTY_POOL_CACHE_MS));
		}

		return answer;
	}
}
