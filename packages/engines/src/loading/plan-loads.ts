import type {EngineClass, StoredModel} from '@egretrill/common';
import {
	CROWDED_RATIO, IDLE_DEMAND, MIN_COPY_AGE_MS, WAITING_WEIGHT,
} from './constants.js';
import type {LoadMove, ModelDemand, PlannedEngine} from './types.js';

export type LoadView = {
	readonly engineClass: EngineClass;
	readonly engines: readonly PlannedEngine[];
	readonly demand: readonly ModelDemand[];
	/** Whether the weight store may begin another load now. */
	readonly mayUseStore: boolean;
};

type Want = {readonly model: StoredModel; readonly weight: number; readonly reason: LoadMove['reason']};
type Site = {readonly engine: PlannedEngine; readonly unload: readonly string[]; readonly lostDemand: number; readonly loadMs: number; readonly fromStore: boolean};

/** Demand and copies of each model while a plan is made. */
class Supply {
	readonly meanLoad: number;
	private readonly weights: ReadonlyMap<string, number>;

	constructor(private readonly view: LoadView) {
		this.weights = new Map(view.demand.map(({model, perSecond, waiting}) => [model, perSecond + (waiting * WAITING_WEIGHT)]));
		const total = [...this.weights.values()].reduce((sum, weight) => sum + weight, 0);
		this.meanLoad = total / Math.max(1, view.engines.length);
	}

	getWeight(model: string): number {
		return this.weights.get(model) ?? 0;
	}

	/** Engines that hold the model or are loading it. */
	countCopies(model: string): number {
		return this.view.engines.filter(({copies, loading}) => loading === model || copies.some(copy => copy.model === model)).length;
	}

	getWantedCopies(model: string): number {
		return this.meanLoad > 0 ? Math.min(this.view.engines.length, Math.ceil(this.getWeight(model) / (this.meanLoad * CROWDED_RATIO))) : 0;
	}
}

function getWants({engineClass: {models}}: LoadView, supply: Supply): readonly Want[] {
	const wants = models.flatMap((model): readonly Want[] => {
		const weight = supply.getWeight(model.name);
		const copies = supply.countCopies(model.name);
		if (weight < IDLE_DEMAND || copies >= Math.max(1, supply.getWantedCopies(model.name))) {
			return [];
		}

		return [copies === 0 ? {model, weight, reason: 'missing'} : {model, weight: weight / copies, reason: 'crowded'}];
	});
	return wants.toSorted((a, b) => Number(b.reason === 'missing') - Number(a.reason === 'missing') || b.weight - a.weight);
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

/** Copies that may go for another model, those that serve least first. */
function getVictims(engine: PlannedEngine, supply: Supply, want: Want): readonly string[] {
	return engine.copies
		.filter(({model, ageMs}) => {
			const isLast = supply.countCopies(model) <= 1;
			const isIdle = supply.getWeight(model) < IDLE_DEMAND;
			return isIdle ? !isLast || want.reason === 'missing' : !isLast && ageMs >= MIN_COPY_AGE_MS && supply.countCopies(model) > supply.getWantedCopies(model);
		})
		.map(({model}) => model)
		.toSorted((a, b) => supply.getWeight(a) - supply.getWeight(b) || supply.countCopies(b) - supply.countCopies(a));
}

function getLoadMs(engine: PlannedEngine, {name, memoryLoadMs, diskLoadMs, storeLoadMs}: StoredModel): number {
	if (engine.inMemory.includes(name)) {
		return memoryLoadMs;
	}

	return engine.onDisk.includes(name) ? diskLoadMs : storeLoadMs;
}

function findSite(view: LoadView, supply: Supply, want: Want, taken: ReadonlySet<string>): Site | undefined {
	const sites = view.engines.flatMap((engine): readonly Site[] => {
		if (!engine.isFree || taken.has(engine.targetId) || engine.copies.some(({model}) => model === want.model.name)) {
			return [];
		}

		const unload: string[] = [];
		let freeMb = getFreeMb(view, engine);
		for (const victim of getVictims(engine, supply, want)) {
			if (freeMb >= want.model.weightsMb) {
				break;
			}

			unload.push(victim);
			freeMb += getModelMb(view, victim, engine.copies.find(({model}) => model === victim)?.adapterCount ?? 0);
		}

		const loadMs = getLoadMs(engine, want.model);
		const fromStore = loadMs === want.model.storeLoadMs;
		const lostDemand = unload.reduce((sum, model) => sum + (supply.getWeight(model) / supply.countCopies(model)), 0);
		return freeMb >= want.model.weightsMb && (!fromStore || view.mayUseStore) && lostDemand < want.weight ? [{
			engine, unload, lostDemand, loadMs, fromStore,
		}] : [];
	});
	return sites.toSorted((a, b) => a.loadMs - b.loadMs || a.lostDemand - b.lostDemand || a.unload.length - b.unload.length).at(0);
}

/** Plans loads for models that callers ask for and no engine holds, then more copies of those whose engines carry most. Answers demand that moves between models within seconds. */
export function planLoads(view: LoadView): readonly LoadMove[] {
	const supply = new Supply(view);
	const taken = new Set<string>();
	const moves: LoadMove[] = [];
	let mayUseStore = view.mayUseStore;
	for (const want of getWants(view, supply)) {
		const site = findSite({...view, mayUseStore}, supply, want, taken);
		if (site) {
			taken.add(site.engine.targetId);
			mayUseStore &&= !site.fromStore;
			moves.push({
				targetId: site.engine.targetId, unload: [...site.unload], load: want.model.name, reason: want.reason, fromStore: site.fromStore,
			});
		}
	}

	return moves;
}
