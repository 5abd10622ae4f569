import type {EngineClass} from '@egretrill/common';
import type {ModelDemand} from './types.js';

const MS_PER_SECOND = 1000;

/** An engine's models, the model that it is loading, and the time left of that move. */
export type MovingEngine = {readonly models: readonly string[]; readonly loading: string | undefined; readonly moveLeftMs: number};

export type ExpectView = {
	readonly service: string;
	readonly engineClass: EngineClass;
	readonly engines: readonly MovingEngine[];
	readonly demand: readonly ModelDemand[];
	/** Time until the weight store may begin another load. */
	readonly storeFreeInMs: number;
};

/** A model that cannot serve now, or take adapters, with the expected time until it can. */
export type ExpectedModel = {readonly service: string; readonly model: string; readonly readyInMs: number};

function getMoveMs(model: string, engines: readonly MovingEngine[]): number | undefined {
	const holders = engines.filter(({models, loading}) => loading === model || models.includes(model));
	return holders.length === 0 ? undefined : Math.min(...holders.map(({moveLeftMs}) => moveLeftMs));
}

/**
 * When models that cannot serve now will, so that hosts keep only those callers waiting that can still be served.
 * Answers demand that moves to models without a copy, and bursts of them that the weight store takes one by one.
 */
export function expectModels({service, engineClass: {models, storeLoadsPerSecond}, engines, demand, storeFreeInMs}: ExpectView): readonly ExpectedModel[] {
	const gapMs = storeLoadsPerSecond > 0 ? MS_PER_SECOND / storeLoadsPerSecond : 0;
	const expected: ExpectedModel[] = [];
	let startMs = storeFreeInMs;
	const byWeight = demand.toSorted((a, b) => b.waiting - a.waiting || b.places - a.places);
	for (const {model, waiting} of byWeight) {
		const moveMs = getMoveMs(model, engines);
		if (moveMs !== undefined) {
			expected.push(...(moveMs > 0 ? [{service, model, readyInMs: moveMs}] : []));
			continue;
		}

		const stored = models.find(({name}) => name === model);
		if (stored && waiting > 0) {
			expected.push({service, model, readyInMs: startMs + stored.storeLoadMs});
			startMs += gapMs;
		}
	}

	return expected;
}
