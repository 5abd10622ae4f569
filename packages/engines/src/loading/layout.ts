import type {EngineClass} from '@egretrill/common';
import {
	ABSENT_MODEL_COST_REQUEST_S, COPY_BUSY_UTILISATION, CROWDED_LOSS_RATIO, MAX_IDLE_SLOTS, MIN_SPREAD_SLOTS, MISSING_MODEL_BOOST_MS, PLAN_HORIZON_S, SLOTS_PER_WAITING_REQUEST,
} from './constants.js';
import {areSpeedsUneven, getLateRatio} from './engine-speeds.js';
import {
	type DemandOverHolders, DemandSpreader, getLostSlots, type HolderChange, type IndexedDemandSpread,
} from './spread-demand.js';
import type {LoadMove, ModelDemand, PlannedEngine} from './types.js';

const MS_PER_SECOND = 1000;

/** The input of one plan of loads. */
export type LoadPlanInput = {
	readonly engineClass: EngineClass;
	readonly engines: readonly PlannedEngine[];
	readonly demand: readonly ModelDemand[];
	/** Number of loads that the weight store may start now. */
	readonly storeLoads: number;
	/** Whether demand has been measured for long enough to evict a copy for an additional copy of a busier model. */
	readonly mayEvictForCopies: boolean;
	/** Models that the last plan had no time for; they are planned first. */
	readonly deferred?: readonly string[];
	/** Limits the plan to models that callers wait for, which takes less time. */
	readonly isBrief?: boolean;
	/** Request-seconds that the recent moves cost which a move would undo; undefined if it undoes none. */
	readonly getUndoneCost?: (targetId: string, unload: readonly string[], load: string) => number | undefined;
};

/** The models that the engines hold and the demand for them; each planned move updates it. */
export class Layout {
	/** Whether engines differ in speed. */
	readonly isUneven: boolean;
	private readonly engineIndexes: ReadonlyMap<string, number>;
	private readonly modelIndexes: ReadonlyMap<string, number>;
	/** Models that each engine holds or is loading. */
	private readonly modelsByEngine: Array<ReadonlySet<string>>;
	/** Needed slots and holders of each model; models with demand come first. */
	private readonly demand: DemandOverHolders[];
	private readonly configuredModels: ReadonlySet<string>;
	/** Number of copies of each model that serve, without those that are being loaded. */
	private readonly readyCopies = new Map<string, number>();
	private readonly slotsPerEngine: number;
	/** Speeds of the engines relative to their mean; all 1 where they hardly differ. */
	private readonly speeds: readonly number[];
	private readonly spreader: DemandSpreader;
	private spread: IndexedDemandSpread;
	/** Lost slots by engine and removed models, cached until the layout changes. */
	private readonly lostSlotsAfterRemoval = new Map<string, number>();

	constructor({engineClass, engines, demand}: LoadPlanInput) {
		this.configuredModels = new Set(engineClass.models.map(({name}) => name));
		this.slotsPerEngine = engineClass.batchSlots;
		this.engineIndexes = new Map(engines.map(({targetId}, i) => [targetId, i]));
		this.modelsByEngine = engines.map(({copies, loading, unloading}) => new Set([
			...copies.map(({model}) => model).filter(model => !unloading.includes(model)), ...(loading === undefined ? [] : [loading]),
		]));
		for (const {copies, unloading} of engines) {
			for (const {model} of copies.filter(copy => !unloading.includes(copy.model))) {
				this.readyCopies.set(model, this.countReadyCopies(model) + 1);
			}
		}

		const speeds = engines.map(({speed = 1}) => speed);
		this.isUneven = areSpeedsUneven(speeds);
		this.speeds = this.isUneven ? speeds : speeds.map(() => 1);
		const names = [...new Set([...demand.map(({model}) => model), ...this.modelsByEngine.flatMap(models => [...models])])];
		this.modelIndexes = new Map(names.map((name, i) => [name, i]));
		const holders = names.map((): number[] => []);
		for (const [engine, models] of this.modelsByEngine.entries()) {
			for (const model of models) {
				holders[this.modelIndexes.get(model)!]!.push(engine);
			}
		}

		this.demand = names.map((_, i) => {
			const modelDemand = demand[i];
			return {holders: holders[i]!, neededSlots: modelDemand ? getNeededSlots(modelDemand, holders[i]!.length) : 0};
		});
		this.spreader = new DemandSpreader(this.speeds, this.demand.length, this.slotsPerEngine);
		this.spread = this.spreader.spread(this.demand);
	}

