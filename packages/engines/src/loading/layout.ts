import type {EngineClass} from '@egretrill/common';
import {
	IDLE_DEMAND, MISSING_PATIENCE_MS, PLAN_HORIZON_S, WAITING_WEIGHT,
} from './constants.js';
import {type LaidOutEngine, spreadDemand} from './spread-demand.js';
import type {LoadMove, ModelDemand, PlannedEngine} from './types.js';

const MS_PER_SECOND = 1000;

/** What a plan of loads is made from. */
export type LoadView = {
	readonly engineClass: EngineClass;
	readonly engines: readonly PlannedEngine[];
	readonly demand: readonly ModelDemand[];
	/** Whether the weight store may begin another load now. */
	readonly mayUseStore: boolean;
	/** Whether demand is known well enough to unload a copy for a further one of a busier model. */
	readonly mayEvictForCopies: boolean;
};

/** What the engines hold and what callers need while a plan is made; each planned move changes it. */
export class Layout {
	readonly needs: ReadonlyMap<string, number>;
	private engines: readonly LaidOutEngine[];
	private readonly places: number;

	constructor(private readonly view: LoadView) {
		this.places = view.engineClass.batchSlots;
		this.engines = view.engines.map(({targetId, copies, loading, unloading}) => ({
			targetId,
			models: new Set([
				...copies.map(({model}) => model).filter(model => !unloading.includes(model)), ...(loading === undefined ? [] : [loading]),
			]),
		}));
		this.needs = new Map(view.demand.map(demand => [demand.model, this.getNeed(demand)]));
	}

	countCopies(model: string): number {
		return this.engines.filter(({models}) => models.has(model)).length;
	}

	isIdle(model: string): boolean {
		return (this.needs.get(model) ?? 0) < IDLE_DEMAND;
	}

	/** Places that find no engine, by model. */
	getLost(): ReadonlyMap<string, number> {
		return spreadDemand(this.engines, this.needs, this.places).lost;
	}

	/** Request-seconds lost over the horizon if an engine gives up models and loads another one in a given time. */
	getCost(targetId: string, unload: readonly string[], load: string | undefined, loadMs: number): number {
		const loadS = Math.min(PLAN_HORIZON_S, loadMs / MS_PER_SECOND);
		const during = spreadDemand(this.change(targetId, unload, undefined), this.needs, this.places).totalLost;
		const after = load === undefined ? during : spreadDemand(this.change(targetId, unload, load), this.needs, this.places).totalLost;
		return (during * loadS) + (after * (PLAN_HORIZON_S - loadS));
	}

	/** Needs of models that only this engine holds; their adapters cannot be changed while it carries out an order. */
	getSoleNeeds(targetId: string): number {
		const models = this.engines.find(engine => engine.targetId === targetId)?.models ?? new Set();
		let sum = 0;
		for (const model of models) {
			sum += this.countCopies(model) === 1 ? this.needs.get(model) ?? 0 : 0;
		}

		return sum;
	}

	apply({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		this.engines = this.change(targetId, unload, load);
	}

	private change(targetId: string, unload: readonly string[], load: string | undefined): readonly LaidOutEngine[] {
		return this.engines.map(engine => {
			if (engine.targetId !== targetId) {
				return engine;
			}

			const kept = [...engine.models].filter(model => !unload.includes(model));
			return {targetId, models: new Set(load === undefined ? kept : [...kept, load])};
		});
	}

	/** A model without a copy counts for more the longer it has been missing. */
	private getNeed({model, places, waiting, crowded, missingMs}: ModelDemand): number {
		const need = places + crowded + (waiting * WAITING_WEIGHT);
		return this.countCopies(model) === 0 ? need * (1 + (missingMs / MISSING_PATIENCE_MS)) : places + crowded;
	}
}
