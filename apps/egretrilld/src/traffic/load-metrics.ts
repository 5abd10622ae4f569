import type {Metrics} from '@egretrill/balancer';
import {LoadObserver, type LoadMove, type LoadSource} from '@egretrill/engines';

/** Metrics of what the leader loads and of what it holds back. */
export class LoadMetrics extends LoadObserver {
	private readonly loads;
	private readonly missing;
	private readonly heldBack;

	constructor(metrics: Metrics) {
		super();
		this.loads = metrics.createCounter({
			name: 'egretrill_model_loads_total', help: 'Loads of models that the leader planned, by the source of the weights and by reason.', labels: ['source', 'reason'],
		});
		this.missing = metrics.createDurations({name: 'egretrill_missing_model_ms', help: 'Time for which callers waited for a model without a copy.'});
		this.heldBack = metrics.createCounter({name: 'egretrill_moves_held_back_total', help: 'Moves of models that plans left out since they undo recent ones.'});
	}

	override recordLoad(source: LoadSource, reason: LoadMove['reason']): void {
		this.loads.add(1, {source, reason});
	}

	override recordMissing(missingMs: number): void {
		this.missing.record(missingMs);
	}

	override recordHeldBack(count: number): void {
		this.heldBack.add(count);
	}
}
