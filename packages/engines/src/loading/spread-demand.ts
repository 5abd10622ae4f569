import {COPY_BUSY_RATIO, CROWDED_LOSS_RATIO, SPREAD_ROUNDS} from './constants.js';

/** The models that an engine holds, as far as a plan goes. */
export type LaidOutEngine = {readonly targetId: string; readonly models: ReadonlySet<string>};

/** How much of each model's demand finds no place, and all of it together. */
export type Spread = {readonly lost: ReadonlyMap<string, number>; readonly totalLost: number; readonly loads: readonly number[]};

type Part = {readonly engine: number; busy: number};

function sumLoads(parts: ReadonlyMap<string, readonly Part[]>, engineCount: number): number[] {
	const loads = Array.from({length: engineCount}, () => 0);
	for (const shares of parts.values()) {
		for (const {engine, busy} of shares) {
			loads[engine] = (loads[engine] ?? 0) + busy;
		}
	}

	return loads;
}

/** Moves each model's demand towards those of its engines that carry less. */
function balance(parts: ReadonlyMap<string, Part[]>, demand: ReadonlyMap<string, number>, loads: readonly number[]): void {
	for (const [model, shares] of parts) {
		const pulls = shares.map(({engine, busy}) => busy / Math.max(1, loads[engine] ?? 0));
		const sum = pulls.reduce((total, pull) => total + pull, 0);
		for (const [i, share] of shares.entries()) {
			share.busy = sum > 0 ? (demand.get(model) ?? 0) * (pulls[i] ?? 0) / sum : share.busy;
		}
	}
}

/** Requests that an engine with so much to do loses: all beyond its places, and a part of those that come in late pieces. */
function getExcess(load: number, places: number): number {
	const beyondPlaces = Math.max(0, load - places);
	const crowded = Math.max(0, load - (places * COPY_BUSY_RATIO) - beyondPlaces);
	return beyondPlaces + (crowded * CROWDED_LOSS_RATIO);
}

/** Spreads the places that models need over the engines that hold them, as requests spread when each goes to the least loaded. */
export function spreadDemand(engines: readonly LaidOutEngine[], demand: ReadonlyMap<string, number>, places: number): Spread {
	const parts = new Map<string, Part[]>();
	const lost = new Map<string, number>();
	let totalLost = 0;
	for (const [model, busy] of demand) {
		const holders = engines.flatMap(({models}, engine) => models.has(model) ? [engine] : []);
		if (holders.length > 0) {
			parts.set(model, holders.map(engine => ({engine, busy: busy / holders.length})));
		} else {
			lost.set(model, busy);
			totalLost += busy;
		}
	}

	let loads = sumLoads(parts, engines.length);
	for (let round = 0; round < SPREAD_ROUNDS; round++) {
		balance(parts, demand, loads);
		loads = sumLoads(parts, engines.length);
	}

	for (const [model, shares] of parts) {
		let excess = 0;
		for (const {engine, busy} of shares) {
			const load = loads[engine] ?? 0;
			excess += load > 0 ? busy * getExcess(load, places) / load : 0;
		}

		lost.set(model, excess);
		totalLost += excess;
	}

	return {lost, totalLost, loads};
}
