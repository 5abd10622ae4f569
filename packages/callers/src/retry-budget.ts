import type {Clock} from '@egretrill/common';
import {RETRY_RATIO, RETRY_RESERVE, RETRY_WINDOW_MS} from './limits/constants.js';

/** Counts are kept for slices of the window, so that memory does not grow with the load. */
const SLICE_MS = RETRY_WINDOW_MS / 100;

/** Retries that a window may hold: a share of its requests plus a reserve. */
export type RetryLimits = {readonly ratio: number; readonly reserve: number};

type Slice = {readonly startMs: number; requests: number; retries: number};

/** Limits the retries of a host to a share of its recent requests plus a small reserve. */
export class RetryBudget {
	private slices: readonly Slice[] = [];

	constructor(private readonly clock: Clock, private limits: RetryLimits = {ratio: RETRY_RATIO, reserve: RETRY_RESERVE}) {}

	/** Puts other limits into force. */
	setLimits(limits: RetryLimits): void {
		this.limits = limits;
	}

	/** Counts a first attempt. */
	countRequest(): void {
		this.getSlice().requests += 1;
	}

	/** Takes one retry from the budget; false when it is used up. */
	tryConsumeRetry(): boolean {
		if (!this.hasRetry()) {
			return false;
		}

		this.getSlice().retries += 1;
		return true;
	}

	/** Whether the budget holds a retry. */
	hasRetry(): boolean {
		// Drops the counts of windows that have passed.
		this.getSlice();
		let requests = 0;
		let retries = 0;
		for (const counted of this.slices) {
			requests += counted.requests;
			retries += counted.retries;
		}

		return retries + 1 <= (this.limits.ratio * requests) + this.limits.reserve;
	}

	private getSlice(): Slice {
		const now = this.clock.now();
		const startMs = Math.floor(now / SLICE_MS) * SLICE_MS;
		const last = this.slices.at(-1);
		if (last?.startMs === startMs) {
			return last;
		}

		const slice: Slice = {startMs, requests: 0, retries: 0};
		this.slices = [...this.slices.filter(old => old.startMs + SLICE_MS > now - RETRY_WINDOW_MS), slice];
		return slice;
	}
}
