import type {EngineClass, StoredModel} from '@egretrill/common';
import {
	ADAPTER_DEMAND_RATIO, BUSY_UNLOAD_MS, IDLE_DEMAND, IDLE_UNLOAD_MS, LAST_COPY_RATIO, MAX_SWAP_RATIO, MIN_COPY_AGE_MS, MIN_MOVE_GAIN, MISSING_PATIENCE_MS, PLAN_HORIZON_S, WAITING_WEIGHT,
} from './constants.js';
import {type LaidOutEngine, spreadDemand} from './spread-demand.js';
import type {LoadMove, ModelDemand, PlannedEngine} from './types.js';

const MS_PER_SECOND = 1000;

export type LoadView = {
	readonly engineClass: EngineClass;
	readonly engines: readonly PlannedEngine[];
	readonly demand: readonly ModelDemand[];
	/** Whether the weight store may begin another load now. */
	readonly mayUseStore: boolean;
	/** Whether demand is known well enough to unload a copy for a further one of a busier model. */
	readonly mayEvictForCopies: boolean;
};

type Want = {readonly model: StoredModel; readonly lost: number; readonly reason: LoadMove['reason']};
type Site = {readonly engine: PlannedEngine; readonly unload: readonly string[]; readonly totalMs: number; readonly loadMs: number; readonly fromStore: boolean; readonly cost: number};

