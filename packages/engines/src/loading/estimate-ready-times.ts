import type {EngineClass} from '@egretrill/common';
import {SLOTS_PER_WAITING_REQUEST} from './constants.js';
import {LocalLoads} from './local-loads.js';
import type {ModelDemand} from './types.js';

const MS_PER_SECOND = 1000;

/** An engine's models, the model that it is loading, and the time left of that move. */
export type MovingEngine = {
	readonly models: readonly string[];
	readonly loading: string | undefined;
	readonly moveLeftMs: number;
	/** Models whose weights are in the memory or on the disk of the engine. */
	readonly inMemory?: readonly string[];
	readonly onDisk?: readonly string[];
};

export type ReadyTimeInput = {
	readonly service: string;
	readonly engineClass: EngineClass;
	readonly engines: readonly MovingEngine[];
	readonly demand: readonly ModelDemand[];
	/** Time until the weight store may start another load. */
	readonly storeFreeInMs: number;
};

/** A model that currently cannot serve requests or cannot load adapters, with the expected time until it can. */
export type ModelReadyTime = {readonly service: string; readonly model: string; readonly readyInMs: number};

/** Least value by name. */
function setLeast(values: Map<string, number>, name: string, value: number): void {
	values.set(name, Math.min(value, values.get(name) ?? Number.POSITIVE_INFINITY));
}

/** Time by model until the first move ends of an engine that holds or loads it. */
function getMoveTimes(engines: readonly MovingEngine[]): ReadonlyMap<string, number> {
	const moveMs = new Map<string, number>();
	for (const {models, loading, moveLeftMs} of engines) {
		for (const model of loading === undefined ? models : [...models, loading]) {
			setLeast(moveMs, model, moveLeftMs);
		}
	}

	return moveMs;
}

/**
 * Estimates when models that cannot serve now will be ready, so that hosts keep only those callers waiting that can still be served in time.
 * This matters when demand shifts to models without a copy, and when many such models wait for the weight store, which starts loads at a limited rate.
 */
export function estimateReadyTimes({service, engineClass, engines, demand, storeFreeInMs}: ReadyTimeInput): readonly ModelReadyTime[] {
	const {models, storeLoadsPerSecond} = engineClass;
	const loadIntervalMs = storeLoadsPerSecond > 0 ? MS_PER_SECOND / storeLoadsPerSecond : 0;
	const readyTimes: ModelReadyTime[] = [];
	let nextLoadStartsInMs = storeFreeInMs;
	const stored = new Map(models.map(model => [model.name, model]));
	const moveTimes = getMoveTimes(engines);
	const localLoads = new LocalLoads(engineClass, engines, demand);
	const byWaiting = demand.toSorted((a, b) => b.waiting - a.waiting || b.places - a.places);
	for (const {model, waiting, places, crowded} of byWaiting) {
		const moveMs = moveTimes.get(model);
		if (moveMs !== undefined) {
			readyTimes.push(...(moveMs > 0 ? [{service, model, readyInMs: moveMs}] : []));
			continue;
		}

		const storeLoadMs = stored.get(model)?.storeLoadMs;
		if (storeLoadMs === undefined || waiting === 0) {
			continue;
		}

		const storeMs = nextLoadStartsInMs + storeLoadMs;
		const localMs = localLoads.plan(model, places + crowded + (waiting * SLOTS_PER_WAITING_REQUEST), storeMs);
		readyTimes.push({service, model, readyInMs: localMs ?? storeMs});
		nextLoadStartsInMs += localMs === undefined ? loadIntervalMs : 0;
	}

	return readyTimes;
}
