import type {StoredModel} from '@egretrill/common';
import {
	ADAPTER_DEMAND_RATIO, BUSY_UNLOAD_MS, IDLE_UNLOAD_MS, MAX_PLAN_VISITS, MAX_SWAP_RATIO, MAX_WEIGHED_SITES, MIN_MOVE_GAIN,
} from './constants.js';
import {Layout, type LoadView} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';
import {mayRemove, type Victim, Victims} from './victims.js';

const MS_PER_SECOND = 1000;

type Want = {readonly model: StoredModel; readonly lost: number; readonly reason: LoadMove['reason']};

/** An engine that could load a model, and what it would unload. */
type Site = {
	readonly engine: PlannedEngine;
	readonly unload: readonly string[];
	readonly totalMs: number;
	readonly loadMs: number;
	readonly fromStore: boolean;
	/** Request-seconds lost by adapters that cannot be changed during the move. */
	readonly blocked: number;
	/** Request-seconds lost by the removals, each taken alone. */
	readonly removalCost: number;
};
type WeighedSite = Site & {readonly cost: number};

/** The layout with the moves planned so far, and what could make room in it. */
type State = {
	readonly layout: Layout;
	readonly victims: Victims;
	readonly models: ReadonlyMap<string, StoredModel>;
	readonly freeMb: ReadonlyMap<string, number>;
};

function getWants({engineClass: {models}, engines, demand}: LoadView, layout: Layout): readonly Want[] {
	const waitedFor = new Set(demand.filter(({waiting}) => waiting > 0).map(({model}) => model));
	const wants = models.flatMap((model): readonly Want[] => {
		const lost = layout.getLost(model.name);
		const copies = layout.countCopies(model.name);
		if (copies === 0) {
			return waitedFor.has(model.name) ? [{model, lost, reason: 'missing'}] : [];
		}

		return lost > 0 && copies < engines.length ? [{model, lost, reason: 'crowded'}] : [];
	});
	return wants.toSorted((a, b) => b.lost - a.lost);
}

function getWeightsMb(models: ReadonlyMap<string, StoredModel>, name: string, adapterCount: number): number {
	const model = models.get(name);
	return (model?.weightsMb ?? 0) + (adapterCount * (model?.adapterMb ?? 0));
}

/** Memory that each engine has free beside what it holds and is loading. */
function getFreeMb({engines}: LoadView, models: ReadonlyMap<string, StoredModel>): ReadonlyMap<string, number> {
	return new Map(engines.map(({targetId, weightsMb, copies, loading}) => {
		const usedMb = copies.reduce((sum, {model, adapterCount}) => sum + getWeightsMb(models, model, adapterCount), 0);
		return [targetId, weightsMb - usedMb - (loading === undefined ? 0 : getWeightsMb(models, loading, 0))];
	}));
}

