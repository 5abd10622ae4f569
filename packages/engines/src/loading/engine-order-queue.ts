import type {
	Clock, HeldModel, Logger, Registration,
} from '@egretrill/common';
import type {TargetRegistry} from '../registry/index.js';
import {
	ADAPTER_LOAD_MS, MAX_LOAD_MS, PROGRESS_POLL_MS, REGISTERED_POLL_MS, REPORT_RETRY_MS, UNLOAD_NOTICE_MS,
} from './constants.js';
import type {AdapterSlotChoice, HeldAdapter} from './adapter-slots.js';
import type {EngineOrders} from './engine-orders.js';
import {EngineAccount} from './engine-account.js';
import {
	applyStep, hideAdapter, holdsOnly, isDone,
} from './held-models.js';
import type {LoadMove, LoadStep} from './types.js';

const MAX_ORDER_ATTEMPTS = 3;
/** Evictions for one adapter; more than one is needed if an engine holds more adapters than the account showed. */
const MAX_ADAPTER_EVICTIONS = 8;

export type EngineOrderQueueOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly registry: TargetRegistry;
	readonly orders: EngineOrders;
	readonly holder: string;
	readonly fencingToken: number;
	readonly mayOrder: () => boolean;
	readonly signal: AbortSignal;
};

/** An adapter to load, with the decision on its slot, which is made again before each order. */
export type AdapterLoad = HeldAdapter & {
	readonly chooseSlot: () => AdapterSlotChoice;
	/** Called before the next change of the engine chooses its slot. */
	readonly recordLoad: () => void;
};

/** Sends orders to one engine one at a time. Each order names the number of orders that the engine has accepted, so that the engine refuses a delayed one. */
export class EngineOrderQueue {
	move: LoadMove | undefined;
	private moveEndsAtMs = 0;
	private readonly account = new EngineAccount();
	private isRefreshing = false;
	/** What is known of the last order: it was complete when the engine answered, was accepted, or is assumed to be the one that the engine executes. */
	private lastOrder: 'done' | 'begun' | 'assumed' = 'begun';
	/** The adapter that is being evicted; the hosts do not see it even while the engine still holds it. */
	private leaving: HeldAdapter | undefined;
	private tail: Promise<unknown> = Promise.resolve();
	private pending = 0;

	constructor(readonly targetId: string, readonly startedAtMs: number, private readonly opts: EngineOrderQueueOptions) {}

	/** What the engine holds according to its last report and the orders sent since; undefined while that is unknown. */
	getHoldings(): readonly HeldModel[] | undefined {
		return this.account.getModels();
	}

	/** Requests what the engine holds, since an order of an earlier owner may still be in progress. */
	async refreshHoldings(): Promise<void> {
		if (this.isRefreshing || this.account.getModels()) {
			return;
		}

		this.isRefreshing = true;
		try {
			await this.runInOrder(async () => this.refresh());
			if (!this.account.getModels()) {
				await this.opts.clock.sleep(PROGRESS_POLL_MS, this.opts.signal);
			}
		} finally {
			this.isRefreshing = false;
		}
	}

	/** Number of running and queued changes. */
	getPendingCount(): number {
		return this.pending;
	}

	/** The model that the running move loads. */
	getLoadingModel(): string | undefined {
		return this.move?.load;
	}

	/** Expected time until the running move ends; 0 without one. */
	getRemainingMoveMs(): number {
		return this.move ? Math.max(PROGRESS_POLL_MS, this.moveEndsAtMs - this.opts.clock.now()) : 0;
	}

	/** Unloads the models that the move names, then loads its model if the engine has memory for it; returns whether the engine holds it. */
	async runMove(move: LoadMove, hasMemory: (held: readonly HeldModel[]) => boolean, waitForStart: (signal: AbortSignal) => Promise<void>): Promise<boolean> {
		const plannedModels = this.getModels().map(({name}) => name).filter(name => !move.unload.includes(name));
		this.move = move;
		this.moveEndsAtMs = this.opts.clock.now() + move.totalMs;
		try {
			return await this.runInOrder(async () => {
				for (const model of move.unload) {
					if (!await this.unloadModel(model)) {
						return false;
					}
				}

				await waitForStart(this.opts.signal);
				// An adapter that was under way when the move was planned may have taken the memory.
				return this.loadModel(move, () => holdsOnly(this.getModels(), plannedModels) && hasMemory(this.getModels()));
			});
		} finally {
			this.move = undefined;
		}
	}

