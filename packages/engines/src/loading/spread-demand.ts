import {
	COPY_BUSY_UTILISATION, CROWDED_LOSS_RATIO, MIN_SPREAD_SLOTS, SPREAD_ROUNDS,
} from './constants.js';
import {getLateRatio} from './engine-speeds.js';

/** The models that an engine holds according to a plan. */
export type EngineHoldings = {readonly targetId: string; readonly models: ReadonlySet<string>; readonly speed?: number};

/** Slots of each model's demand that are lost because engines are full or too busy, their sum, and the slots in use at each engine. */
export type DemandSpread = {readonly lostSlots: ReadonlyMap<string, number>; readonly totalLostSlots: number; readonly usedSlots: readonly number[]};

/** The engines that hold a model, by their index, and the slots that its requests need. */
export type DemandOverHolders = {readonly holders: readonly number[]; readonly neededSlots: number};

/** The same as `DemandSpread`, by the index of the model. */
export type IndexedDemandSpread = {readonly lostSlots: readonly number[]; readonly totalLostSlots: number; readonly usedSlots: Float64Array};

/** A change of the holders of models: an engine that unloads some and loads another. */
export type HolderChange = {readonly engine: number; readonly unload: readonly number[]; readonly load: number | undefined};

/** Slots of demand that an engine loses: all beyond its slots, and a part of those beyond the busy ratio, whose chunks arrive late. Slots are counted at the mean speed. */
export function getLostSlots(usedSlots: number, slotCount: number, speed = 1): number {
	const capacity = slotCount * speed;
	const excessSlots = Math.max(0, usedSlots - capacity);
	const crowdedSlots = Math.max(0, usedSlots - (capacity * COPY_BUSY_UTILISATION) - excessSlots);
	return excessSlots + (crowdedSlots * CROWDED_LOSS_RATIO) + ((usedSlots - excessSlots - crowdedSlots) * getLateRatio(speed));
}

/**
 * Spreads the slots that models need over the engines that hold them, as routing to the least loaded engine does; faster engines get more. The work grows with the
 * number of copies. One plan spreads demand hundreds of times, so the arrays are kept.
 */
export class DemandSpreader {
	/** Copies visited so far; the duration of a plan is proportional to them. */
	visitedCopies = 0;
	private readonly weights: Float64Array;
	private readonly usedSlots: Float64Array;
	private readonly divisors: Float64Array;
	/** Index of the first share of each model, followed by the number of shares. */
	private readonly starts: Int32Array;
	private shareEngines = new Int32Array(0);
	private shareSlots = new Float64Array(0);

	constructor(private readonly speeds: readonly number[], modelCount: number, private readonly slotsPerEngine: number) {
		this.weights = Float64Array.from(speeds, speed => speed * (1 - getLateRatio(speed)));
		this.usedSlots = new Float64Array(speeds.length);
		this.divisors = new Float64Array(speeds.length);
		this.starts = new Int32Array(modelCount + 1);
	}

	/** Slots of demand that are lost in total, after a change if there is one. */
	getTotalLostSlots(demand: readonly DemandOverHolders[], change?: HolderChange): number {
		this.balance(demand, change);
		let totalLostSlots = 0;
		let engine = 0;
		for (const used of this.usedSlots) {
			totalLostSlots += getLostSlots(used, this.slotsPerEngine, this.speeds[engine]);
			engine += 1;
		}

		let model = 0;
		for (const {neededSlots} of demand) {
			totalLostSlots += this.starts[model] === this.starts[model + 1] ? neededSlots : 0;
			model += 1;
		}

		return totalLostSlots;
	}

	/** Slots of each model's demand that are lost, and the slots in use at each engine. */
	spread(demand: readonly DemandOverHolders[]): IndexedDemandSpread {
		this.balance(demand);
		const lossRatios = this.usedSlots.map((used, engine) => used > 0 ? getLostSlots(used, this.slotsPerEngine, this.speeds[engine]) / used : 0);
		let totalLostSlots = 0;
		const lostSlots = demand.map(({neededSlots}, model) => {
			const start = this.starts[model]!;
			const end = this.starts[model + 1]!;
			let modelLostSlots = start === end ? neededSlots : 0;
			for (let i = start; i < end; i++) {
				modelLostSlots += this.shareSlots[i]! * lossRatios[this.shareEngines[i]!]!;
			}

			totalLostSlots += modelLostSlots;
			return modelLostSlots;
		});
		return {lostSlots, totalLostSlots, usedSlots: Float64Array.from(this.usedSlots)};
	}

