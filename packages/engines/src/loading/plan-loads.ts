import type {StoredModel} from '@egretrill/common';
import {
	ABSENT_MODEL_COST_REQUEST_S, ADAPTER_DEMAND_RATIO, BUSY_UNLOAD_MS, IDLE_UNLOAD_MS, MAX_ABSENT_LOADS, MAX_COSTED_ENGINES, MAX_PLAN_VISITS, MAX_SWAP_RATIO,
	MIN_MISSING_SLOTS, MIN_MOVE_GAIN_REQUEST_S, PLAN_HORIZON_S,
} from './constants.js';
import {Layout, type LoadPlanInput} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';
import {type EvictionCandidate, EvictionCandidates, mayEvict} from './eviction-candidates.js';

const MS_PER_SECOND = 1000;

/** A model that needs a copy, with the slots of demand that are lost without it. */
type NeededCopy = {readonly model: StoredModel; readonly lostSlots: number; readonly reason: LoadMove['reason']};

/** An engine that could load a model, and the models that it would unload. */
type LoadOption = {
	readonly engine: PlannedEngine;
	readonly unload: readonly string[];
	readonly totalMs: number;
	readonly loadMs: number;
	readonly fromStore: boolean;
	/** Request-seconds lost because adapters cannot be changed during the move. */
	readonly blockedAdapterCost: number;
	/** Sum of the request-seconds that each eviction alone would lose. */
	readonly evictionCost: number;
	/** Request-seconds expected to be lost later since last copies are evicted. */
	readonly absenceCost: number;
};
type CostedLoadOption = LoadOption & {readonly cost: number};

/** The layout with the moves planned so far, and the copies that could be evicted from it. */
type PlanState = {
	readonly layout: Layout;
	readonly evictionCandidates: EvictionCandidates;
	readonly models: ReadonlyMap<string, StoredModel>;
	readonly freeMb: ReadonlyMap<string, number>;
	/** Models for which a move was held back since it undoes a recent one. */
	readonly heldBack: Set<string>;
};

function listNeededCopies({engineClass: {models}, engines, demand, isBrief}: LoadPlanInput, layout: Layout): readonly NeededCopy[] {
	const modelsWithCallers = new Set(demand.filter(({waiting, places}) => waiting > 0 || places >= MIN_MISSING_SLOTS).map(({model}) => model));
	const neededCopies = models.flatMap((model): readonly NeededCopy[] => {
		const lostSlots = layout.getLostSlots(model.name);
		const copies = layout.countCopies(model.name);
		if (copies === 0) {
			return modelsWithCallers.has(model.name) ? [{model, lostSlots, reason: 'missing'}] : [];
		}

		const mayPayOff = !isBrief && layout.getNeededSlots(model.name) * PLAN_HORIZON_S > MIN_MOVE_GAIN_REQUEST_S;
		return mayPayOff && lostSlots > 0 && copies < engines.length ? [{model, lostSlots, reason: 'crowded'}] : [];
	});
	return neededCopies.toSorted((a, b) => b.lostSlots - a.lostSlots);
}

/** Models without a copy that nobody asks for now, loaded in advance where engines are unequal; their next callers could not wait for the weight store. */
function listAbsentModels({engineClass: {models}, engines, isBrief}: LoadPlanInput, layout: Layout): readonly NeededCopy[] {
	if (!layout.isUneven || isBrief) {
		return [];
	}

	const loading = engines.filter(engine => engine.loading !== undefined && layout.isIdle(engine.loading)).length;
	return models
		.filter(({name}) => layout.countCopies(name) === 0)
		.toSorted((a, b) => layout.getNeededSlots(b.name) - layout.getNeededSlots(a.name))
		.slice(0, Math.max(0, MAX_ABSENT_LOADS - loading))
		.map(model => ({model, lostSlots: 0, reason: 'absent'}));
}

/** Memory that a copy uses at an engine. A copy of a model that the configuration no longer has may use all of it. */
function getCopyMb(models: ReadonlyMap<string, StoredModel>, engineMb: number, name: string, adapterCount: number): number {
	const model = models.get(name);
	return model ? model.weightsMb + (adapterCount * model.adapterMb) : engineMb;
}

