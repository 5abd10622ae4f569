import {
	type Clock, DecayingCounts, type EngineClass, type HeldModel, jitter, type Logger, type LoopWatch, type Random, type Registration,
} from '@egretrill/common';
import type {AdapterUse, TargetRegistry} from '../registry/index.js';
import {
	LOAD_DEMAND_TIME_CONSTANT_MS, LOAD_PLAN_PERIOD_MS, MIN_DEMAND_MEASUREMENT_MS, MODEL_MOVE_WEIGHT, PENDING_CHANGE_WEIGHT, PLAN_PAUSE_RATIO,
} from './constants.js';
import {type AdapterSlotChoice, AdapterSlots} from './adapter-slots.js';
import {EngineOrderQueue} from './engine-order-queue.js';
import type {EngineOrders} from './engine-orders.js';
import {hasMemoryForAdapter, hasMemoryForModel, KnownMemory} from './engine-memory.js';
import {estimateReadyTimes, type ModelReadyTime} from './estimate-ready-times.js';
import {isSwap, planLoads} from './plan-loads.js';
import {getLoadSource, type LoadObserver} from './load-observer.js';
import {PlannedService} from './planned-service.js';
import {type WaitingCounts, WaitingReports} from './waiting-reports.js';
import type {
	GetTargetSpeed, LoadMove, ModelDemand, PlannedEngine,
} from './types.js';

const MS_PER_SECOND = 1000;

export type EngineOwnerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Records how long each round of planning blocks the event loop. */
	readonly watch?: Pick<LoopWatch, 'recordPlan'>;
	readonly registry: TargetRegistry;
	readonly orders: EngineOrders;
	/** Identifies this host in its orders. */
	readonly holder: string;
	readonly fencingToken: number;
	/** Time from which no order of an earlier owner can still arrive. */
	readonly firstOrderAtMs: number;
	readonly mayOrder: () => boolean;
	/** Zones that are out of service, whose engines get no requests. */
	readonly getZonesOut: () => readonly string[];
	/** Without it, all engines count as equally fast. */
	readonly getSpeed?: GetTargetSpeed;
	/** Receives what the plans do, for example to export it as metrics. */
	readonly loadObserver?: LoadObserver;
	/** Engine classes by service. */
	readonly getClasses: () => ReadonlyMap<string, EngineClass>;
};

type PlanningRound = {
	readonly service: string;
	readonly engineClass: EngineClass;
	readonly engines: readonly Registration[];
	readonly demand: readonly ModelDemand[];
	readonly isBrief: boolean;
	readonly signal: AbortSignal;
};

/** A model, or one of its adapters, that a request needs. */
export type RequiredModel = {readonly service: string; readonly model: string; readonly adapter?: string};

/** Names have no line breaks, and a key is needed for each model in each plan. */
function getDemandKey({service, model, adapter}: RequiredModel): string {
	return adapter === undefined ? `${service}\n${model}` : `${service}\n${model}\n${adapter}`;
}

/** The single owner of all engines: decides which models and adapters they hold and sends their orders. */
export class EngineOwner {
	private readonly orderQueues = new Map<string, EngineOrderQueue>();
	private readonly copyFirstSeenMs = new Map<string, number>();
	private readonly missingSinceMs = new Map<string, number>();
	private readonly demand: DecayingCounts;
	private readonly waiting: WaitingReports;
	private readonly adapterSlots: AdapterSlots;
	private readonly memory = new KnownMemory();
	private readonly adapterLoads = new Map<string, Promise<string | undefined>>();
	/** Time of the first arrivals that were reported to this owner. */
	private firstArrivalMs = Number.POSITIVE_INFINITY;
	private readonly planned = new Map<string, PlannedService>();
	private readonly readyTimes = new Map<string, readonly ModelReadyTime[]>();

	constructor(private readonly opts: EngineOwnerOptions) {
		this.demand = new DecayingCounts(opts.clock, LOAD_DEMAND_TIME_CONSTANT_MS);
		this.waiting = new WaitingReports(opts.clock);
		this.adapterSlots = new AdapterSlots(opts.clock);
	}

	/** Records arrivals, and the time for which they will occupy slots. */
	recordArrivals(required: RequiredModel, count: number, runMs: number): void {
		this.firstArrivalMs = Math.min(this.firstArrivalMs, this.opts.clock.now());
		this.demand.add(getDemandKey({service: required.service, model: required.model}), runMs / MS_PER_SECOND);
		if (required.adapter !== undefined) {
			this.demand.add(getDemandKey(required), count);
		}
	}