	/** Copies visited so far; the duration of a plan is proportional to them. */
	getVisitedCopies(): number {
		return this.spreader.visitedCopies;
	}

	/** Whether the configuration has a model; no request needs another one. */
	isConfigured(model: string): boolean {
		return this.configuredModels.has(model);
	}

	countCopies(model: string): number {
		return this.getModelDemand(model).holders.length;
	}

	/** Copies that serve now; a copy that is being loaded does not for seconds. */
	countReadyCopies(model: string): number {
		return this.readyCopies.get(model) ?? 0;
	}

	getNeededSlots(model: string): number {
		return this.getModelDemand(model).neededSlots;
	}

	isIdle(model: string): boolean {
		return this.getNeededSlots(model) < MAX_IDLE_SLOTS;
	}

	/** Slots that the requests for a model need and do not get. */
	getLostSlots(model: string): number {
		return this.spread.lostSlots[this.modelIndexes.get(model) ?? -1] ?? 0;
	}

	/** Request-seconds lost over the horizon if nothing changes. */
	getUnchangedCost(): number {
		return this.spread.totalLostSlots * PLAN_HORIZON_S;
	}

	/** Request-seconds that are expected to be lost later if a copy of a model goes and it was the last one or a reserve. Only counted where engines differ in speed. */
	getAbsenceCost(targetId: string, model: string): number {
		const isCounted = this.isUneven && this.configuredModels.has(model);
		return isCounted && (this.countReadyCopies(model) <= 1 || this.isReserve(targetId, model)) ? ABSENT_MODEL_COST_REQUEST_S : 0;
	}

	/** Whether the other copies of a model could not serve a multiple of its demand, as at the next peak. Copies at slow engines are no reserve, since more requests are late there than at a crowded one. Each model of an engine has an equal part of the slots that may be in use there. */
	isReserve(targetId: string, model: string): boolean {
		const {holders, neededSlots} = this.getModelDemand(model);
		if (getLateRatio(this.speeds[this.engineIndexes.get(targetId)!]!) > CROWDED_LOSS_RATIO) {
			return false;
		}

		let otherSlots = 0;
		for (const engine of holders) {
			const slots = this.slotsPerEngine * this.speeds[engine]! * COPY_BUSY_UTILISATION / this.modelsByEngine[engine]!.size;
			otherSlots += engine === this.engineIndexes.get(targetId) ? 0 : slots;
		}

		return neededSlots > otherSlots;
	}

	/** Request-seconds lost over the horizon if an engine unloads models and loads no other. */
	getRemovalCost(targetId: string, unload: readonly string[]): number {
		return this.getLostSlotsAfterRemoval(targetId, unload) * PLAN_HORIZON_S;
	}

	/** Request-seconds lost over the horizon if an engine unloads models and loads another one in a given time. */
	getMoveCost(targetId: string, unload: readonly string[], load: string, loadMs: number): number {
		const loadS = Math.min(PLAN_HORIZON_S, loadMs / MS_PER_SECOND);
		const lostSlotsAfter = this.spreader.getTotalLostSlots(this.demand, this.createChange(targetId, unload, load));
		return (this.getLostSlotsAfterRemoval(targetId, unload) * loadS) + (lostSlotsAfter * (PLAN_HORIZON_S - loadS));
	}

	/** Request-seconds lost because an engine lacks the unloaded models while it loads another one. */
	getLossDuring(targetId: string, unload: readonly string[], loadMs: number): number {
		return (this.getLostSlotsAfterRemoval(targetId, unload) - this.spread.totalLostSlots) * loadMs / MS_PER_SECOND;
	}

