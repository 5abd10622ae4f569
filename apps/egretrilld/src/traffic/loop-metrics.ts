import type {Metrics} from '@egretrill/balancer';
import {LoopMeter} from '@egretrill/common';

/** Percentiles of the delays of the event loop. */
export class LoopMetrics extends LoopMeter {
	private readonly lates;
	private readonly plans;

	constructor(metrics: Metrics) {
		super();
		this.lates = metrics.createDurations({name: 'egretrill_timer_late_ms', help: 'How late timers fired.'});
		this.plans = metrics.createDurations({name: 'egretrill_plan_ms', help: 'Time that one round of planning of loads took.'});
	}

	override noteLate(lateMs: number): void {
		this.lates.record(lateMs);
	}

	override notePlan(tookMs: number): void {
		this.plans.record(tookMs);
	}
}