	private balance(demand: readonly DemandOverHolders[], change?: HolderChange): void {
		this.listShares(demand, change);
		this.visitedCopies += this.starts[demand.length]!;
		this.divideByWeight(demand);
		for (let round = 0; round < SPREAD_ROUNDS; round++) {
			let engine = 0;
			for (const used of this.usedSlots) {
				this.divisors[engine] = Math.max(1, used / this.speeds[engine]!);
				engine += 1;
			}

			this.moveToLessLoaded(demand);
		}
	}

	private listShares(demand: readonly DemandOverHolders[], change?: HolderChange): void {
		let count = 0;
		let model = -1;
		for (const {holders, neededSlots} of demand) {
			model += 1;
			this.starts[model] = count;
			if (neededSlots < MIN_SPREAD_SLOTS) {
				continue;
			}

			this.reserve(count + holders.length + 1);
			const isUnloaded = change?.unload.includes(model);
			for (const engine of holders) {
				if (!isUnloaded || engine !== change?.engine) {
					this.shareEngines[count] = engine;
					count += 1;
				}
			}

			if (change?.load === model) {
				this.shareEngines[count] = change.engine;
				count += 1;
			}
		}

		this.starts[demand.length] = count;
	}

	private reserve(count: number): void {
		if (count > this.shareEngines.length) {
			const engines = new Int32Array(count * 2);
			engines.set(this.shareEngines);
			this.shareEngines = engines;
			this.shareSlots = new Float64Array(count * 2);
		}
	}

	private divideByWeight(demand: readonly DemandOverHolders[]): void {
		this.usedSlots.fill(0);
		let model = 0;
		for (const {neededSlots} of demand) {
			const start = this.starts[model]!;
			const end = this.starts[model + 1]!;
			let weightSum = 0;
			for (let i = start; i < end; i++) {
				weightSum += this.weights[this.shareEngines[i]!]!;
			}

			for (let i = start; i < end; i++) {
				this.setShare(i, this.weights[this.shareEngines[i]!]! * neededSlots / weightSum);
			}

			model += 1;
		}
	}

	/** Moves each model's demand towards its less loaded engines. */
	private moveToLessLoaded(demand: readonly DemandOverHolders[]): void {
		this.usedSlots.fill(0);
		let model = 0;
		for (const {neededSlots} of demand) {
			const start = this.starts[model]!;
			const end = this.starts[model + 1]!;
			let weightSum = 0;
			for (let i = start; i < end; i++) {
				this.shareSlots[i]! /= this.divisors[this.shareEngines[i]!]!;
				weightSum += this.shareSlots[i]!;
			}

			const factor = neededSlots / weightSum;
			for (let i = start; i < end; i++) {
				this.setShare(i, this.shareSlots[i]! * factor);
			}

			model += 1;
		}
	}

	private setShare(index: number, slots: number): void {
		this.shareSlots[index] = slots;
		this.usedSlots[this.shareEngines[index]!]! += slots;
	}
}

/** Indexes of the engines that hold a model. */
export function getHolders(engines: readonly EngineHoldings[], model: string): readonly number[] {
	return engines.flatMap(({models}, engine) => models.has(model) ? [engine] : []);
}

/** Spreads demand that is given by the names of models. */
export function spreadDemand(engines: readonly EngineHoldings[], demand: ReadonlyMap<string, number>, slotsPerEngine: number): DemandSpread {
	const demandOverHolders = [...demand].map(([model, neededSlots]) => ({holders: getHolders(engines, model), neededSlots}));
	const spreader = new DemandSpreader(engines.map(({speed = 1}) => speed), demandOverHolders.length, slotsPerEngine);
	const {lostSlots, totalLostSlots, usedSlots} = spreader.spread(demandOverHolders);
	return {lostSlots: new Map([...demand.keys()].map((model, i) => [model, lostSlots[i] ?? 0])), totalLostSlots, usedSlots: [...usedSlots]};
}
