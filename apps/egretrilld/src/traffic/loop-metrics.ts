import type {Metrics} from '@egretrill/balancer';
import {LoopMeter} from '@egretrill/common';

/** Metrics of timer delays and of the durations of planning rounds, which block the event loop. */
export class LoopMetrics extends LoopMeter {
	private readonly timerDelays;
	private readonly planDurations;

	constructor(metrics: Metrics) {
		super();
		this.timerDelays = metrics.createDurations({name: 'egretrill_timer_late_ms', help: 'How late timers fired.'});
		this.planDurations = metrics.createDurations({name: 'egretrill_plan_ms', help: 'Time that one round of planning of loads took.'});
	}

	override recordDelay(lateMs: number): void {
		this.timerDelays.record(lateMs);
	}

	override recordPlan(tookMs: number): void {
		this.planDurations.record(tookMs);
	}
}
