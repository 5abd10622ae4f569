import type {Clock} from '@egretrill/common';
import {MAX_BORROW_PAUSE_MS} from './constants.js';
import {RateLender} from './forward-parts.js';
import type {RateAnswer} from './rate-part.js';

/** Remembers until when the pool of a customer's rate is empty. Answers a customer far beyond its rate, each of whose requests would ask the owner. */
export class PausedLender extends RateLender {
	private readonly emptyUntilMs = new Map<string, number>();

	constructor(private readonly clock: Clock, private readonly lender: RateLender) {
		super();
	}

	override async borrow(name: string, cost: number): Promise<RateAnswer | undefined> {
		const leftMs = (this.emptyUntilMs.get(name) ?? 0) - this.clock.now();
		if (leftMs > 0) {
			return {isGranted: false, retryAfterMs: leftMs};
		}

		const answer = await this.lender.borrow(name, cost);
		if (answer && !answer.isGranted) {
			this.emptyUntilMs.set(name, this.clock.now() + Math.min(answer.retryAfterMs, MAX_BORROW_PAUSE_MS));
		}

		return answer;
	}
}
