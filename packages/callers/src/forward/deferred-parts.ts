import {CLOCK_DRIFT_RATIO, type Clock} from '@egretrill/common';
import {DEFERRED_PARTS_CACHE_MS, STANDING_DELAY_MS} from './constants.js';

type DeferredPart = {readonly part: number; readonly untilMs: number};

/** Time for which the owner may spend the standing part of a host that has applied an answer, counted from when the answer was given. */
const DEFERRED_MS = (STANDING_DELAY_MS * (1 - CLOCK_DRIFT_RATIO)) - DEFERRED_PARTS_CACHE_MS;

/**
 * Standing parts that hosts do not use for now. A host begins to use its part only `STANDING_DELAY_MS` after the last answer of an owner that it has applied,
 * so until then the owner may spend the part of each host that has acknowledged an answer.
 */
export class DeferredParts {
	private readonly parts = new Map<string, DeferredPart>();
	private sum = 0;
	private summedMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {}

	/** Records that a host has applied an answer that was given at the time, and the most that its standing part may be. */
	record(hostId: string, part: number, answeredMs: number): void {
		this.parts.set(hostId, {part, untilMs: answeredMs + DEFERRED_MS});
	}

	/** Whether `getSum` may change with its next call. */
	isOutdated(): boolean {
		return this.clock.now() - this.summedMs >= DEFERRED_PARTS_CACHE_MS;
	}

	/** Sum of the parts that are not used now. Computed at intervals, since borrowing must not iterate over all hosts for each request. */
	getSum(): number {
		if (this.isOutdated()) {
			this.summedMs = this.clock.now();
			this.sum = 0;
			for (const [hostId, {part, untilMs}] of this.parts) {
				if (untilMs <= this.summedMs) {
					this.parts.delete(hostId);
				} else {
					this.sum += part;
				}
			}
		}

		return this.sum;
	}
}
