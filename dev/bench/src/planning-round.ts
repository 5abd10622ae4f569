import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {createRandom, type Model} from '@egretrill/common';
import {DemandPlacement, type PlanInput, type PlannedTarget} from '@egretrill/engines';

const ROUNDS = 5;
const MEMORY_MB = 80_000;
const CAPACITY_PER_S = 8;
const BYTES_PER_MB = 1_048_576;
const KB_PER_MB = 1024;

/** Creates the input of a planning round in which a tenth of the models has tenfold demand. */
export function createLargeInput(modelCount: number, accelerators: number, seed: number): PlanInput {
	const random = createRandom(seed);
	const models = Array.from({length: modelCount}, (_, i): Model => ({
		id: `m${i}`, version: 'v1', memoryMb: 10_000 + Math.floor(random() * 8000), kvReserveMb: 4000, minCopies: 1, adapters: [],
	}));
	const targets = Array.from({length: accelerators}, (_, i): PlannedTarget => {
		const resident = [...new Set([i % modelCount, ...Array.from({length: 3}, () => Math.floor(random() * modelCount))])].flatMap(id => models[id] ?? []);
		return {
			targetId: `e${i}`,
			zone: `z${i % 21}`,
			orderable: true,
			memoryMb: MEMORY_MB,
			freeMb: MEMORY_MB - resident.reduce((sum, model) => sum + model.memoryMb + model.kvReserveMb, 0),
			capacityPerS: CAPACITY_PER_S,
			role: 'mixed',
			roleAgeMs: 100_000,
			busy: false,
			leaving: false,
			copies: resident.map(({id}) => ({
				model: id, version: 'v1', adapters: [], ageMs: 100_000, idleMs: 0,
			})),
			loading: [],
		};
	});
	const rawRates = models.map((_, i) => (0.5 + random()) * (i % 10 === 0 ? 10 : 1));
	const scale = 0.7 * accelerators * CAPACITY_PER_S / rawRates.reduce((sum, rate) => sum + rate, 0);
	return {
		nowMs: 0,
		models,
		placements: {pins: [], forbids: []},
		demand: rawRates.map((rate, i) => ({
			model: `m${i}`, ratePerS: rate * scale, sigmaPerS: 0.1, shifted: false,
		})),
		targets,
		waiting: [],
		loadSlots: 32,
		loadMs: 4500,
	};
}

/** Measures time and memory of planning rounds on a large fleet. */
export function measurePlanningRound(modelCount: number, accelerators: number, seed: number): Record<string, unknown> {
	const input = createLargeInput(modelCount, accelerators, seed);
	const policy = new DemandPlacement();
	const peakBeforeKb = process.resourceUsage().maxRSS;
	const heapBefore = process.memoryUsage().heapUsed;
	const rounds = Array.from({length: ROUNDS}, () => {
		const startedAtMs = performance.now();
		const {moves} = policy.planRound(input);
		return {ms: performance.now() - startedAtMs, moves: moves.length};
	});
	const times = rounds.map(({ms}) => ms);
	const peakMb = (process.resourceUsage().maxRSS - peakBeforeKb) / KB_PER_MB;
	const slowestMs = Math.max(...times);
	return {
		models: modelCount,
		accelerators,
		roundMs: times.map(ms => Number(ms.toFixed(1))),
		slowestMs: Number(slowestMs.toFixed(1)),
		movesPerRound: rounds[0]?.moves,
		extraPeakMb: Number(peakMb.toFixed(1)),
		heapGrowthMb: Number(((process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_MB).toFixed(1)),
		goal: {ms: 1000, mb: 64},
		met: slowestMs <= 1000 && peakMb <= 64,
	};
}
