import type {EngineClass} from '@egretrill/common';
import type {ModelDemand} from './types.js';

const MS_PER_SECOND = 1000;

/** An engine's models, the model that it is loading, and the time left of that move. */
export type EngineMoveState = {readonly models: readonly string[]; readonly loading: string | undefined; readonly remainingMoveMs: number};

export type ReadyTimeInput = {
	readonly service: string;
	readonly engineClass: EngineClass;
	readonly engines: readonly EngineMoveState[];
	readonly demand: readonly ModelDemand[];
	/** Time until the weight store may begin another load. */
	readonly storeAvailableInMs: number;
};

/** A model that cannot serve now, or take adapters, with the expected time until it can. */
export type ModelReadyTime = {readonly service: string; readonly model: string; readonly readyInMs: number};

function getRemainingMoveMs(model: string, engines: readonly EngineMoveState[]): number | undefined {
	const holders = engines.filter(({models, loading}) => loading === model || models.includes(model));
	return holders.length === 0 ? undefined : Math.min(...holders.map(({remainingMoveMs}) => remainingMoveMs));
}

/**
 * When models that cannot serve now will, so that hosts keep only those callers waiting that can still be served.
 * Answers demand that moves to models without a copy, and bursts of them that the weight store takes one by one.
 */
export function estimateReadyTimes({service, engineClass: {models, storeLoadsPerSecond}, engines, demand, storeAvailableInMs}: ReadyTimeInput): readonly ModelReadyTime[] {
	const loadIntervalMs = storeLoadsPerSecond > 0 ? MS_PER_SECOND / storeLoadsPerSecond : 0;
	const readyTimes: ModelReadyTime[] = [];
	let nextLoadStartsInMs = storeAvailableInMs;
	const byWaiting = demand.toSorted((a, b) => b.waiting - a.waiting || b.places - a.places);
	for (const {model, waiting} of byWaiting) {
		const remainingMs = getRemainingMoveMs(model, engines);
		if (remainingMs !== undefined) {
			readyTimes.push(...(remainingMs > 0 ? [{service, model, readyInMs: remainingMs}] : []));
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