	/** Replaces the counts of the requests that wait at one host. */
	recordWaiting(hostId: string, counts: WaitingCounts): void {
		this.waiting.record(hostId, counts);
	}

	/** Replaces the report of the adapters that the requests of one host use. */
	recordAdapterUse(hostId: string, uses: readonly AdapterUse[]): void {
		this.adapterSlots.recordUse(hostId, uses);
	}

	/** Loads the adapter that a request needs unless an engine holds it, and resolves with the target id of the engine that does; a missing model is left to the plan. */
	async ensureAdapter(required: RequiredModel, signal: AbortSignal): Promise<string | undefined> {
		if (required.adapter === undefined) {
			return undefined;
		}

		const key = getDemandKey(required);
		const runningLoad = this.adapterLoads.get(key);
		if (runningLoad) {
			return runningLoad;
		}

		const load = this.loadAdapter({...required, adapter: required.adapter}, signal);
		this.adapterLoads.set(key, load);
		try {
			return await load;
		} finally {
			this.adapterLoads.delete(key);
		}
	}

	/** Models that no engine can serve now, with the time until one can as estimated when loads were last planned. */
	getReadyTimes(): readonly ModelReadyTime[] {
		return [...this.readyTimes.values()].flat();
	}

	/** Plans loads and sends orders until the ownership ends. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, firstOrderAtMs, random, watch} = this.opts;
		await clock.sleep(firstOrderAtMs - clock.now(), signal);
		while (!signal.aborted) {
			const startedMs = clock.now();
			for (const [service, engineClass] of this.opts.getClasses()) {
				this.planService(service, engineClass, signal);
			}

			const tookMs = clock.now() - startedMs;
			watch?.recordPlan(tookMs);
			await clock.sleep(Math.max(jitter(LOAD_PLAN_PERIOD_MS, random), tookMs * PLAN_PAUSE_RATIO), signal);
		}
	}

	private planService(service: string, engineClass: EngineClass, signal: AbortSignal): void {
		const planned = this.getPlanned(service);
		const demand = this.getDemand(service, engineClass);
		const engines = this.getEngines(service);
		const kind = planned.schedule.choosePlan(demand, engines, this.opts.clock.now());
		if (kind !== 'none') {
			const moveCount = this.startMoves({
				service, engineClass, engines, demand, isBrief: kind === 'brief', signal,
			});
			planned.schedule.recordPlan(kind, moveCount + planned.deferred.length, this.opts.clock.now());
		}

		this.readyTimes.set(service, this.estimateServiceReadyTimes(service, engineClass, engines, demand));
	}

	/** Plans moves and starts them; returns their number. */
	private startMoves({service, engineClass, engines, demand, isBrief, signal}: PlanningRound): number {
		// Sizes are kept from here on, also if the next configuration lacks them.
		this.memory.getLimits(service, engineClass);
		const planned = this.getPlanned(service);
		const nowMs = this.opts.clock.now();
		const {moves, deferred, heldBack} = planLoads({
			engineClass,
			engines: engines.map(engine => this.describeEngine(engine, engineClass, signal)),
			demand,
			storeLoads: planned.store.getLoads(engineClass.storeLoadsPerSecond, nowMs),
			mayEvictForCopies: nowMs - this.firstArrivalMs > MIN_DEMAND_MEASUREMENT_MS,
			deferred: planned.deferred,
			isBrief,
			getUndoneCost: (targetId, unload, load) => planned.recentMoves.getUndoneCost(targetId, unload, load, nowMs),
		});
		planned.deferred = isBrief ? planned.deferred : deferred;
		this.opts.loadObserver?.recordHeldBack(heldBack);
		for (const move of moves) {
			const engine = engines.find(({targetId}) => targetId === move.targetId);
			if (engine) {
				planned.recentMoves.record(move, nowMs);
				void this.runMove(this.getOrderQueue(engine, signal), service, move, engineClass);
			}
		}

		return moves.length;
	}

	/** Estimates the ready times of the models of a service, including models whose engines are all running moves, since these cannot load adapters meanwhile. */
	private estimateServiceReadyTimes(service: string, engineClass: EngineClass, engines: readonly Registration[], demand: readonly ModelDemand[]): readonly ModelReadyTime[] {
		return estimateReadyTimes({
			service,
			engineClass,
			engines: engines.map(({targetId, models, inMemory, onDisk}) => {
				const queue = this.orderQueues.get(targetId);
				return {
					models: models.map(({name}) => name), loading: queue?.getLoadingModel(), moveLeftMs: queue?.getRemainingMoveMs() ?? 0, inMemory, onDisk,
				};
			}),
			demand,
			storeFreeInMs: this.getPlanned(service).store.getWaitMs(engineClass.storeLoadsPerSecond, this.opts.clock.now()),
		});
	}