/** What the engines hold and what callers need while a plan is made; each planned move changes it. */
class Layout {
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

function getWants({engineClass: {models}, engines, demand}: LoadView, layout: Layout): readonly Want[] {
	const lostByModel = layout.getLost();
	const wants = models.flatMap((model): readonly Want[] => {
		const lost = lostByModel.get(model.name) ?? 0;
		const copies = layout.countCopies(model.name);
		if (copies === 0) {
			const isWaitedFor = demand.some(({model: name, waiting}) => name === model.name && waiting > 0);
			return isWaitedFor ? [{model, lost, reason: 'missing'}] : [];
		}

		return lost > 0 && copies < engines.length ? [{model, lost, reason: 'crowded'}] : [];
	});
	return wants.toSorted((a, b) => b.lost - a.lost);
}

function getModelMb({engineClass: {models}}: LoadView, name: string, adapterCount: number): number {
	const model = models.find(candidate => candidate.name === name);
	return (model?.weightsMb ?? 0) + (adapterCount * (model?.adapterMb ?? 0));
}

function getFreeMb(view: LoadView, engine: PlannedEngine): number {
	const usedMb = engine.copies.reduce((sum, {model, adapterCount}) => sum + getModelMb(view, model, adapterCount), 0);
	const loadingMb = engine.loading === undefined ? 0 : getModelMb(view, engine.loading, 0);
	return engine.weightsMb - usedMb - loadingMb;
}

/** Copies that may go for another model, those first whose loss costs least. The last copy of a model in use goes only for one that needs many times its places. */
function getVictims(engine: PlannedEngine, layout: Layout, want: Want): readonly string[] {
	const {targetId} = engine;
	return engine.copies
		.filter(({model, ageMs}) => {
			const isLast = layout.countCopies(model) <= 1;
			if (layout.isIdle(model)) {
				return !isLast || want.reason === 'missing';
			}

			return ageMs >= MIN_COPY_AGE_MS && (!isLast || isOutweighed(model, layout, want));
		})
		.map(({model}) => ({
			model, cost: layout.getCost(targetId, [model], undefined, 0), need: layout.needs.get(model) ?? 0, copies: layout.countCopies(model),
		}))
		.toSorted((a, b) => a.cost - b.cost || a.need - b.need || b.copies - a.copies)
		.map(({model}) => model);
}

function isOutweighed(model: string, layout: Layout, {reason, lost}: Want): boolean {
	return reason === 'missing' && (layout.needs.get(model) ?? 0) * LAST_COPY_RATIO <= lost;
}

/** What an engine would unload for a model, or undefined if it cannot make room. */
function makeRoom(view: LoadView, engine: PlannedEngine, layout: Layout, want: Want): readonly string[] | undefined {
	const unload: string[] = [];
	let freeMb = getFreeMb(view, engine);
	for (const victim of getVictims(engine, layout, want)) {
		if (freeMb >= want.model.weightsMb) {
			break;
		}

		unload.push(victim);
		freeMb += getModelMb(view, victim, engine.copies.find(({model}) => model === victim)?.adapterCount ?? 0);
	}

	return freeMb >= want.model.weightsMb ? unload : undefined;
}

function getLoadMs(engine: PlannedEngine, {name, memoryLoadMs, diskLoadMs, storeLoadMs}: StoredModel): number {
	if (engine.inMemory.includes(name)) {
		return memoryLoadMs;
	}

	return engine.onDisk.includes(name) ? diskLoadMs : storeLoadMs;
}

function getUnloadMs(unload: readonly string[], layout: Layout): number {
	return unload.reduce((sum, model) => sum + (layout.isIdle(model) ? IDLE_UNLOAD_MS : BUSY_UNLOAD_MS), 0);
}

/** Whether a move gives up a copy for a further one of a model that has some. */
export function isSwap({reason, unload}: Pick<LoadMove, 'reason'> & {readonly unload: readonly string[]}): boolean {
	return reason === 'crowded' && unload.length > 0;
}

function describeSite(view: LoadView, engine: PlannedEngine, layout: Layout, want: Want): Site | undefined {
	const unload = makeRoom(view, engine, layout, want);
	const loadMs = getLoadMs(engine, want.model);
	const fromStore = loadMs === want.model.storeLoadMs;
	if (!unload || (fromStore && !view.mayUseStore) || (isSwap({reason: want.reason, unload}) && !view.mayEvictForCopies)) {
		return undefined;
	}

	const totalMs = loadMs + getUnloadMs(unload, layout);
	const blocked = layout.getSoleNeeds(engine.targetId) * ADAPTER_DEMAND_RATIO * totalMs / MS_PER_SECOND;
	return {
		engine, unload, totalMs, loadMs, fromStore, cost: layout.getCost(engine.targetId, unload, want.model.name, totalMs) + blocked,
	};
}

function findSite(view: LoadView, layout: Layout, want: Want, taken: ReadonlySet<string>): Site | undefined {
	const idleCost = layout.getCost('', [], undefined, 0);
	return view.engines
		.filter(({targetId, isFree, copies}) => isFree && !taken.has(targetId) && copies.every(({model}) => model !== want.model.name))
		.flatMap(engine => describeSite(view, engine, layout, want) ?? [])
		.filter(({cost, unload}) => (want.reason === 'missing' && unload.every(model => layout.isIdle(model) || layout.countCopies(model) > 1)) || cost < idleCost - MIN_MOVE_GAIN)
		.toSorted((a, b) => a.cost - b.cost)
		.at(0);
}

/** Plans loads in the order of the requests that they serve: first copies of models that callers wait for, and more copies of those whose engines are full. Answers demand that moves between models within seconds, and engines that come back empty. */
export function planLoads(view: LoadView): readonly LoadMove[] {
	const layout = new Layout(view);
	const taken = new Set<string>();
	const moves: LoadMove[] = [];
	let {mayUseStore} = view;
	let swaps = view.engines.filter(({isSwapping}) => isSwapping).length;
	const maxSwaps = Math.max(1, Math.floor(view.engines.length * MAX_SWAP_RATIO));
	for (const want of getWants(view, layout)) {
		const mayEvictForCopies = view.mayEvictForCopies && swaps < maxSwaps;
		const site = findSite({...view, mayUseStore, mayEvictForCopies}, layout, want, taken);
		if (site) {
			const move: LoadMove = {
				targetId: site.engine.targetId, unload: [...site.unload], load: want.model.name, reason: want.reason, fromStore: site.fromStore, totalMs: site.totalMs, loadMs: site.loadMs,
			};
			taken.add(move.targetId);
			swaps += isSwap(move) ? 1 : 0;
			mayUseStore &&= !site.fromStore;
			layout.apply(move);
			moves.push(move);
		}
	}

	return moves;
}
