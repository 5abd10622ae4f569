import {type Clock, DecayingCounts} from '@egretrill/common';
import {
	ADMISSION_RATIO, DEFAULT_RETRY_SPACING_MS, LOAD_ADMISSION_RATIO, MAX_FLEET_RETRY_MS, MAX_RETRY_SPREAD_MS, MAX_SPACED_RETRY_MS, MIN_RETRY_AFTER_MS, NO_TARGET_RETRY_MS, SHORTAGE_UNPLANNED_WAIT_MS, SLOT_RATE_TIME_CONSTANT_MS, UNPLANNED_MODEL_WAIT_MS,
} from '../constants.js';

/** Maximum wait for a slot, by what the request waits for. */
export type WaitLimits = {
	/** For a model or adapter whose ready time is unknown. */
	readonly unplannedMs: number;
	/** For a model or adapter that is known to be ready by then. */
	readonly plannedMs: number;
	/** For a slot while all targets are busy. */
	readonly saturatedMs: number;
	/** In a shortage of the model; the same as without one if absent. */
	readonly shortage?: ShortageLimits;
};

/** Maximum wait for a slot in a shortage. */
export type ShortageLimits = {
	/** For a slot that is expected in time. */
	readonly saturatedMs: number;
	/** For a slot of which nothing is known. */
	readonly unknownMs: number;
};

/** Why no slot is available: all targets are full, all have asked this host to send nothing for a time, none has the adapter, or none has the model. */
export type WaitReason = 'full' | 'paused' | 'adapter-missing' | 'none';

export type WaitState = {
	readonly reason: WaitReason;
	readonly waitedMs: number;
	/** Expected time until a slot is available; undefined if unknown. */
	readonly forecastMs: number | undefined;
	/** Whether no forecast was known for the request before. */
	readonly isNew?: boolean;
	/** Whether the only targets with free slots are cold. */
	readonly isCold?: boolean;
	/** Whether a request for the same model was refused here recently, so that the leader has had time to plan its load. */
	readonly wasRefusedBefore?: boolean;
	/** Whether a shortage of the model is known, or was a few seconds ago. */
	readonly isShortage?: boolean;
};

/** Whether a request keeps waiting, or when its caller should retry instead. */
export type WaitDecision = {readonly kind: 'wait'; readonly untilMs: number} | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** How long a request may wait whose slot is expected by a forecast, in a shortage. */
function getPlannedLimitMs({reason, isNew = false}: WaitState, plannedMs: number, {saturatedMs}: ShortageLimits): number {
	if (reason === 'paused') {
		return saturatedMs;
	}

	// A forecast may err; a request that is held has some time for it.
	return reason === 'full' ? saturatedMs * (isNew ? ADMISSION_RATIO : 1) : plannedMs * (isNew ? LOAD_ADMISSION_RATIO : 1);
}

/** How long a request may wait of whose slot nothing is known, in a shortage. */
function getUnplannedLimitMs({reason, isCold = false, wasRefusedBefore = false}: WaitState, unplannedMs: number, {saturatedMs, unknownMs}: ShortageLimits): number {
	switch (reason) {
		case 'adapter-missing': {
			return unplannedMs;
		}

		case 'none': {
			return wasRefusedBefore ? unknownMs : Math.max(unknownMs, Math.min(saturatedMs, SHORTAGE_UNPLANNED_WAIT_MS));
		}

		case 'full':
		case 'paused': {
			return isCold ? saturatedMs : unknownMs;
		}
	}
}

/** How long a request may wait while no shortage of its model is known. */
function getUsualLimitMs({reason, forecastMs, wasRefusedBefore = false}: WaitState, {unplannedMs, plannedMs, saturatedMs, shortage}: WaitLimits): number {
	if (reason === 'full' || reason === 'paused') {
		return saturatedMs;
	}

	if (forecastMs !== undefined) {
		return plannedMs;
	}

	if (reason === 'adapter-missing') {
		return unplannedMs;
	}

	return wasRefusedBefore && shortage ? shortage.unknownMs : Math.min(unplannedMs, UNPLANNED_MODEL_WAIT_MS);
}

function getLimitMs(state: WaitState, limits: WaitLimits): number {
	const {unplannedMs, plannedMs, shortage} = limits;
	if (!state.isShortage || !shortage) {
		return getUsualLimitMs(state, limits);
	}

	return state.forecastMs === undefined ? getUnplannedLimitMs(state, unplannedMs, shortage) : getPlannedLimitMs(state, plannedMs, shortage);
}

/** Refuses a request as soon as its slot is expected too late, as in bursts beyond the capacity of the targets or when a model takes longer to load than callers wait. */
export function decideWait(state: WaitState, limits: WaitLimits): WaitDecision {
	const {reason, waitedMs, forecastMs} = state;
	const limitMs = getLimitMs(state, limits);
	if (waitedMs + (forecastMs ?? 0) < limitMs) {
		return {kind: 'wait', untilMs: limitMs - waitedMs};
	}

	const defaultMs = reason === 'full' ? MIN_RETRY_AFTER_MS : NO_TARGET_RETRY_MS;
	return {kind: 'refuse', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, forecastMs ?? defaultMs)};
}

/** Counts assigned slots by name with exponential decay, to estimate how fast a queue of waiting requests moves. */
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

	/** Expected time until the request behind `ahead` others gets a slot; undefined when no slots were assigned recently. */
	getWaitMs(name: string, ahead: number): number | undefined {
		const count = this.counts.get(name);
		const spanMs = Math.min(SLOT_RATE_TIME_CONSTANT_MS, Math.max(1, this.clock.now() - this.startedMs));
		return count < 1 ? undefined : (ahead + 1) * spanMs / count;
	}
}

/** Spaces the retries of callers that were refused for the same reason; with equal retry times they would all retry at once. */
export class RetrySchedule {
	private readonly lastRetryMs = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Time after which a refused caller should retry: not before `earliestMs`, and `intervalMs` after the retry of the previous refused caller. */
	getRetryAfterMs(name: string, earliestMs: number, intervalMs = DEFAULT_RETRY_SPACING_MS): number {
		const nowMs = this.clock.now();
		const spacedMs = (this.lastRetryMs.get(name) ?? nowMs) + intervalMs - nowMs;
		const retryMs = Math.max(earliestMs, Math.min(spacedMs, Math.max(MAX_SPACED_RETRY_MS, earliestMs + MAX_RETRY_SPREAD_MS)));
		this.lastRetryMs.set(name, nowMs + retryMs);
		return retryMs;
	}

	/** Time after which a caller should retry when all hosts space their returns; each of them returns an interval after the last one, when a slot is expected for it. */
	getFleetRetryAfterMs(name: string, earliestMs: number, intervalMs: number): number {
		const nowMs = this.clock.now();
		const retryMs = Math.min(MAX_FLEET_RETRY_MS, Math.max((this.lastRetryMs.get(name) ?? nowMs) - nowMs, earliestMs) + intervalMs);
		this.lastRetryMs.set(name, nowMs + retryMs);
		return retryMs;
	}
}
