import {COPY_BUSY_RATIO, CROWDED_LOSS_RATIO, SPREAD_ROUNDS} from './constants.js';

/** The models that an engine holds, as far as a plan goes. */
export type LaidOutEngine = {readonly targetId: string; readonly models: ReadonlySet<string>};

/** How much of each model's demand finds no place, and all of it together. */
export type Spread = {readonly lost: ReadonlyMap<string, number>; readonly totalLost: number; readonly loads: readonly number[]};

/** The engines that hold a model, by their index, and the places that its requests need. */
export type HeldDemand = {readonly holders: readonly number[]; readonly need: number};

/** The same as `Spread`, by the index of the model. */
export type IndexedSpread = {readonly lost: readonly number[]; readonly totalLost: number; readonly loads: Float64Array};

/** What each engine carries of each model's demand, in flat arrays: a plan spreads demand hundreds of times. */
type Shares = {
	/** Index of the first share of each model, and behind the last one. */
	readonly starts: readonly number[];
	readonly engines: Int32Array;
	readonly busy: Float64Array;
};

/** Spreads each model's demand evenly over its holders. */
function divideEvenly(demand: readonly HeldDemand[]): Shares {
	const starts = [0];
	let shareCount = 0;
	for (const {holders, need} of demand) {
		shareCount += need > 0 ? holders.length : 0;
		starts.push(shareCount);
	}

	const engines = new Int32Array(shareCount);
	const busy = new Float64Array(shareCount);
	let i = 0;
	for (const {holders, need} of demand) {
		for (const engine of need > 0 ? holders : []) {
			engines[i] = engine;
			busy[i] = need / holders.length;
			i += 1;
		}
	}

	return {starts, engines, busy};
}

function sumLoads({engines, busy}: Shares, engineCount: number): Float64Array {
	const loads = new Float64Array(engineCount);
	let i = 0;
	for (const engine of engines) {
		loads[engine]! += busy[i]!;
		i += 1;
	}

	return loads;
}

/** Moves each model's demand towards those of its engines that carry less. */
function balance({starts, engines, busy}: Shares, demand: readonly HeldDemand[], loads: Float64Array): void {
	let model = 0;
	for (const {need} of demand) {
		const start = starts[model]!;
		const end = starts[model + 1]!;
		let pull = 0;
		for (let i = start; i < end; i++) {
			busy[i]! /= Math.max(1, loads[engines[i]!]!);
			pull += busy[i]!;
		}

		for (let i = start; i < end; i++) {
			busy[i]! *= need / pull;
		}

		model += 1;
	}
}

/** Requests that an engine with so much to do loses: all beyond its places, and a part of those that come in late pieces. */
export function getExcess(load: number, places: number): number {
	const beyondPlaces = Math.max(0, load - places);
	const crowded = Math.max(0, load - (places * COPY_BUSY_RATIO) - beyondPlaces);
	return beyondPlaces + (crowded * CROWDED_LOSS_RATIO);
}

/** Spreads the places that models need over the engines that hold them, as requests spread when each goes to the least loaded. The work grows with the number of copies. */
export function spreadOverHolders(demand: readonly HeldDemand[], engineCount: number, places: number): IndexedSpread {
	const shares = divideEvenly(demand);
	let loads = sumLoads(shares, engineCount);
	for (let round = 0; round < SPREAD_ROUNDS; round++) {
		balance(shares, demand, loads);
		loads = sumLoads(shares, engineCount);
	}

	const lossRatios = loads.map(load => load > 0 ? getExcess(load, places) / load : 0);
	let totalLost = 0;
	const lost = demand.map(({holders, need}, model) => {
		let modelLost = holders.length === 0 ? need : 0;
		for (let i = shares.starts[model]!; i < shares.starts[model + 1]!; i++) {
			modelLost += shares.busy[i]! * lossRatios[shares.engines[i]!]!;
		}

		totalLost += modelLost;
		return modelLost;
	});
	return {lost, totalLost, loads};
}

/** Engines by the models that they hold. */
export function getHolders(engines: readonly LaidOutEngine[], model: string): readonly number[] {
	return engines.flatMap(({models}, engine) => models.has(model) ? [engine] : []);
}

/** Spreads demand by the names of models. */
export function spreadDemand(engines: readonly LaidOutEngine[], demand: ReadonlyMap<string, number>, places: number): Spread {
	const held = [...demand].map(([model, need]) => ({holders: getHolders(engines, model), need}));
	const {lost, totalLost, loads} = spreadOverHolders(held, engines.length, places);
	return {lost: new Map([...demand.keys()].map((model, i) => [model, lost[i] ?? 0])), totalLost, loads: [...loads]};
}
