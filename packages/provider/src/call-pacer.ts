import {type Clock, jitter, type Random} from '@egretrill/common';
import {CALL_RATE_MARGIN, MAX_BACKOFF_MS, MIN_BACKOFF_MS} from './constants.js';
import type {CallOutcome} from './types.js';

const MS_PER_SECOND = 1000;

/** Spaces the calls to the provider: within its limit, and further apart after failures. */
export class CallPacer {
	private nextCallAtMs: number;
	private failures = 0;

	constructor(private readonly clock: Clock, private readonly random: Random, private readonly callsPerSecond: number, firstCallAtMs: number) {
		this.nextCallAtMs = firstCallAtMs;
	}

	mayCall(): boolean {
		return this.clock.now() >= this.nextCallAtMs;
	}

	/** Takes the outcome of a call that has just ended. */
	record(outcome: CallOutcome): void {
		const intervalMs = CALL_RATE_MARGIN * MS_PER_SECOND / this.callsPerSecond;
		const hasAnswered = outcome === 'accepted' || outcome === 'refused';
		this.failures = hasAnswered ? 0 : this.failures + 1;
		const backoffMs = hasAnswered ? 0 : jitter(Math.min(MIN_BACKOFF_MS * (2 ** (this.failures - 1)), MAX_BACKOFF_MS), this.random);
		this.nextCallAtMs = this.clock.now() + Math.max(intervalMs, backoffMs);
	}
}
