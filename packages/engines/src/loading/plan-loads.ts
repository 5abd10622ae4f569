import type {StoredModel} from '@egretrill/common';
import {
	ADAPTER_DEMAND_RATIO, BUSY_UNLOAD_MS, IDLE_UNLOAD_MS, LAST_COPY_RATIO, MAX_SWAP_RATIO, MIN_COPY_AGE_MS, MIN_MOVE_GAIN,
} from './constants.js';
import {Layout, type LoadView} from './layout.js';
import type {LoadMove, PlannedEngine} from './types.js';

const MS_PER_SECOND = 1000;

type Want = {readonly model: StoredModel; readonly lost: number; readonly reason: LoadMove['reason']};
type Site = {readonly engine: PlannedEngine; readonly unload: readonly string[]; readonly totalMs: number; readonly loadMs: number; readonly fromStore: boolean; readonly cost: number};

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

/** Whether a move brings a model its first copy and takes nobody's last one. */
function mayMoveAtAnyCost({reason}: Want, unload: readonly string[], layout: Layout): boolean {
	return reason === 'missing' && unload.every(model => layout.isIdle(model) || layout.countCopies(model) > 1);
}

function findSite(view: LoadView, layout: Layout, want: Want, taken: ReadonlySet<string>): Site | undefined {
	const idleCost = layout.getCost('', [], undefined, 0);
	return view.engines
		.filter(({targetId, isFree, copies}) => isFree && !taken.has(targetId) && copies.every(({model}) => model !== want.model.name))
		.flatMap(engine => describeSite(view, engine, layout, want) ?? [])
		.filter(({cost, unload}) => mayMoveAtAnyCost(want, unload, layout) || cost < idleCost - MIN_MOVE_GAIN)
		.toSorted((a, b) => a.cost - b.cost)
		.at(0);
}

/**
 * Plans loads in the order of the requests that they serve: first copies of models that callers wait for, and more copies of those whose engines are full.
 * Answers demand that moves between models within seconds, and engines that come back empty.
 */
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
			const {engine: {targetId}, unload, fromStore, totalMs, loadMs} = site;
			const move: LoadMove = {
				targetId, unload: [...unload], load: want.model.name, reason: want.reason, fromStore, totalMs, loadMs,
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
