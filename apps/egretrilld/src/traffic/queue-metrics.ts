import type {Metrics} from '@egretrill/balancer';
import {QueueObserver, type WaitEnd, type WaitReason} from '@egretrill/callers';

const waitReasons: readonly WaitReason[] = ['full', 'paused', 'adapter-missing', 'none'];

/** Metrics of requests that find no free slot. */
export class QueueMetrics extends QueueObserver {
	private readonly waiting;
	private readonly refusals;
	private readonly served;
	private readonly forecastPercent;

	constructor(metrics: Metrics) {
		super();
		this.waiting = metrics.createGauge({name: 'egretrill_waiting_requests', help: 'Requests that wait for a slot, by what they wait for.', labels: ['reason']});
		this.refusals = metrics.createCounter({name: 'egretrill_slot_refusals_total', help: 'Requests refused for want of a slot, at once or after a wait.', labels: ['reason', 'after']});
		this.served = metrics.createCounter({name: 'egretrill_slots_after_wait_total', help: 'Requests that got a slot after a wait.', labels: ['reason']});
		this.forecastPercent = metrics.createDurations({name: 'egretrill_wait_of_forecast_percent', help: 'Time that a served request waited, in percent of the wait expected when it arrived.', labels: ['reason']});
	}

	override recordWaitEnd({reason, outcome, waitedMs, forecastMs}: WaitEnd): void {
		if (outcome === 'refused') {
			this.refusals.add(1, {reason, after: waitedMs > 0 ? 'wait' : 'none'});
			return;
		}

		this.served.add(1, {reason});
		if (forecastMs !== undefined && forecastMs > 0) {
			this.forecastPercent.record(100 * waitedMs / forecastMs, {reason});
		}
	}

	/** Takes the numbers of waiting requests over. */
	updateWaiting(counts: ReadonlyMap<WaitReason, number>): void {
		for (const reason of waitReasons) {
			this.waiting.set(counts.get(reason) ?? 0, {reason});
		}
	}
}
