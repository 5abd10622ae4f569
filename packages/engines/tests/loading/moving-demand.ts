import process from 'node:process';
import {createRandom, type EngineClass} from '@egretrill/common';
import {
	getLostSlots, isSwap, type LoadMove, type LoadPlanInput, planLoads, type PlannedEngine, RecentMoves, spreadDemand, StoreBudget,
} from '../../src/loading/index.js';

const STEP_MS = 100;
const DEMAND_TIME_CONSTANT_MS = 2500;
/** Slots that all models need relative to those of the engines. */
const NEEDED_RATIO = 0.33;
/** Swing of the demand where it comes in waves. */
const WAVE_RATIO = 0.55;
const BUSY_MODELS = 40;
/** Exponent of the demand of a busy model over its rank. */
const DEMAND_EXPONENT = -0.3;
/** Period in which the busiest models change by one. */
const SHIFT_PERIOD_MS = 4000;
/** Period in which callers of one of the other models arrive, and how long they keep asking. */
const RARE_PERIOD_MS = 250;
const RARE_DURATION_MS = 2000;
const RARE_SLOTS = 1;
/** Models that have a copy at first. */
const PLACED_MODELS = 190;
/** Time before the measurement, in which copies of the busy models are added. */
const WARM_UP_MS = 12_000;
const MODELS_IN_MEMORY = 3;
const MODELS_ON_DISK = 12;

/** Number and sizes of the engines and models. */
export type Fleet = {
	readonly engineCount: number; readonly modelCount: number; readonly modelsPerEngine: number; readonly slots: number; readonly speeds: readonly number[];
};

export const ENGINE_COUNT = 112;
const DEFAULT_FLEET: Fleet = {
	engineCount: ENGINE_COUNT, modelCount: 242, modelsPerEngine: 3, slots: 12, speeds: [0.6, 1, 1.6],
};

function createEngineClass({modelCount, modelsPerEngine, slots}: Fleet): EngineClass {
	return {
		batchSlots: slots,
		weightsMb: 76_700 * modelsPerEngine,
		adapterSlots: 5,
		storeLoadsPerSecond: 16,
		models: Array.from({length: modelCount}, (_, i) => ({
			name: `m${i}`, weightsMb: 65_000 + ((i * 37) % 7700), storeLoadMs: 6100, diskLoadMs: 1250, memoryLoadMs: 600, adapterMb: 40,
		})),
	};
}

type PlayedEngine = {
	readonly targetId: string;
	readonly speed: number;
	copies: ReadonlyArray<{readonly model: string; readonly sinceMs: number}>;
	move?: {readonly planned: LoadMove; readonly endsAtMs: number};
	/** Models loaded before, the latest first. */
	recent: readonly string[];
};

/** What a play measured. Missing models are those with demand and without a copy, from their first caller on. */
export type PlayReport = {
	readonly loads: Readonly<Record<string, number>>;
	readonly missingModels: number;
	readonly missingP50Ms: number;
	readonly missingP95Ms: number;
	/** Share of the demand at a model without a copy. */
	readonly missingShare: number;
	/** Slots in use at the busiest engine relative to the mean, and shares of the demand by the speed of its engine. */
	readonly busiest: number;
	readonly shareBySpeed: Readonly<Record<string, number>>;
	/** Share of the demand that is lost at full, crowded or slow engines. */
	readonly lostShare: number;
	/** Models without a copy at the end. */
	readonly absentModels: number;
	readonly undoneMoves: number;
	/** Mean number of copies of the five busiest models when the demand is highest. */
	readonly busiestCopies: number;
	readonly cpuMsPerPlan: number;
};

export type PlayOptions = {readonly durationMs: number; readonly knowsSpeeds?: boolean; readonly fleet?: Fleet; readonly wavePeriodMs?: number};

function getQuantile(values: readonly number[], quantile: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) * quantile)] ?? 0;
}

/** Engines of three speeds whose demand moves from model to model; engines carry out the planned moves in the time that they take. */
class Play {
	private nowMs = 0;
	private readonly random = createRandom(1);
	private readonly engines: readonly PlayedEngine[];
	private readonly places = new Map<string, number>();
	private readonly rareUntilMs = new Map<string, number>();
	private readonly missingSinceMs = new Map<string, number>();
	private readonly missingMs: number[] = [];
	private readonly loads: Record<string, number> = {memory: 0, disk: 0, store: 0};
	private readonly lastUnloadMs = new Map<string, number>();
	private readonly slotsBySpeed = new Map<number, number>();
	private readonly busiest: number[] = [];
	private undoneMoves = 0;
	private lostSlots = 0;
	private readonly store = new StoreBudget();
	private readonly recentMoves = new RecentMoves();
	private missingSlots = 0;
	private slots = 0;
	private plans = 0;
	private cpuUs = 0;
	private deferred: readonly string[] = [];
	private readonly fleet: Fleet;
	private readonly engineClass: EngineClass;
	private readonly peakCopies: number[] = [];

