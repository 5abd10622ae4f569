import type {Clock, Random} from '@egretrill/common';
import {
	DEMAND_HORIZON_MS, FLOOR_RATIO, MIN_RETRY_AFTER_MS, RETRY_SLOT_RATIO,
} from '../constants.js';
import type {FleetBacklog, FleetShortage, RequestKind} from './fleet-shortage.js';
import type {SlotRequirements, SlotSource} from './slot-source.js';
import {RetrySchedule, SlotRate, type WaitReason} from './wait-forecast.js';

const MS_PER_SECOND = 1000;

/** What a forecast is made of. */
export type ForecastBasis = {
	readonly requirements: SlotRequirements;
	readonly queueKey: string;
	readonly kind: RequestKind;
	readonly reason: WaitReason;
	readonly waitedMs: number;
	/** Requests of this host for the same model that go before this one. */
	readonly ahead: number;
};

/** Slots per second that are left for a kind. More urgent requests that arrive meanwhile go first; for a kind that can wait for the end of a peak, their present number says little. */
function getSlotsLeft({slotsPerSecond, urgentPerSecond}: FleetBacklog, {targetLatencyMs}: RequestKind): number {
	return targetLatencyMs > DEMAND_HORIZON_MS ? slotsPerSecond : Math.max(slotsPerSecond - urgentPerSecond, slotsPerSecond * FLOOR_RATIO);
}

/** Forecasts when a request gets a slot, and when a refused caller should return: by the figures of all hosts while they are fresh, else by the slots that this host got. */
export class SlotForecast {
	private readonly slotRate: SlotRate;
	private readonly retrySchedule: RetrySchedule;

	constructor(clock: Clock, private readonly source: SlotSource, private readonly fleet: FleetShortage, private readonly random: Random) {
		this.slotRate = new SlotRate(clock);
		this.retrySchedule = new RetrySchedule(clock);
	}

	recordSlot(queueKey: string): void {
		this.slotRate.recordSlot(queueKey);
	}

	/** Expected time until a waiting request gets a slot; undefined if unknown. */
	getForecastMs(basis: ForecastBasis): number | undefined {
		switch (basis.reason) {
			case 'full': {
				return this.getSlotWaitMs(basis);
			}

			case 'paused': {
				return this.source.getPauseLeftMs(basis.requirements);
			}

			case 'adapter-missing':
			case 'none': {
				return this.source.getTimeUntilReadyMs(basis.requirements);
			}
		}
	}

	/** Time after which a refused caller should return; `ownReturning` callers of the model are expected back here. */
	getRetryAfterMs({queueKey, kind}: Pick<ForecastBasis, 'queueKey' | 'kind'>, earliestMs: number, ownReturning: number): number {
		const others = this.fleet.getRecentOthers(queueKey, kind);
		const fleetIntervalMs = this.fleet.getRetryIntervalMs(queueKey, ownReturning, others && getSlotsLeft(others, kind));
		if (fleetIntervalMs !== undefined) {
			return this.retrySchedule.getFleetRetryAfterMs(queueKey, Math.max(MIN_RETRY_AFTER_MS, earliestMs), 2 * fleetIntervalMs * this.random());
		}

		const intervalMs = this.slotRate.getWaitMs(queueKey, 0);
		return this.retrySchedule.getRetryAfterMs(queueKey, earliestMs, intervalMs === undefined ? undefined : intervalMs / RETRY_SLOT_RATIO);
	}

	/** In a shortage of the model, the few slots of this host say nothing of the fleet's. */
	private getSlotWaitMs({queueKey, kind, ahead, waitedMs}: ForecastBasis): number | undefined {
		const others = this.fleet.getRecentOthers(queueKey, kind);
		if (!others) {
			return this.fleet.isFresh() && this.fleet.isRecent(queueKey) ? undefined : this.slotRate.getWaitMs(queueKey, ahead);
		}

		// Those of its rank that were ahead when it arrived have got slots meanwhile.
		const equalAhead = Math.max(0, others.equal - (others.slotsPerSecond * waitedMs / MS_PER_SECOND));
		return (others.urgent + equalAhead + ahead + 1) * MS_PER_SECOND / getSlotsLeft(others, kind);
	}
}
