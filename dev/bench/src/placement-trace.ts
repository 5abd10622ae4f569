import {createRandom, type Model, type WeightStoreLimits} from '@egretrill/common';
import type {DemandEstimate} from '@egretrill/engines';

/** Size of one deployment and the limits of its weight store. */
export type Deployment = {
	readonly name: string;
	readonly engines: number;
	readonly models: number;
	readonly adapters: number;
	readonly store: WeightStoreLimits;
};

/** An engine answers `PARALLEL_REQUESTS` requests at a time, each in `MEAN_ANSWER_MS` on average. */
export const PARALLEL_REQUESTS = 16;
export const MEAN_ANSWER_MS = 2000;
export const ENGINE_CAPACITY_PER_S = PARALLEL_REQUESTS * 1000 / MEAN_ANSWER_MS;

/** Memory of an engine for three and for four models of mean size. */
export const ENGINE_MEMORIES_MB: readonly number[] = [60_000, 80_000];

/** Mean demand as a share of the fleet's capacity. */
export const DEMAND_RATIO = 0.7;
export const SHIFT_FACTOR = 10;
export const SHIFT_PERIOD_MS = 90_000;
export const TRACE_MS = 720_000;

/** Share of the models that have tenfold demand at any time. */
export const HOT_RATIO = 0.15;

export const deployments: readonly Deployment[] = [
	{
		name: 'atlas', engines: 8, models: 20, adapters: 60, store: {loadsPerSecond: 2, concurrentLoads: 9, concurrentAdapterLoads: 70},
	},
	{
		name: 'pferdedecken', engines: 13, models: 25, adapters: 100, store: {loadsPerSecond: 3, concurrentLoads: 10, concurrentAdapterLoads: 80},
	},
];

export type Arrival = {readonly atMs: number; readonly model: number; readonly answerMs: number};

export type Trace = {
	readonly models: readonly Model[];
	readonly arrivals: readonly Arrival[];
	readonly getRates: (atMs: number) => readonly number[];
	readonly meanDemand: readonly DemandEstimate[];
};

/** Converts known rates to the demand estimates that a policy plans with. */
export function toDemand(models: readonly Model[], rates: readonly number[]): readonly DemandEstimate[] {
	return models.map(({id}, i) => ({
		model: id, ratePerS: rates[i] ?? 0, sigmaPerS: 0, shifted: false,
	}));
}

/** Creates a seeded trace in which a different set of models has tenfold demand in each period. */
export function createTrace({engines, models: modelCount, adapters}: Deployment, seed: number): Trace {
	const random = createRandom(seed);
	const models = Array.from({length: modelCount}, (_, i): Model => ({
		id: `m${i}`,
		version: 'v1',
		memoryMb: 10_000 + Math.floor(random() * 8000),
		kvReserveMb: 4000 + (Math.ceil(adapters / modelCount) * 200),
		minCopies: 1,
		adapters: [],
	}));
	const weights = models.map(() => 0.5 + random());
	const periods = Array.from({length: Math.ceil(TRACE_MS / SHIFT_PERIOD_MS)}, () => {
		const shuffled = models.map((_, i) => ({i, rank: random()})).sort((a, b) => a.rank - b.rank).map(({i}) => i);
		const hot = new Set(shuffled.slice(0, Math.round(modelCount * HOT_RATIO)));
		const rawRates = weights.map((weight, i) => hot.has(i) ? weight * SHIFT_FACTOR : weight);
		return rawRates;
	});
	const meanTotal = periods.flat().reduce((sum, rate) => sum + rate, 0) / periods.length;
	const scale = DEMAND_RATIO * engines * ENGINE_CAPACITY_PER_S / meanTotal;
	const rates = periods.map(rawRates => rawRates.map(rate => rate * scale));
	const getRates = (atMs: number): readonly number[] => rates[Math.min(rates.length - 1, Math.floor(atMs / SHIFT_PERIOD_MS))] ?? [];
	const means = models.map((_, i) => rates.reduce((sum, period) => sum + (period[i] ?? 0), 0) / rates.length);
	return {
		models, getRates, meanDemand: toDemand(models, means), arrivals: createArrivals(getRates, modelCount, random),
	};
}

/** Creates bursty Poisson arrivals: each second has 1.5 or 0.5 times the model's rate, with equal probability. */
function createArrivals(getRates: Trace['getRates'], modelCount: number, random: () => number): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (let model = 0; model < modelCount; model++) {
		for (let secondMs = 0; secondMs < TRACE_MS; secondMs += 1000) {
			const ratePerS = (getRates(secondMs)[model] ?? 0) * (random() < 0.5 ? 1.5 : 0.5);
			let atMs = secondMs - (Math.log(1 - random()) * 1000 / ratePerS);
			while (atMs < secondMs + 1000) {
				arrivals.push({atMs, model, answerMs: -Math.log(1 - random()) * MEAN_ANSWER_MS});
				atMs -= Math.log(1 - random()) * 1000 / ratePerS;
			}
		}
	}

	return arrivals.sort((a, b) => a.atMs - b.atMs);
}
