import type {Registration} from '@egretrill/common';
import {COPY_PLAN_PERIOD_MS, QUIET_PLAN_PERIOD_MS} from './constants.js';
import type {ModelDemand} from './types.js';

/** A whole plan, one of the models that callers wait for, or none. */
export type PlanKind = 'whole' | 'brief' | 'none';

/** Decides when loads are planned. The leader has little processor time: under load, additional copies are planned a few times a second, and less often while nothing waits. */
export class PlanSchedule {
	private lastWholeMs = Number.NEGATIVE_INFINITY;
	private hadWork = true;
	private engineCount = 0;

	choosePlan(demand: readonly ModelDemand[], engines: readonly Registration[], nowMs: number): PlanKind {
		const hasChanged = engines.length !== this.engineCount;
		this.engineCount = engines.length;
		const hasCrowd = demand.some(({crowded}) => crowded > 0);
		const isBusy = this.hadWork || hasCrowd || hasChanged;
		if (nowMs - this.lastWholeMs >= (isBusy ? COPY_PLAN_PERIOD_MS : QUIET_PLAN_PERIOD_MS)) {
			return 'whole';
		}

		return demand.some(({waiting}) => waiting > 0) ? 'brief' : 'none';
	}

	/** Records a plan and the number of moves that it made or left for later. */
	recordPlan(kind: PlanKind, workCount: number, nowMs: number): void {
		if (kind === 'whole') {
			this.lastWholeMs = nowMs;
			this.hadWork = workCount > 0;
		}
	}
}
