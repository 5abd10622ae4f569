import type {EngineClass} from '@egretrill/common';
import type {ModelDemand} from './types.js';

const MS_PER_SECOND = 1000;

/** An engine's models, the model that it is loading, and the time left of that move. */
export type MovingEngine = {readonly models: readonly string[]; readonly loading: string | undefined; readonly moveLeftMs: number};

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

function getMoveMs(model: string, engines: readonly MovingEngine[]): number | undefined {
	const holders = engines.filter(({models, loading}) => loading === model || models.includes(model));
	return holders.length === 0 ? undefined : Math.min(...holders.map(({moveLeftMs}) => moveLeftMs));
}

/**
 * Estimates when models that cannot serve now will be ready, so that hosts keep only those callers waiting that can still be served in time.
 * This matters when demand shifts to models without a copy, and when many such models wait for the weight store, which starts loads at a limited rate.
 */
export function estimateReadyTimes({service, engineClass: {models, storeLoadsPerSecond}, engines, demand, storeFreeInMs}: ReadyTimeInput): readonly ModelReadyTime[] {
	const loadIntervalMs = storeLoadsPerSecond > 0 ? MS_PER_SECOND / storeLoadsPerSecond : 0;
	const readyTimes: ModelReadyTime[] = [];
	let nextLoadStartsInMs = storeFreeInMs;
	const byWaiting = demand.toSorted((a, b) => b.waiting - a.waiting || b.places - a.places);
	for (const {model, waiting} of byWaiting) {
		const moveMs = getMoveMs(model, engines);
		if (moveMs !== undefined) {
			readyTimes.push(...(moveMs > 0 ? [{service, model, readyInMs: moveMs}] : []));
			continue;
		}

		const stored = models.find(({name}) => name === model);
		if (stored && waiting > 0) {
			readyTimes.push({service, model, readyInMs: nextLoadStartsInMs + stored.storeLoadMs});
			nextLoadStartsInMs += loadIntervalMs;
		}
	}

	return readyTimes;
}