	constructor(private readonly opts: PlayOptions) {
		this.fleet = opts.fleet ?? DEFAULT_FLEET;
		this.engineClass = createEngineClass(this.fleet);
		const {engineCount, modelsPerEngine, speeds} = this.fleet;
		const placedModels = opts.fleet ? this.fleet.modelCount / 2 : PLACED_MODELS;
		this.engines = Array.from({length: engineCount}, (_, i) => {
			const models = Array.from({length: modelsPerEngine}, (_unused, copy) => `m${((modelsPerEngine * i) + copy) % placedModels}`);
			return {
				targetId: `t${i}`, speed: speeds[i % speeds.length]!, copies: models.map(model => ({model, sinceMs: -60_000})), recent: models,
			};
		});
	}

	run(): PlayReport {
		for (; this.nowMs < WARM_UP_MS + this.opts.durationMs; this.nowMs += STEP_MS) {
			const demand = this.getDemand();
			this.endMoves();
			this.measure(demand);
			this.plan(demand);
		}

		const shares = [...this.slotsBySpeed].map(([speed, slots]) => [speed, slots / this.slots] as const);
		return {
			loads: this.loads,
			missingModels: this.missingMs.length,
			missingP50Ms: getQuantile(this.missingMs, 0.5),
			missingP95Ms: getQuantile(this.missingMs, 0.95),
			missingShare: this.missingSlots / this.slots,
			busiest: this.busiest.reduce((sum, value) => sum + value, 0) / this.busiest.length,
			shareBySpeed: Object.fromEntries(shares),
			lostShare: this.lostSlots / this.slots,
			absentModels: this.engineClass.models.filter(({name}) => this.engines.every(({copies}) => copies.every(({model}) => model !== name))).length,
			undoneMoves: this.undoneMoves,
			busiestCopies: this.peakCopies.reduce((sum, copies) => sum + copies, 0) / this.peakCopies.length,
			cpuMsPerPlan: this.cpuUs / this.plans / 1000,
		};
	}

	/** Slots that the requests for each model need now. */
	private getDemand(): ReadonlyMap<string, number> {
		const {wavePeriodMs} = this.opts;
		const shift = wavePeriodMs ? 0 : Math.floor(this.nowMs / SHIFT_PERIOD_MS);
		const wave = wavePeriodMs ? 1 + (WAVE_RATIO * Math.cos(2 * Math.PI * this.nowMs / wavePeriodMs)) : 1;
		const neededSlots = NEEDED_RATIO * this.fleet.engineCount * this.fleet.slots * wave;
		const weights = Array.from({length: BUSY_MODELS}, (_, rank) => (rank + 1) ** DEMAND_EXPONENT);
		const sum = weights.reduce((total, weight) => total + weight, 0);
		const demand = new Map(weights.map((weight, rank) => [`m${(rank + shift) % this.fleet.modelCount}`, neededSlots * weight / sum]));
		if (this.nowMs % RARE_PERIOD_MS < STEP_MS) {
			this.rareUntilMs.set(`m${Math.floor(this.random() * this.engineClass.models.length)}`, this.nowMs + RARE_DURATION_MS);
		}

		for (const [model, untilMs] of this.rareUntilMs) {
			if (untilMs > this.nowMs && !demand.has(model)) {
				demand.set(model, RARE_SLOTS);
			}
		}

		return demand;
	}

	private endMoves(): void {
		for (const engine of this.engines) {
			if (engine.move && engine.move.endsAtMs <= this.nowMs) {
				const {load} = engine.move.planned;
				engine.copies = [...engine.copies, {model: load, sinceMs: this.nowMs}];
				engine.recent = [load, ...engine.recent.filter(model => model !== load)];
				engine.move = undefined;
			}
		}
	}

