import {type Clock, DecayingCounts} from '@egretrill/common';
import {
	MAX_SPACED_RETRY_MS, MIN_RETRY_AFTER_MS, NO_TARGET_RETRY_MS, SLOT_RATE_TIME_CONSTANT_MS, DEFAULT_RETRY_SPACING_MS, UNPLANNED_MODEL_WAIT_MS,
} from './constants.js';

/** How long a request may wait for a place, by what it waits for. */
export type WaitLimits = {
	/** For a model or adapter of which nobody knows when it can serve. */
	readonly unplannedMs: number;
	/** For a model or adapter that is known to be ready by then. */
	readonly plannedMs: number;
	/** For a place at targets that are all busy. */
	readonly saturatedMs: number;
};

/** What a waiting request waits for. */
export type WaitReason = 'full' | 'adapter-missing' | 'none';

export type WaitState = {
	readonly reason: WaitReason;
	readonly waitedMs: number;
	/** Expected time until a place; undefined if nothing tells. */
	readonly forecastMs: number | undefined;
};

/** Whether a request goes on waiting, or when its caller should return instead. */
export type WaitDecision = {readonly kind: 'wait'; readonly untilMs: number} | {readonly kind: 'refuse'; readonly retryAfterMs: number};

function getLimitMs(reason: WaitReason, isPlanned: boolean, {unplannedMs, plannedMs, saturatedMs}: WaitLimits): number {
	if (reason === 'full') {
		return saturatedMs;
	}

	if (isPlanned) {
		return plannedMs;
	}

	return reason === 'none' ? Math.min(unplannedMs, UNPLANNED_MODEL_WAIT_MS) : unplannedMs;
}

/** Refuses a request as soon as it is plain that its place would come too late. Answers bursts beyond what the targets serve, and models whose load takes longer than callers wait. */
export function decideWait({reason, waitedMs, forecastMs}: WaitState, limits: WaitLimits): WaitDecision {
	const limitMs = getLimitMs(reason, forecastMs !== undefined, limits);
	if (waitedMs + (forecastMs ?? 0) < limitMs) {
		return {kind: 'wait', untilMs: limitMs - waitedMs};
	}

	const defaultMs = reason === 'full' ? MIN_RETRY_AFTER_MS : NO_TARGET_RETRY_MS;
	return {kind: 'refuse', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, forecastMs ?? defaultMs)};
}

/** Counts places given by name, the older ones less, to tell how fast a line of waiting requests moves. */
export class SlotRate {
	private readonly counts: DecayingCounts;
	private readonly startedMs: number;

	constructor(private readonly clock: Clock) {
		this.counts = new DecayingCounts(clock, SLOT_RATE_TIME_CONSTANT_MS);
		this.startedMs = clock.now();
	}

	recordSlot(name: string): void {
		this.counts.add(name, 1);
	}

	/** Time until the request behind `ahead` others has a place; undefined when none were given lately. */
	getWaitMs(name: string, ahead: number): number | undefined {
		const count = this.counts.get(name);
		const spanMs = Math.min(SLOT_RATE_TIME_CONSTANT_MS, Math.max(1, this.clock.now() - this.startedMs));
		return count < 1 ? undefined : (ahead + 1) * spanMs / count;
	}
}

/** Tells callers that were refused for the same reason to return one after the other. Answers the wave that comes back at once when all are told the same time. */
export class RetrySchedule {
	private readonly lastMs = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Time after which a refused caller should return, not before the given time, and at the pace at which places are given. */
	getRetryAfterMs(name: string, earliestMs: number, gapMs = DEFAULT_RETRY_SPACING_MS): number {
		const nowMs = this.clock.now();
		const inTurnMs = (this.lastMs.get(name) ?? nowMs) + gapMs - nowMs;
		const retryMs = Math.max(earliestMs, Math.min(inTurnMs, MAX_SPACED_RETRY_MS));
		this.lastMs.set(name, nowMs + retryMs);
		return retryMs;
	}
}
