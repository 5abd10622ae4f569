import {createRandom, type Random} from '@egretrill/common';
import {
	DemandEstimator, listLoadingModels, type Move, PLAN_PERIOD_MS, type PlacementPolicy, type PlannedTarget, type PlanInput, sumDemand,
} from '@egretrill/engines';
import {LoadBudget} from '@egretrill/weight-store';
import {
	type Arrival, type Deployment, ENGINE_CAPACITY_PER_S, PARALLEL_REQUESTS, type Trace, TRACE_MS,
} from './placement-trace.js';

/** A request is in time when it starts within the bound for the first token. */
export const IN_TIME_MS = 500;

const TICK_MS = 10;
const PERMIT_PERIOD_MS = 100;
const HOSTS = 8;
const MOVE_TTL_MS = 5000;

/** Time until a report confirms an eviction. */
const UNLOAD_MS = 500;

/** Requests during this time are not counted, because the first copies are still being loaded. */
const WARM_UP_MS = 60_000;

export type RunOptions = {
	readonly engineMemoryMb: number;
	readonly queueDeadlineMs: number;
	/** Loads take no time and need no permit, which gives an upper bound for all policies. */
	readonly isInstant: boolean;
	readonly seed: number;
};

export type RunResult = {readonly requests: number; readonly inTime: number; readonly moves: number; readonly peakMb: number};

type Engine = {
	running: number;
	move: Move | undefined;
	readonly copies: Map<number, {loadedAtMs: number; lastUsedAtMs: number}>;
};

type PendingMove = {readonly move: Move; readonly engineIndex: number; readonly requestedAtMs: number; readonly id: string};

/** Simulates one deployment under one policy in steps of `TICK_MS`. */
export class PlacementRun {
	private readonly engines: readonly Engine[];
	private readonly queues: Arrival[][];
	private readonly scheduledEvents = new Map<number, Array<() => void>>();
	private readonly budget: LoadBudget;
	private readonly estimators = Array.from({length: HOSTS}, () => new DemandEstimator(0));
	private readonly random: Random;
	private readonly modelIndexById: ReadonlyMap<string, number>;
	private pendingMoves: readonly PendingMove[] = [];
	private nowMs = 0;
	private result: RunResult = {
		requests: 0, inTime: 0, moves: 0, peakMb: 0,
	};

	constructor(private readonly deployment: Deployment, private readonly trace: Trace, private readonly policy: PlacementPolicy, private readonly opts: RunOptions) {
		this.engines = Array.from({length: deployment.engines}, () => ({running: 0, move: undefined, copies: new Map()}));
		this.queues = trace.models.map(() => []);
		this.random = createRandom(opts.seed);
		this.modelIndexById = new Map(trace.models.map(({id}, i) => [id, i]));
		this.budget = new LoadBudget({
			limits: deployment.store, nowMs: 0, isSuccessor: false, epoch: 1,
		});
	}

	/** Runs the trace from empty engines to its end. */
	run(): RunResult {
		let nextArrival = 0;
		for (; this.nowMs < TRACE_MS; this.nowMs += TICK_MS) {
			for (const run of this.scheduledEvents.get(this.nowMs) ?? []) {
				run();
			}

			this.scheduledEvents.delete(this.nowMs);
			if (this.nowMs % PLAN_PERIOD_MS === 0) {
				this.plan();
			}

			if (this.nowMs % PERMIT_PERIOD_MS === 0) {
				this.startMoves();
			}

			for (let arrival = this.trace.arrivals[nextArrival]; arrival !== undefined && arrival.atMs < this.nowMs + TICK_MS; arrival = this.trace.arrivals[nextArrival]) {
				this.handleArrival(arrival);
				nextArrival += 1;
			}

			this.dropExpired();
		}

		return this.result;
	}

	private schedule(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + Math.max(TICK_MS, Math.ceil(delayMs / TICK_MS) * TICK_MS);
		this.scheduledEvents.set(atMs, [...this.scheduledEvents.get(atMs) ?? [], run]);
	}

	private handleArrival(arrival: Arrival): void {
		if (arrival.atMs >= WARM_UP_MS) {
			this.result = {...this.result, requests: this.result.requests + 1};
		}

		this.estimators[Math.floor(this.random() * HOSTS)]?.recordArrival(`m${arrival.model}`, undefined, this.nowMs);
		const engine = this.engines.filter(({running, copies}) => running < PARALLEL_REQUESTS && copies.has(arrival.model)).sort((a, b) => a.running - b.running).at(0);
		if (engine === undefined) {
			this.queues[arrival.model]?.push(arrival);
		} else {
			this.startRequest(engine, arrival);
		}
	}

	private startRequest(engine: Engine, arrival: Arrival): void {
		engine.running += 1;
		const copy = engine.copies.get(arrival.model);
		if (copy !== undefined) {
			copy.lastUsedAtMs = this.nowMs;
		}

		if (this.nowMs - arrival.atMs <= IN_TIME_MS && arrival.atMs >= WARM_UP_MS) {
			this.result = {...this.result, inTime: this.result.inTime + 1};
		}

		this.schedule(arrival.answerMs, () => {
			engine.running -= 1;
			this.startQueuedRequests(engine);
		});
	}

