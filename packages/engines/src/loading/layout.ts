import type {EngineClass} from '@egretrill/common';
import {
	IDLE_DEMAND, MISSING_PATIENCE_MS, PLAN_HORIZON_S, WAITING_WEIGHT,
} from './constants.js';
import {
	getExcess, type HeldDemand, type IndexedSpread, spreadOverHolders,
} from './spread-demand.js';
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
	/** Models that the last plan had no time for; they come first. */
	readonly deferred?: readonly string[];
};

/** What the engines hold and what callers need while a plan is made; each planned move changes it. */
export class Layout {
	private readonly engineIndexes: ReadonlyMap<string, number>;
	private readonly modelIndexes: ReadonlyMap<string, number>;
	/** Models that each engine holds or is loading. */
	private readonly heldModels: Array<ReadonlySet<string>>;
	/** Need and holders of each model, those of the demand first. */
	private readonly demand: HeldDemand[];
	private readonly places: number;
	private readonly copyCount: number;
	private spread: IndexedSpread;
	/** Copies visited so far to spread demand. */
	private visitedCopies = 0;
	/** Losses with models taken from an engine, until the layout changes. */
	private readonly removalLosses = new Map<string, number>();

	constructor({engineClass, engines, demand}: LoadView) {
		this.places = engineClass.batchSlots;
		this.engineIndexes = new Map(engines.map(({targetId}, i) => [targetId, i]));
		this.heldModels = engines.map(({copies, loading, unloading}) => new Set([
			...copies.map(({model}) => model).filter(model => !unloading.includes(model)), ...(loading === undefined ? [] : [loading]),
		]));
		this.copyCount = this.heldModels.reduce((sum, models) => sum + models.size, 0);
		const names = [...new Set([...demand.map(({model}) => model), ...this.heldModels.flatMap(models => [...models])])];
		this.modelIndexes = new Map(names.map((name, i) => [name, i]));
		const holders = names.map((): number[] => []);
		for (const [engine, models] of this.heldModels.entries()) {
			for (const model of models) {
				holders[this.modelIndexes.get(model)!]!.push(engine);
			}
		}

		this.demand = names.map((_, i) => {
			const asked = demand[i];
			return {holders: holders[i]!, need: asked ? getNeed(asked, holders[i]!.length) : 0};
		});
		this.spread = this.spreadOver(this.demand);
	}

	/** Copies visited so far, which the time of a plan follows. */
	getVisitedCopies(): number {
		return this.visitedCopies;
	}

	countCopies(model: string): number {
		return this.getHeld(model).holders.length;
	}

	getNeed(model: string): number {
		return this.getHeld(model).need;
	}

	isIdle(model: string): boolean {
		return this.getNeed(model) < IDLE_DEMAND;
	}

	/** Places of a model that find no engine. */
	getLost(model: string): number {
		return this.spread.lost[this.modelIndexes.get(model) ?? -1] ?? 0;
	}

	/** Request-seconds lost over the horizon if nothing changes. */
	getIdleCost(): number {
		return this.spread.totalLost * PLAN_HORIZON_S;
	}

	/** Request-seconds lost over the horizon if an engine gives up models for good. */
	getRemovalCost(targetId: string, unload: readonly string[]): number {
		return this.getRemovalLoss(targetId, unload) * PLAN_HORIZON_S;
	}

	/** Request-seconds lost over the horizon if an engine gives up models and loads another one in a given time. */
	getMoveCost(targetId: string, unload: readonly string[], load: string, loadMs: number): number {
		const loadS = Math.min(PLAN_HORIZON_S, loadMs / MS_PER_SECOND);
		const after = this.spreadOver(this.change(targetId, unload, load)).totalLost;
		return (this.getRemovalLoss(targetId, unload) * loadS) + (after * (PLAN_HORIZON_S - loadS));
	}

	/** About what `getMoveCost` tells beyond the cost of the removal, without spreading demand anew: what is lost until the load ends, and what the engine is too busy for afterwards. */
	estimateLoadCost(targetId: string, load: string, loadMs: number): number {
		const loadS = Math.min(PLAN_HORIZON_S, loadMs / MS_PER_SECOND);
		const busy = this.spread.loads[this.engineIndexes.get(targetId) ?? -1] ?? 0;
		const share = this.getNeed(load) / (this.countCopies(load) + 1);
		const crowding = getExcess(busy + share, this.places) - getExcess(busy, this.places);
		return (this.getLost(load) * loadS) + (crowding * (PLAN_HORIZON_S - loadS));
	}

	/** Needs of models that only this engine holds; their adapters cannot be changed while it carries out an order. */
	getSoleNeeds(targetId: string): number {
		let sum = 0;
		for (const model of this.heldModels[this.engineIndexes.get(targetId) ?? -1] ?? []) {
			sum += this.countCopies(model) === 1 ? this.getNeed(model) : 0;
		}

		return sum;
	}

	apply({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		const changed = this.change(targetId, unload, load);
		this.demand.splice(0, this.demand.length, ...changed);
		const engine = this.engineIndexes.get(targetId)!;
		this.heldModels[engine] = new Set([...[...this.heldModels[engine]!].filter(model => !unload.includes(model)), load]);
		this.spread = this.spreadOver(this.demand);
		this.removalLosses.clear();
	}

	private getRemovalLoss(targetId: string, unload: readonly string[]): number {
		if (unload.length === 0) {
			return this.spread.totalLost;
		}

		const key = JSON.stringify([targetId, ...unload]);
		const known = this.removalLosses.get(key);
		if (known !== undefined) {
			return known;
		}

		const loss = this.spreadOver(this.change(targetId, unload, undefined)).totalLost;
		this.removalLosses.set(key, loss);
		return loss;
	}

	private getHeld(model: string): HeldDemand {
		return this.demand[this.modelIndexes.get(model) ?? -1] ?? {holders: [], need: 0};
	}

	private spreadOver(demand: readonly HeldDemand[]): IndexedSpread {
		this.visitedCopies += this.copyCount;
		return spreadOverHolders(demand, this.heldModels.length, this.places);
	}

	private change(targetId: string, unload: readonly string[], load: string | undefined): readonly HeldDemand[] {
		const engine = this.engineIndexes.get(targetId)!;
		const changed = [...this.demand];
		for (const model of unload) {
			const index = this.modelIndexes.get(model)!;
			const {holders, need} = changed[index]!;
			changed[index] = {holders: holders.filter(holder => holder !== engine), need};
		}

		const index = load === undefined ? undefined : this.modelIndexes.get(load);
		if (index !== undefined) {
			const {holders, need} = changed[index]!;
			changed[index] = {holders: [...holders, engine], need};
		}

		return changed;
	}
}

/** A model without a copy counts for more the longer it has been missing. */
function getNeed({places, waiting, crowded, missingMs}: ModelDemand, copies: number): number {
	const need = places + crowded + (waiting * WAITING_WEIGHT);
	return copies === 0 ? need * (1 + (missingMs / MISSING_PATIENCE_MS)) : places + crowded;
}
