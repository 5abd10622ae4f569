import type {EngineClass, StoredModel} from '@egretrill/common';
import {
	COPY_REQUESTS_PER_SECOND, IDLE_DEMAND, LOAD_SECOND_DEMAND, MIN_COPY_AGE_MS, SITE_LOAD_RATIO, SPARE_RATIO, WAITING_WEIGHT,
} from './constants.js';
import type {LoadMove, ModelDemand, PlannedEngine} from './types.js';

export type LoadView = {
	readonly engineClass: EngineClass;
	readonly engines: readonly PlannedEngine[];
	readonly demand: readonly ModelDemand[];
	/** Whether the weight store may begin another load now. */
	readonly mayUseStore: boolean;
	/** Whether demand is known well enough to add copies of models that have one. */
	readonly mayAddCopies: boolean;
};

type Want = {readonly model: StoredModel; readonly weight: number; readonly reason: LoadMove['reason']};
type Site = {readonly engine: PlannedEngine; readonly unload: readonly string[]; readonly lostDemand: number; readonly loadMs: number; readonly fromStore: boolean};

/** Demand and copies of each model while a plan is made. */
class Supply {
	private readonly weights: ReadonlyMap<string, number>;
	/** Copies that this plan gives up. */
	private readonly evicted = new Map<string, number>();

	constructor(private readonly view: LoadView) {
		this.weights = new Map(view.demand.map(({model, perSecond, waiting}) => [model, perSecond + (waiting * WAITING_WEIGHT)]));
	}

	getWeight(model: string): number {
		return this.weights.get(model) ?? 0;
	}

	isWaitedFor(model: string): boolean {
		return this.view.demand.some(demand => demand.model === model && demand.waiting > 0);
	}

	/** Engines that hold the model or are loading it. */
	countCopies(model: string): number {
		const holders = this.view.engines.filter(({copies, loading, unloading}) => loading === model || (!unloading.includes(model) && copies.some(copy => copy.model === model)));
		return holders.length - (this.evicted.get(model) ?? 0);
	}

	noteEvicted(models: readonly string[]): void {
		for (const model of models) {
			this.evicted.set(model, (this.evicted.get(model) ?? 0) + 1);
		}
	}

	/** Demand for models that only this engine holds; their adapters cannot be changed while it carries out an order. */
	getSoleDemand({copies}: PlannedEngine): number {
		let sum = 0;
		for (const {model} of copies) {
			sum += this.countCopies(model) <= 1 ? this.getWeight(model) : 0;
		}

		return sum;
	}

	getWantedCopies(model: string): number {
		// Requests that wait for a load under way need no second copy; those that found all copies full do.
		const {perSecond = 0, crowded = 0} = this.view.demand.find(demand => demand.model === model) ?? {};
		return Math.min(this.view.engines.length, Math.ceil((perSecond + crowded) / COPY_REQUESTS_PER_SECOND));
	}

	/** Whether the other copies can take over what one copy serves. */
	isSpare(model: string): boolean {
		const left = this.countCopies(model) - 1;
		return left > 0 && this.getWeight(model) / left <= COPY_REQUESTS_PER_SECOND * SPARE_RATIO;
	}

	/** Requests a second that an engine gets if each model's copies share its demand. */
	getLoad({copies}: PlannedEngine): number {
		return copies.reduce((sum, {model}) => sum + (this.getWeight(model) / Math.max(1, this.countCopies(model))), 0);
	}
}

function getWants(view: LoadView, supply: Supply): readonly Want[] {
	const {engineClass: {models}} = view;
	const wants = models.flatMap((model): readonly Want[] => {
		const weight = supply.getWeight(model.name);
		const copies = supply.countCopies(model.name);
		if (copies === 0) {
			return supply.isWaitedFor(model.name) ? [{model, weight, reason: 'missing'}] : [];
		}

		return view.mayAddCopies && copies < supply.getWantedCopies(model.name) ? [{model, weight: weight / copies, reason: 'crowded'}] : [];
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
			return isIdle ? !isLast || want.reason === 'missing' : ageMs >= MIN_COPY_AGE_MS && supply.isSpare(model);
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
		return freeMb >= want.model.weightsMb && (!fromStore || view.mayUseStore) && (want.reason === 'missing' || lostDemand < want.weight)
			? [{
				engine, unload, lostDemand, loadMs, fromStore,
			}]
			: [];
	});
	const getCost = ({engine, loadMs, lostDemand}: Site): number => lostDemand + (loadMs * Math.max(LOAD_SECOND_DEMAND, want.weight) / 1000) + ((supply.getLoad(engine) + supply.getSoleDemand(engine)) * SITE_LOAD_RATIO);
	return sites.toSorted((a, b) => getCost(a) - getCost(b)).at(0);
}

/** Plans loads for models that callers ask for and no engine holds, then more copies of those whose engines carry most. Answers demand that moves between models within seconds. */
export function planLoads(view: LoadView): readonly LoadMove[] {
	const supply = new Supply(view);
	const taken = new Set<string>();
	const moves: LoadMove[] = [];
	let {mayUseStore} = view;
	for (const want of getWants(view, supply)) {
		const site = findSite({...view, mayUseStore}, supply, want, taken);
		if (site) {
			taken.add(site.engine.targetId);
			mayUseStore &&= !site.fromStore;
			supply.noteEvicted(site.unload);
			moves.push({
				targetId: site.engine.targetId, unload: [...site.unload], load: want.model.name, reason: want.reason, fromStore: site.fromStore,
			});
		}
	}

	return moves;
}