	/** Starts the requests for the engine's models that have waited longest, up to its number of parallel requests. */
	private startQueuedRequests(engine: Engine): void {
		while (engine.running < PARALLEL_REQUESTS) {
			let oldest: Arrival[] | undefined;
			for (const model of engine.copies.keys()) {
				const queue = this.queues[model];
				if (queue?.[0] !== undefined && queue[0].atMs < (oldest?.[0]?.atMs ?? Number.POSITIVE_INFINITY)) {
					oldest = queue;
				}
			}

			const arrival = oldest?.shift();
			if (arrival === undefined) {
				return;
			}

			this.startRequest(engine, arrival);
		}
	}

	private dropExpired(): void {
		for (const queue of this.queues) {
			while (queue[0] !== undefined && this.nowMs - queue[0].atMs > this.opts.queueDeadlineMs) {
				queue.shift();
			}
		}
	}

	private plan(): void {
		const input = this.getPlanInput();
		for (const move of this.policy.planRound(input).moves) {
			const engineIndex = Number(move.targetId.slice(1));
			const engine = this.engines[engineIndex];
			if (engine !== undefined && engine.move === undefined) {
				engine.move = move;
				this.pendingMoves = [...this.pendingMoves, {
					move, engineIndex, requestedAtMs: this.nowMs, id: `${engineIndex}-${this.nowMs}`,
				}];
			}
		}
	}

	private getPlanInput(): PlanInput {
		const {deployment, trace} = this;
		const loading = this.engines.filter(({move}) => move !== undefined).length;
		return {
			nowMs: this.nowMs,
			models: [...trace.models],
			placements: {pins: [], forbids: []},
			demand: [...sumDemand(this.estimators.flatMap(estimator => estimator.report(this.nowMs)))],
			targets: this.engines.map((engine, i) => this.toPlannedTarget(engine, i)),
			waiting: this.queues.flatMap((queue, i) => queue.length > 0 ? [{model: `m${i}`, count: queue.length}] : []),
			loadSlots: this.opts.isInstant ? 1000 : Math.max(0, deployment.store.concurrentLoads - loading),
			loadMs: this.opts.isInstant ? 0 : this.getLoadMs(),
		};
	}

	private getLoadMs(): number {
		return this.deployment.store.concurrentLoads * 1000 / this.deployment.store.loadsPerSecond;
	}

	private getSizeMb(model: number): number {
		const {memoryMb, kvReserveMb} = this.trace.models[model] ?? {memoryMb: 0, kvReserveMb: 0};
		return memoryMb + kvReserveMb;
	}

	private toPlannedTarget({copies, move}: Engine, i: number): PlannedTarget {
		const usedMb = [...copies.keys()].reduce((sum, model) => sum + this.getSizeMb(model), 0);
		return {
			targetId: `e${i}`,
			zone: `z${i % 3}`,
			orderable: true,
			memoryMb: this.opts.engineMemoryMb,
			freeMb: this.opts.engineMemoryMb - usedMb,
			capacityPerS: ENGINE_CAPACITY_PER_S,
			role: 'mixed',
			roleAgeMs: this.nowMs,
			busy: move !== undefined,
			leaving: false,
			copies: [...copies].map(([model, {loadedAtMs, lastUsedAtMs}]) => ({
				model: `m${model}`, version: 'v1', adapters: [], ageMs: this.nowMs - loadedAtMs, idleMs: this.nowMs - lastUsedAtMs,
			})),
			loading: listLoadingModels(move),
		};
	}

	private startMoves(): void {
		this.pendingMoves = this.pendingMoves.filter(pending => {
			const engine = this.engines[pending.engineIndex];
			if (engine === undefined) {
				return false;
			}

			if (this.opts.isInstant) {
				this.executeMove(engine, pending.move, () => undefined);
				return false;
			}

			const permit = this.budget.requestPermit({
				requestId: pending.id, holder: 'zone', kind: 'model', urgency: pending.move.urgent ? 'urgent' : 'speculative',
			}, this.nowMs);
			if (permit.granted) {
				this.executeMove(engine, pending.move, () => {
					this.budget.releasePermit(permit.permitId);
				});
				return false;
			}

			const isExpired = this.nowMs - pending.requestedAtMs >= MOVE_TTL_MS;
			engine.move = isExpired ? undefined : engine.move;
			return !isExpired;
		});
	}

	private executeMove(engine: Engine, move: Move, release: () => void): void {
		for (const step of move.steps) {
			if (step.kind === 'unload-model') {
				engine.copies.delete(this.modelIndexById.get(step.model) ?? -1);
			}
		}

		const load = move.steps.find(step => 'model' in step && step.kind === 'load-model');
		const model = load !== undefined && 'model' in load ? this.modelIndexById.get(load.model) : undefined;
		const finish = (): void => {
			release();
			engine.move = undefined;
			if (model !== undefined) {
				engine.copies.set(model, {loadedAtMs: this.nowMs, lastUsedAtMs: this.nowMs});
				const usedMb = [...engine.copies.keys()].reduce((sum, id) => sum + this.getSizeMb(id), 0);
				this.result = {...this.result, peakMb: Math.max(this.result.peakMb, usedMb)};
				this.startQueuedRequests(engine);
			}
		};

		this.result = {...this.result, moves: this.result.moves + (model !== undefined && this.nowMs >= WARM_UP_MS ? 1 : 0)};
		if (this.opts.isInstant) {
			finish();
			return;
		}

		this.schedule((model === undefined ? 0 : this.getLoadMs()) + (move.steps.length > 1 ? UNLOAD_MS : 0), finish);
	}
}
