import type {Metrics} from '@egretrill/balancer';
import {type DutyEvent, DutyObserver} from '@egretrill/provider';

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

	override record(event: DutyEvent): void {
		switch (event.kind) {
			case 'call': {
				this.calls.add(1, {duty: event.duty, outcome: event.outcome});
				this.callDurations.record(event.tookMs, {duty: event.duty});
				break;
			}

			case 'settled': {
				this.settled.add(1, {complete: String(event.isComplete)});
				break;
			}

			case 'confirmed': {
				this.confirmDelays.record(Math.max(0, event.delayMs), {});
				break;
			}

			case 'unconfirmed': {
				this.unconfirmed.set(event.windows, {});
				break;
			}

			case 'ordered': {
				this.orderedEngines.set(event.count, {service: event.service, zone: event.zone});
			}
		}
	}
}
