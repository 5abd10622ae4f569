import type {Metrics} from '@egretrill/balancer';
import {type CallOutcome, DutyObserver} from '@egretrill/provider';

/** Metrics of the duties towards the provider; only the leader's change. */
export class DutyMetrics extends DutyObserver {
	private readonly calls;
	private readonly callDurations;
	private readonly settled;
	private readonly confirmDelays;
	private readonly unconfirmed;
	private readonly orderedEngines;

	constructor(metrics: Metrics) {
		super();
		this.calls = metrics.createCounter({name: 'egretrill_provider_calls_total', help: 'Calls to the provider by duty and outcome.', labels: ['duty', 'outcome']});
		this.callDurations = metrics.createDurations({name: 'egretrill_provider_call_ms', help: 'Duration of calls to the provider.', labels: ['duty']});
		this.settled = metrics.createCounter({name: 'egretrill_usage_windows_settled_total', help: 'Windows of usage that this leader settled, by whether all entry hosts had reported them.', labels: ['complete']});
		this.confirmDelays = metrics.createDurations({name: 'egretrill_usage_confirm_delay_ms', help: 'Time from the end of a window of usage to the confirmation of its report.'});
		this.unconfirmed = metrics.createGauge({name: 'egretrill_usage_windows_unconfirmed', help: 'Settled windows of usage that the provider has not confirmed.'});
		this.orderedEngines = metrics.createGauge({name: 'egretrill_engines_ordered', help: 'Engines last ordered from the provider.', labels: ['service', 'zone']});
	}

	override recordCall(duty: 'usage' | 'engines', outcome: CallOutcome, tookMs: number): void {
		this.calls.add(1, {duty, outcome});
		this.callDurations.record(tookMs, {duty});
	}

	override recordSettled(windows: number, isComplete: boolean): void {
		this.settled.add(windows, {complete: String(isComplete)});
	}

	override recordConfirmed(delayMs: number): void {
		this.confirmDelays.record(Math.max(0, delayMs), {});
	}

	override setUnconfirmed(windows: number): void {
		this.unconfirmed.set(windows, {});
	}

	override setOrderedEngines(service: string, zone: string, count: number): void {
		this.orderedEngines.set(count, {service, zone});
	}
}