	/** Loads an adapter, after evicting others if no slot is free; returns whether the engine holds it. */
	async loadAdapter(load: AdapterLoad): Promise<boolean> {
		return this.runInOrder(async () => {
			for (let evictions = 0; this.account.holdsModel(load.model) && evictions <= MAX_ADAPTER_EVICTIONS; evictions++) {
				if (isDone(this.getModels(), {...load, kind: 'load-adapter'})) {
					return this.confirmAdapter(load);
				}

				const slot = load.chooseSlot();
				if (slot.kind === 'full') {
					return false;
				}

				if (slot.kind === 'evict') {
					if (!await this.evictAdapter(slot.evicted)) {
						return false;
					}
				} else if (await this.loadAdapterIntoFreeSlot(load)) {
					return true;
				} else if (load.chooseSlot().kind === 'free') {
					return false;
				}
			}

			return false;
		});
	}

	/** Whether an adapter of the account that the hosts do not see is in a new report, which is published. It is kept like one that was just loaded, since requests waited for it as well. */
	private async confirmAdapter({model, adapter, recordLoad}: AdapterLoad): Promise<boolean> {
		if (!await this.refresh() || !isDone(this.getModels(), {kind: 'load-adapter', model, adapter})) {
			return false;
		}

		recordLoad();
		return true;
	}

	private async evictAdapter(evicted: HeldAdapter): Promise<boolean> {
		this.leaving = evicted;
		this.publishHoldings(this.getModels());
		try {
			return await this.carryOut({kind: 'unload-adapter', ...evicted}, 0);
		} finally {
			this.leaving = undefined;
		}
	}

	private async loadAdapterIntoFreeSlot({model, adapter, chooseSlot, recordLoad}: AdapterLoad): Promise<boolean> {
		const isRoomLeft = (): boolean => chooseSlot().kind === 'free';
		const step: LoadStep = {kind: 'load-adapter', model, adapter};
		if (!await this.sendOrder(step, isRoomLeft)) {
			return false;
		}

		await this.opts.clock.sleep(ADAPTER_LOAD_MS, this.opts.signal);
		this.completeStep(step);
		recordLoad();
		return true;
	}

	private async unloadModel(model: string): Promise<boolean> {
		const step: LoadStep = {kind: 'unload-model', model};
		this.publishHoldingsWithout(model);
		await this.opts.clock.sleep(UNLOAD_NOTICE_MS, this.opts.signal);
		return this.carryOut(step, 0);
	}

	private async loadModel({load, loadMs}: LoadMove, isRoomLeft: () => boolean): Promise<boolean> {
		const step: LoadStep = {kind: 'load-model', model: load};
		return this.carryOut(step, loadMs, isRoomLeft);
	}

	/** Sends an order and waits for its end; returns whether a report has shown it. */
	private async carryOut(step: LoadStep, expectedMs: number, isRoomLeft?: () => boolean): Promise<boolean> {
		if (!await this.sendOrder(step, isRoomLeft)) {
			return false;
		}

		const isComplete = await this.waitUntilDone(step, expectedMs);
		if (!isComplete) {
			// The engine may still carry it out, or may have done so unseen.
			this.account.forget();
		}

		return isComplete;
	}

	/** Sends an order and repeats it until its effect is certain; returns whether it is complete or in progress. Each attempt may rest on a newer account, in which the room may be gone. */
	private async sendOrder(step: LoadStep, isRoomLeft = () => true): Promise<boolean> {
		const {clock, logger, orders, signal} = this.opts;
		let unansweredCount: number | undefined;
		for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS && !signal.aborted; attempt++) {
			const engine = this.getEngine();
			if (this.account.getOrderCount() === undefined) {
				await this.refresh();
			}

			if (this.isLoadUnderWay(step, unansweredCount)) {
				this.lastOrder = 'assumed';
				return true;
			}

			const expectedOrderCount = this.account.getOrderCount();
			if (!engine || expectedOrderCount === undefined || !isRoomLeft()) {
				return false;
			}

			const answer = await orders.send(engine, {
				...step, holder: this.opts.holder, fencingToken: this.opts.fencingToken, expectedOrderCount,
			}, this.opts.mayOrder);
			logger.info({
				targetId: this.targetId, ...step, expectedOrderCount, fencingToken: this.opts.fencingToken, answer,
			}, 'An engine was given an order.');
			this.account.recordAnswer(answer, step, expectedOrderCount);
			this.lastOrder = answer === 'done' ? 'done' : 'begun';
			if (answer === 'begun' || answer === 'done') {
				return true;
			}

			if (answer === 'refused' || answer === 'not-sent') {
				return false;
			}

			unansweredCount = answer === 'unknown' ? expectedOrderCount : unansweredCount;
			// The engine may still execute the order; if it does, its order count has grown and a repeated order is refused.
			await clock.sleep(REPORT_RETRY_MS, signal);
			if (await this.refresh() && isDone(this.getModels(), step)) {
				this.lastOrder = 'done';
				return true;
			}
		}