	private getPlanned(service: string): PlannedService {
		const planned = this.planned.get(service) ?? new PlannedService(this.opts.clock);
		this.planned.set(service, planned);
		return planned;
	}

	private async runMove(queue: EngineOrderQueue, service: string, move: LoadMove, engineClass: EngineClass): Promise<void> {
		const {clock, logger} = this.opts;
		const {store, storeStarts} = this.getPlanned(service);
		if (move.fromStore && engineClass.storeLoadsPerSecond > 0) {
			store.recordLoad();
		}

		const startedMs = clock.now();
		this.opts.loadObserver?.recordLoad(getLoadSource(move, engineClass), move.reason);
		logger.info({...move, source: getLoadSource(move, engineClass), places: this.demand.getPerSecond(getDemandKey({service, model: move.load}))}, 'A model is loaded.');
		try {
			const hasMemory = (held: readonly HeldModel[]): boolean => hasMemoryForModel(held, move.load, this.memory.getLimits(service, engineClass));
			const isHeld = await queue.runMove(move, hasMemory, async signal => move.fromStore ? storeStarts.wait(engineClass.storeLoadsPerSecond, signal) : undefined);
			logger.info({
				targetId: move.targetId, model: move.load, isHeld, tookMs: Math.round(clock.now() - startedMs),
			}, 'A load has ended.');
		} catch (err: unknown) {
			logger.error({err, ...move}, 'A load failed.');
		}
	}

	private async loadAdapter({service, model, adapter}: Required<RequiredModel>, signal: AbortSignal): Promise<string | undefined> {
		const {clock, logger} = this.opts;
		const key = getDemandKey({service, model, adapter});
		const engineClass = this.opts.getClasses().get(service);
		const nowMs = clock.now();
		if (!engineClass || nowMs < this.opts.firstOrderAtMs) {
			return undefined;
		}

		const {engine, isHeld: isHeldAlready} = this.findAdapterEngine(service, model, adapter, engineClass);
		if (!engine || isHeldAlready) {
			return engine?.targetId;
		}

		// Entry hosts report arrivals later; until then the new adapter must not look idle.
		this.demand.add(key, 1);
		try {
			const isHeld = await this.getOrderQueue(engine, signal).loadAdapter({
				model,
				adapter,
				chooseSlot: () => this.chooseAdapterSlot(engine.targetId, model, engineClass),
				recordLoad: () => {
					this.adapterSlots.recordLoad(engine.targetId, {model, adapter});
				},
			});
			logger.info({
				targetId: engine.targetId, model, adapter, isHeld, tookMs: Math.round(clock.now() - nowMs),
			}, 'An adapter load has ended.');
			return isHeld ? engine.targetId : undefined;
		} catch (err: unknown) {
			logger.error({
				err, targetId: engine.targetId, model, adapter,
			}, 'An adapter could not be loaded.');
			return undefined;
		}
	}

	/** Finds the engine with the model where an adapter gets a slot soonest: one with a slot to use, few pending changes, few adapters and no running move. */
	private findAdapterEngine(service: string, model: string, adapter: string, engineClass: EngineClass): {readonly engine?: Registration; readonly isHeld: boolean} {
		const holders = this.getEngines(service).filter(({models}) => models.some(({name}) => name === model));
		const holder = holders.find(({models}) => models.some(({name, adapters}) => name === model && adapters.includes(adapter)));
		if (holder) {
			return {engine: holder, isHeld: true};
		}

		if (holders.length <= 1) {
			return {engine: holders[0], isHeld: false};
		}

		const getLoad = ({targetId, models}: Registration): number => {
			const queue = this.orderQueues.get(targetId);
			const held = models.flatMap(({adapters}) => adapters).length;
			const isFull = this.chooseAdapterSlot(targetId, model, engineClass).kind === 'full';
			return held + ((queue?.getPendingCount() ?? 0) * PENDING_CHANGE_WEIGHT) + (queue?.move === undefined && !isFull ? 0 : MODEL_MOVE_WEIGHT);
		};

		const loads = new Map(holders.map(engine => [engine, getLoad(engine)]));
		return {engine: holders.toSorted((a, b) => (loads.get(a) ?? 0) - (loads.get(b) ?? 0)).at(0), isHeld: false};
	}

