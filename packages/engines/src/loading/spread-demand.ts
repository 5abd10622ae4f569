import {COPY_BUSY_UTILISATION, CROWDED_LOSS_RATIO, SPREAD_ROUNDS} from './constants.js';

/** The models that an engine holds according to a plan. */
export type EngineHoldings = {readonly targetId: string; readonly models: ReadonlySet<string>};

/** Slots of each model's demand that are lost because engines are full or too busy, their sum, and the slots in use at each engine. */
export type DemandSpread = {readonly lostSlots: ReadonlyMap<string, number>; readonly totalLostSlots: number; readonly usedSlots: readonly number[]};

/** The engines that hold a model, by their index, and the slots that its requests need. */
export type DemandOverHolders = {readonly holders: readonly number[]; readonly neededSlots: number};

/** The same as `DemandSpread`, by the index of the model. */
export type IndexedDemandSpread = {readonly lostSlots: readonly number[]; readonly totalLostSlots: number; readonly usedSlots: Float64Array};

/** The share of each model's demand at each of its engines, in flat arrays, since one plan spreads demand hundreds of times. */
type HolderShares = {
	/** Index of the first share of each model, followed by the number of shares. */
	readonly starts: readonly number[];
	readonly engines: Int32Array;
	readonly shareSlots: Float64Array;
};

/** Spreads each model's demand evenly over its holders. */
function divideEvenly(demand: readonly DemandOverHolders[]): HolderShares {
	const starts = [0];
	let shareCount = 0;
	for (const {holders, neededSlots} of demand) {
		shareCount += neededSlots > 0 ? holders.length : 0;
		starts.push(shareCount);
	}

	const engines = new Int32Array(shareCount);
	const shareSlots = new Float64Array(shareCount);
	let i = 0;
	for (const {holders, neededSlots} of demand) {
		for (const engine of neededSlots > 0 ? holders : []) {
			engines[i] = engine;
			shareSlots[i] = neededSlots / holders.length;
			i += 1;
		}
	}

	return {starts, engines, shareSlots};
}

function sumUsedSlots({engines, shareSlots}: HolderShares, engineCount: number): Float64Array {
	const usedSlots = new Float64Array(engineCount);
	let i = 0;
	for (const engine of engines) {
		usedSlots[engine]! += shareSlots[i]!;
		i += 1;
	}

	return usedSlots;
}

/** Moves each model's demand towards its less loaded engines. */
function balance({starts, engines, shareSlots}: HolderShares, demand: readonly DemandOverHolders[], usedSlots: Float64Array): void {
	let model = 0;
	for (const {neededSlots} of demand) {
		const start = starts[model]!;
		const end = starts[model + 1]!;
		let weightSum = 0;
		for (let i = start; i < end; i++) {
			shareSlots[i]! /= Math.max(1, usedSlots[engines[i]!]!);
			weightSum += shareSlots[i]!;
		}

		for (let i = start; i < end; i++) {
			shareSlots[i]! *= neededSlots / weightSum;
		}

		model += 1;
	}
}

/** Slots of demand that an engine loses: all beyond its slots, and a part of those beyond the busy ratio, whose chunks arrive late. */
export function getLostSlots(usedSlots: number, slotCount: number): number {
	const excessSlots = Math.max(0, usedSlots - slotCount);
	const crowdedSlots = Math.max(0, usedSlots - (slotCount * COPY_BUSY_UTILISATION) - excessSlots);
	return excessSlots + (crowdedSlots * CROWDED_LOSS_RATIO);
}

/** Spreads the slots that models need over the engines that hold them, as routing to the least loaded engine does. The work grows with the number of copies. */
export function spreadOverHolders(demand: readonly DemandOverHolders[], engineCount: number, slotsPerEngine: number): IndexedDemandSpread {
	const shares = divideEvenly(demand);
	let usedSlots = sumUsedSlots(shares, engineCount);
	for (let round = 0; round < SPREAD_ROUNDS; round++) {
		balance(shares, demand, usedSlots);
		usedSlots = sumUsedSlots(shares, engineCount);
	}

	const lossRatios = usedSlots.map(used => used > 0 ? getLostSlots(used, slotsPerEngine) / used : 0);
	let totalLostSlots = 0;
	const lostSlots = demand.map(({holders, neededSlots}, model) => {
		let modelLostSlots = holders.length === 0 ? neededSlots : 0;
		for (let i = shares.starts[model]!; i < shares.starts[model + 1]!; i++) {
			modelLostSlots += shares.shareSlots[i]! * lossRatios[shares.engines[i]!]!;
		}

		totalLostSlots += modelLostSlots;
		return modelLostSlots;
	});
	return {lostSlots, totalLostSlots, usedSlots};
}

/** Indexes of the engines that hold a model. */
export function getHolders(engines: readonly EngineHoldings[], model: string): readonly number[] {
	return engines.flatMap(({models}, engine) => models.has(model) ? [engine] : []);
}

/** Spreads demand that is given by the names of models. */
export function spreadDemand(engines: readonly EngineHoldings[], demand: ReadonlyMap<string, number>, slotsPerEngine: number): DemandSpread {
	const demandOverHolders = [...demand].map(([model, neededSlots]) => ({holders: getHolders(engines, model), neededSlots}));
	const {lostSlots, totalLostSlots, usedSlots} = spreadOverHolders(demandOverHolders, engines.length, slotsPerEngine);
	return {lostSlots: new Map([...demand.keys()].map((model, i) => [model, lostSlots[i] ?? 0])), totalLostSlots, usedSlots: [...usedSlots]};
}