	private measure(demand: ReadonlyMap<string, number>): void {
		const isMeasured = this.nowMs >= WARM_UP_MS;
		const held = new Set(this.engines.flatMap(({copies}) => copies.map(({model}) => model)));
		for (const {name} of this.engineClass.models) {
			const needed = demand.get(name) ?? 0;
			const known = this.places.get(name) ?? 0;
			this.places.set(name, known + ((needed - known) * STEP_MS / DEMAND_TIME_CONSTANT_MS));
			const sinceMs = this.missingSinceMs.get(name);
			this.slots += isMeasured ? needed : 0;
			if (needed > 0 && !held.has(name)) {
				this.missingSlots += isMeasured ? needed : 0;
				this.missingSinceMs.set(name, sinceMs ?? this.nowMs);
			} else if (sinceMs !== undefined) {
				this.missingMs.push(...(isMeasured ? [this.nowMs - sinceMs] : []));
				this.missingSinceMs.delete(name);
			}
		}

		if (!isMeasured) {
			return;
		}

		const {usedSlots} = spreadDemand(this.engines.map(({targetId, copies, speed}) => ({targetId, speed, models: new Set(copies.map(({model}) => model))})), demand, this.engineClass.batchSlots);
		for (const [i, used] of usedSlots.entries()) {
			const {speed} = this.engines[i]!;
			this.lostSlots += getLostSlots(used, this.engineClass.batchSlots, speed);
			this.slotsBySpeed.set(speed, (this.slotsBySpeed.get(speed) ?? 0) + used);
		}

		const {wavePeriodMs} = this.opts;
		if (wavePeriodMs && this.nowMs % wavePeriodMs < STEP_MS) {
			const busiest = new Set(['m0', 'm1', 'm2', 'm3', 'm4']);
			this.peakCopies.push(this.engines.flatMap(({copies}) => copies.filter(({model}) => busiest.has(model))).length / busiest.size);
		}

		const used = usedSlots.map((slots, i) => slots / this.engines[i]!.speed);
		this.busiest.push(Math.max(...used) * used.length / used.reduce((sum, slots) => sum + slots, 0));
	}

	private plan(demand: ReadonlyMap<string, number>): void {
		const startedUs = process.cpuUsage().user;
		const {moves, deferred} = planLoads(this.describe(demand));
		this.cpuUs += process.cpuUsage().user - startedUs;
		this.plans += 1;
		this.deferred = deferred;
		for (const move of moves) {
			this.begin(move);
		}
	}

	private describe(demand: ReadonlyMap<string, number>): LoadPlanInput {
		return {
			engineClass: this.engineClass,
			engines: this.engines.map(engine => this.describeEngine(engine)),
			demand: this.engineClass.models.map(({name}) => {
				const sinceMs = this.missingSinceMs.get(name);
				return {
					model: name, places: this.places.get(name) ?? 0, waiting: sinceMs === undefined ? 0 : Math.min(8, Math.ceil(demand.get(name) ?? 0)), crowded: 0, missingMs: this.nowMs - (sinceMs ?? this.nowMs),
				};
			}),
			storeLoads: this.store.getLoads(this.engineClass.storeLoadsPerSecond, this.nowMs),
			getUndoneCost: (targetId, unload, load) => this.recentMoves.getUndoneCost(targetId, unload, load, this.nowMs),
			isBrief: this.nowMs % 300 !== 0,
			mayEvictForCopies: this.nowMs > DEMAND_TIME_CONSTANT_MS,
			deferred: this.deferred,
		};
	}

	private describeEngine({targetId, speed, copies, move, recent}: PlayedEngine): PlannedEngine {
		const planned = move?.planned;
		return {
			targetId,
			isFree: !move,
			weightsMb: this.engineClass.weightsMb,
			...(this.opts.knowsSpeeds && {speed}),
			copies: copies.map(({model, sinceMs}) => ({model, ageMs: this.nowMs - sinceMs, adapterCount: 1})),
			loading: planned?.load,
			unloading: [],
			isSwapping: planned ? isSwap(planned) : false,
			inMemory: recent.slice(0, MODELS_IN_MEMORY + copies.length),
			onDisk: recent.slice(0, MODELS_ON_DISK),
		};
	}

	private begin(move: LoadMove): void {
		const engine = this.engines.find(({targetId}) => targetId === move.targetId)!;
		engine.move = {planned: move, endsAtMs: this.nowMs + move.totalMs};
		engine.copies = engine.copies.filter(({model}) => !move.unload.includes(model));
		for (const model of move.unload) {
			this.lastUnloadMs.set(model, this.nowMs);
		}

		this.undoneMoves += this.nowMs - (this.lastUnloadMs.get(move.load) ?? Number.NEGATIVE_INFINITY) < 20_000 ? 1 : 0;
		const source = move.fromStore ? 'store' : (move.loadMs < 1000 ? 'memory' : 'disk');
		this.loads[source]! += 1;
		this.recentMoves.record(move, this.nowMs);
		if (move.fromStore) {
			this.store.recordLoad();
		}
	}
}

/** Plays moving demand and returns what was measured. */
export function playMovingDemand(opts: PlayOptions): PlayReport {
	return new Play(opts).run();
}