	private chooseAdapterSlot(targetId: string, model: string, engineClass: EngineClass): AdapterSlotChoice {
		const service = this.opts.registry.get(targetId)?.service ?? '';
		const queue = this.orderQueues.get(targetId);
		const models = queue?.getHoldings() ?? [];
		const limits = this.memory.getLimits(service, engineClass);
		const hasMemory = (holdings: readonly HeldModel[]): boolean => hasMemoryForAdapter(holdings, model, limits, queue?.move);
		if (!hasMemory(models.map(copy => ({...copy, adapters: []})))) {
			return {kind: 'full'};
		}

		// Without memory for another adapter, one has to go first, as without a slot.
		const slotCount = hasMemory(models) ? engineClass.adapterSlots : 0;
		const held = models.flatMap(({name, adapters}) => adapters.map(adapter => ({model: name, adapter})));
		return this.adapterSlots.chooseSlot(targetId, held, slotCount, adapter => this.demand.getPerSecond(getDemandKey({service, ...adapter})));
	}

	/** Engines that get requests; copies at other engines serve none. */
	private getEngines(service: string): readonly Registration[] {
		const zonesOut = this.opts.getZonesOut();
		return this.opts.registry.getLive().filter(engine => engine.service === service && !engine.isLeaving && !zonesOut.includes(engine.zone));
	}

	private getDemand(service: string, {models}: EngineClass): readonly ModelDemand[] {
		const reported = this.waiting.sum(service);
		return models.map(({name}) => {
			const {waiting = 0, crowded = 0} = reported.get(name) ?? {};
			return {
				model: name,
				places: this.demand.getPerSecond(getDemandKey({service, model: name})),
				waiting,
				crowded,
				missingMs: this.getMissingMs(service, name, waiting > 0),
			};
		});
	}

	/** How long requests have been waiting for a copy of a model. */
	private getMissingMs(service: string, model: string, hasWaiters: boolean): number {
		const key = getDemandKey({service, model});
		const nowMs = this.opts.clock.now();
		if (!hasWaiters) {
			const endedSinceMs = this.missingSinceMs.get(key);
			if (endedSinceMs !== undefined) {
				this.missingSinceMs.delete(key);
				this.opts.loadObserver?.recordMissing(nowMs - endedSinceMs);
				this.opts.logger.info({service, model, missingMs: Math.round(nowMs - endedSinceMs)}, 'No caller waits for a missing model any longer.');
			}

			return 0;
		}

		const sinceMs = this.missingSinceMs.get(key) ?? nowMs;
		this.missingSinceMs.set(key, sinceMs);
		return nowMs - sinceMs;
	}

	private describeEngine(engine: Registration, engineClass: EngineClass, signal: AbortSignal): PlannedEngine {
		const queue = this.getOrderQueue(engine, signal);
		const nowMs = this.opts.clock.now();
		const holdings = queue.getHoldings();
		if (!holdings) {
			void queue.refreshHoldings();
		}

		return {
			targetId: engine.targetId,
			isFree: queue.move === undefined && holdings !== undefined,
			weightsMb: engineClass.weightsMb,
			speed: this.opts.getSpeed?.(engine.targetId, engine.startedAtMs),
			copies: (holdings ?? engine.models).map(({name, adapters}) => {
				const key = `${engine.targetId}/${engine.startedAtMs}/${name}`;
				const sinceMs = this.copyFirstSeenMs.get(key) ?? nowMs;
				this.copyFirstSeenMs.set(key, sinceMs);
				return {model: name, ageMs: nowMs - sinceMs, adapterCount: adapters.length};
			}),
			loading: queue.getLoadingModel(),
			unloading: queue.move?.unload ?? [],
			isSwapping: queue.move !== undefined && isSwap(queue.move),
			inMemory: engine.inMemory,
			onDisk: engine.onDisk,
		};
	}

	private getOrderQueue({targetId, startedAtMs}: Registration, signal: AbortSignal): EngineOrderQueue {
		const existing = this.orderQueues.get(targetId);
		if (existing?.startedAtMs === startedAtMs) {
			return existing;
		}

		const queue = new EngineOrderQueue(targetId, startedAtMs, {...this.opts, signal});
		this.orderQueues.set(targetId, queue);
		return queue;
	}
}