/** What an engine would unload for a model, or undefined if it cannot make room. */
function makeRoom(engine: PlannedEngine, {victims, models, freeMb: free}: State, want: Want): readonly Victim[] | undefined {
	const unload: Victim[] = [];
	let freeMb = free.get(engine.targetId) ?? 0;
	if (freeMb >= want.model.weightsMb) {
		return unload;
	}

	for (const victim of victims.get(engine)) {
		if (mayRemove(victim, want)) {
			unload.push(victim);
			freeMb += getWeightsMb(models, victim.model, victim.adapterCount);
		}

		if (freeMb >= want.model.weightsMb) {
			return unload;
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

/** Whether a move gives up a copy for a further one of a model that has some. */
export function isSwap({reason, unload}: Pick<LoadMove, 'reason'> & {readonly unload: readonly string[]}): boolean {
	return reason === 'crowded' && unload.length > 0;
}

function describeSite(view: LoadView, engine: PlannedEngine, state: State, want: Want): Site | undefined {
	const {layout} = state;
	const room = makeRoom(engine, state, want);
	const unload = room?.map(({model}) => model);
	const loadMs = getLoadMs(engine, want.model);
	const fromStore = loadMs === want.model.storeLoadMs;
	if (!room || !unload || (fromStore && !view.mayUseStore) || (isSwap({reason: want.reason, unload}) && !view.mayEvictForCopies)) {
		return undefined;
	}

	const totalMs = loadMs + getUnloadMs(unload, layout);
	const blocked = layout.getSoleNeeds(engine.targetId) * ADAPTER_DEMAND_RATIO * totalMs / MS_PER_SECOND;
	return {
		engine, unload, totalMs, loadMs, fromStore, blocked, removalCost: room.reduce((sum, {cost}) => sum + cost, 0),
	};
}

/** The sites that cost least by an estimate; weighing one means to spread the whole demand anew, which a large fleet has no time for at every engine. */
function preferSites(sites: readonly Site[], layout: Layout, want: Want): readonly Site[] {
	if (sites.length <= MAX_WEIGHED_SITES) {
		return sites;
	}

	return sites
		.map(site => {
			const {engine: {targetId}, totalMs, blocked, removalCost} = site;
			return {site, cost: removalCost + layout.estimateLoadCost(targetId, want.model.name, totalMs) + blocked};
		})
		.toSorted((a, b) => a.cost - b.cost)
		.slice(0, MAX_WEIGHED_SITES)
		.map(({site}) => site);
}

/** Whether a move brings a model its first copy and takes nobody's last one. */
function mayMoveAtAnyCost({reason}: Want, unload: readonly string[], layout: Layout): boolean {
	return reason === 'missing' && unload.every(model => layout.isIdle(model) || layout.countCopies(model) > 1);
}

function findSite(view: LoadView, state: State, want: Want, taken: ReadonlySet<string>): WeighedSite | undefined {
	const {layout} = state;
	const idleCost = layout.getIdleCost();
	const sites = view.engines
		.filter(({targetId, isFree, copies}) => isFree && !taken.has(targetId) && copies.every(({model}) => model !== want.model.name))
		.flatMap(engine => describeSite(view, engine, state, want) ?? []);
	return preferSites(sites, layout, want)
		.map(site => ({...site, cost: layout.getMoveCost(site.engine.targetId, site.unload, want.model.name, site.totalMs) + site.blocked}))
		.filter(({cost, unload}) => mayMoveAtAnyCost(want, unload, layout) || cost < idleCost - MIN_MOVE_GAIN)
		.toSorted((a, b) => a.cost - b.cost)
		.at(0);
}

/** Planned moves, and the models for which the time of the plan did not suffice. */
export type LoadPlan = {readonly moves: readonly LoadMove[]; readonly deferred: readonly string[]};

/** Puts those first that the last plan had no time for. */
function orderWants(wants: readonly Want[], deferred: readonly string[] = []): readonly Want[] {
	const first = new Set(deferred);
	return [...wants.filter(({model}) => first.has(model.name)), ...wants.filter(({model}) => !first.has(model.name))];
}

/**
 * Plans loads in the order of the requests that they serve: first copies of models that callers wait for, and more copies of those whose engines are full.
 * Answers demand that moves between models within seconds, and engines that come back empty. The work of one plan is bounded, since the leader sends its heartbeats from the same thread.
 */
export function planLoads(view: LoadView): LoadPlan {
	const layout = new Layout(view);
	const models = new Map(view.engineClass.models.map(model => [model.name, model]));
	const state = {
		layout, victims: new Victims(layout), models, freeMb: getFreeMb(view, models),
	};
	const taken = new Set<string>();
	const moves: LoadMove[] = [];
	const deferred: string[] = [];
	let {mayUseStore} = view;
	let swaps = view.engines.filter(({isSwapping}) => isSwapping).length;
	let visitedEngines = 0;
	const maxSwaps = Math.max(1, Math.floor(view.engines.length * MAX_SWAP_RATIO));
	for (const want of orderWants(getWants(view, layout), view.deferred)) {
		if (layout.getVisitedCopies() + visitedEngines > MAX_PLAN_VISITS) {
			deferred.push(want.model.name);
			continue;
		}

		visitedEngines += view.engines.length;
		const mayEvictForCopies = view.mayEvictForCopies && swaps < maxSwaps;
		const site = findSite({...view, mayUseStore, mayEvictForCopies}, state, want, taken);
		if (site) {
			const move = createMove(want, site);
			taken.add(move.targetId);
			swaps += isSwap(move) ? 1 : 0;
			mayUseStore &&= !site.fromStore;
			layout.apply(move);
			state.victims.noteMove(move);
			moves.push(move);
		}
	}

	return {moves, deferred};
}

function createMove({model, reason}: Want, {engine: {targetId}, unload, fromStore, totalMs, loadMs}: Site): LoadMove {
	return {
		targetId, unload: [...unload], load: model.name, reason, fromStore, totalMs, loadMs,
	};
}