		return false;
	}

	/** Whether the engine executes a load whose order it did not answer in time. Without this, another engine would load the model as well. */
	private isLoadUnderWay({kind}: LoadStep, unansweredCount: number | undefined): boolean {
		return kind === 'load-model' && unansweredCount !== undefined && this.account.isExecutingNext(unansweredCount);
	}

	/** Requests the state of the engine; returns whether the account is up to date, so that the next order may name its count. */
	private async refresh(): Promise<boolean> {
		const engine = this.getEngine();
		const report = engine && await this.opts.orders.getReport(engine);
		if (!report || !this.account.applyReport(report)) {
			return false;
		}

		this.publishHoldings(report.models);
		return true;
	}

	/** Records the effect of a complete step and publishes it to the hosts. */
	private completeStep(step: LoadStep): void {
		const models = applyStep(this.getModels(), step);
		this.account.apply(step);
		this.publishHoldings(models);
	}

	/** Waits for the end of an order in progress until a report of the engine shows its effect. */
	private async waitUntilDone(step: LoadStep, expectedMs: number): Promise<boolean> {
		const {clock, registry, signal} = this.opts;
		if (this.lastOrder === 'done') {
			this.completeStep(step);
			return true;
		}

		const waitStartedAtMs = clock.now();
		let plannedRefreshAtMs = waitStartedAtMs + Math.max(expectedMs, PROGRESS_POLL_MS);
		let refreshedAtMs = waitStartedAtMs;
		while (!signal.aborted && clock.now() - waitStartedAtMs < MAX_LOAD_MS + expectedMs) {
			if (!this.getEngine()) {
				return false;
			}

			const isRegistered = this.hasRegistered(waitStartedAtMs) && isDone(this.getRegisteredModels(), step);
			if (isRegistered && step.kind === 'load-model') {
				this.completeStep(step);
				return true;
			}

			// A registration may have been sent before the order and delayed. It must not show room that is not there yet, so for an unload it only brings the next report forward.
			const nextRefreshAtMs = isRegistered ? Math.min(plannedRefreshAtMs, refreshedAtMs + REGISTERED_POLL_MS) : plannedRefreshAtMs;
			if (clock.now() >= nextRefreshAtMs) {
				const isKnown = await this.refresh();
				if (isKnown && isDone(this.getModels(), step)) {
					return true;
				}

				if (isKnown && this.lastOrder === 'assumed') {
					// The order that the engine has executed was another one.
					return false;
				}

				refreshedAtMs = clock.now();
				plannedRefreshAtMs = refreshedAtMs + PROGRESS_POLL_MS;
				continue;
			}

			await registry.changed.wait(clock, Math.max(1, nextRefreshAtMs - clock.now()), signal);
		}

		return false;
	}

	private getEngine(): Registration | undefined {
		const engine = this.opts.registry.get(this.targetId);
		return engine?.startedAtMs === this.startedAtMs && !engine.isLeaving ? engine : undefined;
	}

	private getModels(): readonly HeldModel[] {
		return this.account.getModels() ?? this.getEngine()?.models ?? [];
	}

	private getRegisteredModels(): readonly HeldModel[] {
		return this.opts.registry.getRegistered(this.targetId)?.models ?? [];
	}

	private hasRegistered(sinceMs: number): boolean {
		return (this.opts.registry.getReceivedMs(this.targetId) ?? 0) > sinceMs;
	}

	/** Overrides the registered models, which the registry sends to the hosts, until registrations include the change. */
	private publishHoldings(models: readonly HeldModel[]): void {
		this.opts.registry.overrideModels(this, this.leaving ? hideAdapter(models, this.leaving) : models);
	}

	private publishHoldingsWithout(model: string): void {
		const models = this.getModels();
		if (models.some(({name}) => name === model)) {
			this.publishHoldings(models.filter(({name}) => name !== model));
		}
	}

	/** Runs work once all work that was queued earlier has ended. */
	private async runInOrder<T>(work: () => Promise<T>): Promise<T> {
		this.pending += 1;
		const previous = this.tail;
		const ended = new AbortController();
		this.tail = new Promise(resolve => {
			ended.signal.addEventListener('abort', resolve, {once: true});
		});
		await previous;
		try {
			return await work();
		} finally {
			this.pending -= 1;
			ended.abort();
		}
	}
}