/** Memory of each engine that is used neither by the models it holds nor by the one it is loading. */
function getFreeMb({engines}: LoadPlanInput, models: ReadonlyMap<string, StoredModel>): ReadonlyMap<string, number> {
	return new Map(engines.map(({targetId, weightsMb, copies, loading}) => {
		const usedMb = copies.reduce((sum, {model, adapterCount}) => sum + getCopyMb(models, weightsMb, model, adapterCount), 0);
		return [targetId, weightsMb - usedMb - (loading === undefined ? 0 : getCopyMb(models, weightsMb, loading, 0))];
	}));
}

/** The copies that an engine would unload for a model, or undefined if they cannot free enough memory. */
function selectEvictions(engine: PlannedEngine, {evictionCandidates, models, freeMb: freeMbByEngine}: PlanState, neededCopy: NeededCopy): readonly EvictionCandidate[] | undefined {
	const evictions: EvictionCandidate[] = [];
	let freeMb = freeMbByEngine.get(engine.targetId) ?? 0;
	if (freeMb >= neededCopy.model.weightsMb) {
		return evictions;
	}

	for (const candidate of evictionCandidates.get(engine)) {
		if (mayEvict(candidate, neededCopy)) {
			evictions.push(candidate);
			freeMb += getCopyMb(models, engine.weightsMb, candidate.model, candidate.adapterCount);
		}

		if (freeMb >= neededCopy.model.weightsMb) {
			return evictions;
		}
	}

	return undefined;
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

/** Whether a move evicts a copy for an additional copy of a model, or for a model that nobody asks for now. */
export function isSwap({reason, unload}: Pick<LoadMove, 'reason'> & {readonly unload: readonly string[]}): boolean {
	return reason !== 'missing' && unload.length > 0;
}

function createLoadOption(input: LoadPlanInput, engine: PlannedEngine, state: PlanState, neededCopy: NeededCopy): LoadOption | undefined {
	const {layout} = state;
	const evictions = selectEvictions(engine, state, neededCopy);
	const unload = evictions?.map(({model}) => model);
	const loadMs = getLoadMs(engine, neededCopy.model);
	const fromStore = loadMs === neededCopy.model.storeLoadMs;
	if (!evictions || !unload || (fromStore && input.storeLoads < 1) || (isSwap({reason: neededCopy.reason, unload}) && !input.mayEvictForCopies)) {
		return undefined;
	}

	const absenceCost = unload.reduce((sum, model) => sum + layout.getAbsenceCost(engine.targetId, model), 0);
	const totalMs = loadMs + getUnloadMs(unload, layout);
	const blockedAdapterCost = layout.getSoleCopySlots(engine.targetId) * ADAPTER_DEMAND_RATIO * totalMs / MS_PER_SECOND;
	return {
		engine, unload, totalMs, loadMs, fromStore, blockedAdapterCost, evictionCost: evictions.reduce((sum, {cost}) => sum + cost, 0), absenceCost,
	};
}

/** The options with the lowest estimated cost. The exact cost of one requires spreading the whole demand again, which takes too long for every engine of a large fleet. */
function selectCheapestByEstimate(options: readonly LoadOption[], layout: Layout, neededCopy: NeededCopy): readonly LoadOption[] {
	if (options.length <= MAX_COSTED_ENGINES) {
		return options;
	}

	return options
		.map(option => {
			const {engine: {targetId}, totalMs, blockedAdapterCost, evictionCost} = option;
			return {option, cost: evictionCost + layout.estimateLoadCost(targetId, neededCopy.model.name, totalMs) + blockedAdapterCost};
		})
		.toSorted((a, b) => a.cost - b.cost)
		.slice(0, MAX_COSTED_ENGINES)
		.map(({option}) => option);
}

/** Whether a move loads the first copy of a model without evicting the last copy of a model in use, which needs no minimum gain. */
function isExemptFromMinGain({reason}: NeededCopy, unload: readonly string[], layout: Layout): boolean {
	return reason === 'missing' && unload.every(model => layout.isIdle(model) || layout.countReadyCopies(model) > 1);
}

/** Whether a move gains enough: a model in no demand is loaded for what its absence may cost, and a move that undoes recent ones must make up for them too. */
function paysOff(option: CostedLoadOption, neededCopy: NeededCopy, {getUndoneCost}: LoadPlanInput, {layout, heldBack}: PlanState): boolean {
	const {engine: {targetId}, unload, cost} = option;
	if (isExemptFromMinGain(neededCopy, unload, layout)) {
		return true;
	}

	const gain = layout.getUnchangedCost() - cost;
	const minGain = neededCopy.reason === 'absent' ? -ABSENT_MODEL_COST_REQUEST_S : MIN_MOVE_GAIN_REQUEST_S;
	const undoneCost = layout.isUneven ? getUndoneCost?.(targetId, unload, neededCopy.model.name) : undefined;
	const isHeldBack = undoneCost !== undefined && gain <= (2 * MIN_MOVE_GAIN_REQUEST_S) + undoneCost;
	if (isHeldBack && gain > minGain) {
		heldBack.add(neededCopy.model.name);
	}

	return gain > minGain && !isHeldBack;
}

function findCheapestOption(input: LoadPlanInput, state: PlanState, neededCopy: NeededCopy, usedEngines: ReadonlySet<string>): CostedLoadOption | undefined {
	const {layout} = state;
	const options = input.engines
		.filter(({targetId, isFree, copies}) => isFree && !usedEngines.has(targetId) && copies.every(({model}) => model !== neededCopy.model.name))
		.flatMap(engine => createLoadOption(input, engine, state, neededCopy) ?? []);
	return selectCheapestByEstimate(options, layout, neededCopy)
		.map(option => ({...option, cost: layout.getMoveCost(option.engine.targetId, option.unload, neededCopy.model.name, option.totalMs) + option.blockedAdapterCost + option.absenceCost}))
		.filter(option => paysOff(option, neededCopy, input, state))
		.toSorted((a, b) => a.cost - b.cost)
		.at(0);
}

/** Planned moves, the models that were left for the next plan to bound the time of this one, and the moves that were held back. */
export type LoadPlan = {
	readonly moves: readonly LoadMove[];
	readonly deferred: readonly string[];
	/** Number of models for which a move would have paid off if it did not undo a recent one. */
	readonly heldBack: number;
};

/** Puts the models first that the last plan had no time for. */
function putDeferredFirst(neededCopies: readonly NeededCopy[], deferred: readonly string[] = []): readonly NeededCopy[] {
	const first = new Set(deferred);
	return [...neededCopies.filter(({model}) => first.has(model.name)), ...neededCopies.filter(({model}) => !first.has(model.name))];
}

/**
 * Plans loads in descending order of the demand that they serve: first copies of models that callers wait for, and additional copies of models whose engines are full.
 * This handles demand that shifts between models within seconds, and engines that restart empty. The work of one plan is bounded, since the leader sends its heartbeats from the same thread.
 */
export function planLoads(input: LoadPlanInput): LoadPlan {
	const layout = new Layout(input);
	const models = new Map(input.engineClass.models.map(model => [model.name, model]));
	const state = {
		layout, evictionCandidates: new EvictionCandidates(layout), models, freeMb: getFreeMb(input, models), heldBack: new Set<string>(),
	};
	const usedEngines = new Set<string>();
	const moves: LoadMove[] = [];
	const deferred: string[] = [];
	let {storeLoads} = input;
	let swaps = input.engines.filter(({isSwapping}) => isSwapping).length;
	let visitedEngines = 0;
	const maxSwaps = Math.max(1, Math.floor(input.engines.length * MAX_SWAP_RATIO));
	for (const neededCopy of [...putDeferredFirst(listNeededCopies(input, layout), input.deferred), ...listAbsentModels(input, layout)]) {
		if (layout.getVisitedCopies() + visitedEngines > MAX_PLAN_VISITS) {
			deferred.push(neededCopy.model.name);
			continue;
		}

		visitedEngines += input.engines.length;
		const mayEvictForCopies = input.mayEvictForCopies && swaps < maxSwaps;
		const option = findCheapestOption({...input, storeLoads, mayEvictForCopies}, state, neededCopy, usedEngines);
		if (option) {
			const move = createMove(neededCopy, option, layout);
			usedEngines.add(move.targetId);
			swaps += isSwap(move) ? 1 : 0;
			storeLoads -= option.fromStore ? 1 : 0;
			layout.apply(move);
			state.evictionCandidates.applyMove(move);
			moves.push(move);
		}
	}

	return {moves, deferred, heldBack: state.heldBack.size};
}

function createMove({model, reason}: NeededCopy, {engine: {targetId}, unload, fromStore, totalMs, loadMs, blockedAdapterCost}: LoadOption, layout: Layout): LoadMove {
	return {
		targetId,
		unload: [...unload],
		load: model.name,
		reason,
		fromStore,
		totalMs,
		loadMs,
		...(layout.isUneven && {costRequestS: layout.getLossDuring(targetId, unload, totalMs) + blockedAdapterCost}),
	};
}
