import type {Clock} from '@egretrill/common';
import {RETRY_RATIO, RETRY_RESERVE, RETRY_WINDOW_MS} from './limits/constants.js';

/** Requests and retries are counted per slice of the window, so that memory use does not grow with the load. */
const SLICE_MS = RETRY_WINDOW_MS / 100;

/** Maximum number of retries in a window: a fraction of its requests plus a reserve. */
export type RetryLimits = {readonly ratio: number; readonly reserve: number};

type Slice = {readonly startMs: number; requests: number; retries: number};

/** Limits the retries of a host to a fraction of its recent requests plus a small reserve. */
export class RetryBudget {
	private slices: readonly Slice[] = [];

	constructor(private readonly clock: Clock, private limits: RetryLimits = {ratio: RETRY_RATIO, reserve: RETRY_RESERVE}) {}

	/** Replaces the limits. */
	setLimits(limits: RetryLimits): void {
		this.limits = limits;
	}

	/** Counts a request, once for all its attempts. */
	countRequest(): void {
		this.getCurrentSlice().requests += 1;
	}

	/** Consumes one retry of the budget; false when the budget is exhausted. */
	tryConsumeRetry(): boolean {
		if (!this.hasRetry()) {
			return false;
		}

		this.getCurrentSlice().retries += 1;
		return true;
	}

	/** Returns a consumed retry that reached no target. */
	returnRetry(): void {
		// Removes the counts of slices that have left the window.
		this.getCurrentSlice();
		const oldest = this.slices.find(({retries}) => retries > 0);
		if (oldest) {
			oldest.retries -= 1;
		}
	}

	/** Whether the budget allows another retry. */
	hasRetry(): boolean {
		// Removes the counts of slices that have left the window.
		this.getCurrentSlice();
		let requests = 0;
		let retries = 0;
		for (const counted of this.slices) {
			requests += counted.requests;
			retries += counted.retries;
		}

		return retries + 1 <= (this.limits.ratio * requests) + this.limits.reserve;
	}

	private getCurrentSlice(): Slice {
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