	/** Estimates the part of `getMoveCost` beyond the cost of the removal without spreading demand again: what is lost until the load ends, and what the engine is too busy for afterwards. */
	estimateLoadCost(targetId: string, load: string, loadMs: number): number {
		const loadS = Math.min(PLAN_HORIZON_S, loadMs / MS_PER_SECOND);
		const engine = this.engineIndexes.get(targetId) ?? -1;
		const usedSlots = this.spread.usedSlots[engine] ?? 0;
		const addedSlots = this.getNeededSlots(load) / (this.countCopies(load) + 1);
		const addedLostSlots = getLostSlots(usedSlots + addedSlots, this.slotsPerEngine, this.speeds[engine]) - getLostSlots(usedSlots, this.slotsPerEngine, this.speeds[engine]);
		return (this.getLostSlots(load) * loadS) + (addedLostSlots * (PLAN_HORIZON_S - loadS));
	}

	/** Needed slots of models that only this engine holds; their adapters cannot be changed while it executes an order. */
	getSoleCopySlots(targetId: string): number {
		let neededSlots = 0;
		for (const model of this.modelsByEngine[this.engineIndexes.get(targetId) ?? -1] ?? []) {
			neededSlots += this.countCopies(model) === 1 ? this.getNeededSlots(model) : 0;
		}

		return neededSlots;
	}

	apply({targetId, unload, load}: Pick<LoadMove, 'targetId' | 'unload' | 'load'>): void {
		this.applyToHolders(this.createChange(targetId, unload, load));
		for (const model of unload) {
			this.readyCopies.set(model, this.countReadyCopies(model) - 1);
		}

		const engine = this.engineIndexes.get(targetId)!;
		this.modelsByEngine[engine] = new Set([...[...this.modelsByEngine[engine]!].filter(model => !unload.includes(model)), load]);
		this.spread = this.spreader.spread(this.demand);
		this.lostSlotsAfterRemoval.clear();
	}

	private getLostSlotsAfterRemoval(targetId: string, unload: readonly string[]): number {
		if (unload.every(model => this.getNeededSlots(model) < MIN_SPREAD_SLOTS)) {
			return this.spread.totalLostSlots;
		}

		const key = [targetId, ...unload].join('\n');
		const cached = this.lostSlotsAfterRemoval.get(key);
		if (cached !== undefined) {
			return cached;
		}

		const lostSlots = this.spreader.getTotalLostSlots(this.demand, this.createChange(targetId, unload, undefined));
		this.lostSlotsAfterRemoval.set(key, lostSlots);
		return lostSlots;
	}

	private getModelDemand(model: string): DemandOverHolders {
		return this.demand[this.modelIndexes.get(model) ?? -1] ?? {holders: [], neededSlots: 0};
	}

	private createChange(targetId: string, unload: readonly string[], load: string | undefined): HolderChange {
		return {
			engine: this.engineIndexes.get(targetId)!,
			unload: unload.map(model => this.modelIndexes.get(model)!),
			load: load === undefined ? undefined : this.modelIndexes.get(load),
		};
	}

	private applyToHolders({engine, unload, load}: HolderChange): void {
		for (const model of unload) {
			const {holders, neededSlots} = this.demand[model]!;
			this.demand[model] = {holders: holders.filter(holder => holder !== engine), neededSlots};
		}

		if (load !== undefined) {
			const {holders, neededSlots} = this.demand[load]!;
			this.demand[load] = {holders: [...holders, engine], neededSlots};
		}
	}
}

/** Slots that the requests for a model need; those of a model without a copy count for more the longer it has been missing. */
function getNeededSlots({places, waiting, crowded, missingMs}: ModelDemand, copies: number): number {
	const neededSlots = places + crowded + (waiting * SLOTS_PER_WAITING_REQUEST);
	return copies === 0 ? neededSlots * (1 + (missingMs / MISSING_MODEL_BOOST_MS)) : places + crowded;
}
