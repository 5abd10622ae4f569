import type {
	Clock, HeldModel, Random, Registration,
} from '@egretrill/common';
import {
	type EngineAddress, EngineOrders, type EngineReport, type LoadOrder, type LoadOrderOutcome,
} from '../../src/loading/index.js';

/** Adapters that may be under way to an engine at a time. */
const MAX_COMING_ADAPTERS = 4;
/** Time after which an order without an answer counts as unknown. */
const ANSWER_TIMEOUT_MS = 1000;
const ADAPTER_LOAD_MS = 8;

/** What becomes of an order on its way: no connection, or `deliveryMs` until it arrives, undefined if never; `isAnswered` is false if the answer is lost. */
export type OrderFate = 'not-sent' | {readonly deliveryMs: number | undefined; readonly isAnswered: boolean};

export type SimulatedEngineOptions = {
	readonly clock: Clock;
	readonly targetId: string;
	readonly adapterSlots: number;
	readonly weightsMb: number;
	/** Memory that each adapter takes beside its model. */
	readonly getAdapterMb?: () => number;
	/** Weights by model; each of them can be loaded. */
	readonly models: ReadonlyMap<string, number>;
	readonly loadMs: number;
	/** Whether an order that finds its effect in place advances the count of orders. */
	readonly countsEmptyOrders: () => boolean;
	/** Whether such an order is answered before its count is compared. */
	readonly answersEmptyOrdersFirst?: boolean;
	/** Age of the state that the next report shows, undefined if there is no answer. */
	readonly getReportLagMs: () => number | undefined;
	readonly getOrderFate: () => OrderFate;
};

type HeldState = 'coming' | 'held' | 'leaving';
type SimulatedModel = {state: HeldState; readonly adapters: Map<string, HeldState>};

/** An engine that carries out orders by the rules of the platform, and notes each one that exceeds its room. */
export class SimulatedEngine extends EngineOrders {
	readonly log: string[] = [];
	readonly overfilled: string[] = [];
	startedAtMs = 1;
	orderCount = 0;
	private highestToken = 0;
	private models = new Map<string, SimulatedModel>();
	/** Ends of the requests that use an adapter, or a model without one. */
	private readonly usedUntilMs = new Map<string, number>();
	private history: Array<{readonly atMs: number; readonly report: EngineReport}> = [];
	private sequence = 0;

	constructor(private readonly opts: SimulatedEngineOptions) {
		super();
		this.recordState();
	}

	/** Puts a model with adapters in place without an order, as if it had always been there. */
	hold(model: string, adapters: readonly string[] = []): void {
		this.models.set(model, {state: 'held', adapters: new Map(adapters.map(adapter => [adapter, 'held']))});
		this.history = [];
		this.recordState();
	}

	/** Loses an adapter without an order. */
	drop(model: string, adapter: string): void {
		this.models.get(model)?.adapters.delete(adapter);
		this.recordState();
	}

	/** Lets a request use an adapter; its unload waits for the end. */
	use(model: string, adapter: string, durationMs: number): void {
		const key = `${model}/${adapter}`;
		this.usedUntilMs.set(key, Math.max(this.usedUntilMs.get(key) ?? 0, this.opts.clock.now() + durationMs));
	}

	/** Ends the process; the next one under the same id holds nothing and has accepted no order. */
	restart(): void {
		this.models = new Map();
		this.usedUntilMs.clear();
		this.history = [];
		this.orderCount = 0;
		this.sequence = 0;
		this.startedAtMs = Math.max(this.startedAtMs + 1, Math.round(this.opts.clock.now()));
		this.recordState();
	}

	/** Creates the next registration, which shows the state at the time of the call. */
	register(): Registration {
		this.sequence += 1;
		return {
			targetId: this.opts.targetId,
			startedAtMs: this.startedAtMs,
			sequence: this.sequence,
			service: 's',
			address: `${this.opts.targetId}:1`,
			zone: 'z',
			slots: 64,
			isLeaving: false,
			coldForMs: 0,
			models: this.listHeld(['held', 'leaving']),
			inMemory: [],
			onDisk: [],
		};
	}

	override async send(_engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome> {
		if (!mayWrite()) {
			return 'not-sent';
		}

		const {clock} = this.opts;
		const fate = this.opts.getOrderFate();
		if (fate === 'not-sent') {
			await clock.sleep(ANSWER_TIMEOUT_MS);
			return 'not-sent';
		}

		const {deliveryMs, isAnswered} = fate;
		const {startedAtMs} = this;
		const delivered = deliveryMs === undefined ? undefined : this.deliver(order, deliveryMs, startedAtMs);
		if (!delivered || !isAnswered || deliveryMs! >= ANSWER_TIMEOUT_MS) {
			await clock.sleep(ANSWER_TIMEOUT_MS);
			return 'unknown';
		}

		return delivered;
	}

	override async getReport(_engine: EngineAddress): Promise<EngineReport | undefined> {
		const {clock, getReportLagMs} = this.opts;
		const lagMs = getReportLagMs();
		if (lagMs === undefined) {
			await clock.sleep(ANSWER_TIMEOUT_MS);
			return undefined;
		}

		const shownMs = clock.now() - lagMs;
		return this.history.findLast(({atMs}) => atMs <= shownMs)?.report ?? this.history[0]?.report;
	}

	private async deliver(order: LoadOrder, deliveryMs: number, startedAtMs: number): Promise<LoadOrderOutcome> {
		await this.opts.clock.sleep(deliveryMs);
		if (this.startedAtMs !== startedAtMs) {
			return 'unknown';
		}

		const answer = this.accept(order);
		const {kind, model, adapter, expectedOrderCount} = order;
		this.log.push(`${Math.round(this.opts.clock.now())} ms: ${kind} ${model}${adapter ? `/${adapter}` : ''} after ${expectedOrderCount}: ${answer}`);
		this.recordState();
		return answer;
	}

	private accept(order: LoadOrder): LoadOrderOutcome {
		if (order.fencingToken < this.highestToken) {
			return 'refused';
		}

		this.highestToken = order.fencingToken;
		const isOutdated = order.expectedOrderCount !== this.orderCount || this.isBusy();
		if (this.isInEffect(order) && (!isOutdated || this.opts.answersEmptyOrdersFirst)) {
			this.orderCount += this.opts.countsEmptyOrders() ? 1 : 0;
			return 'done';
		}

		if (isOutdated) {
			return 'conflict';
		}

		const answer = this.execute(order);
		this.orderCount += answer === 'begun' || answer === 'done' ? 1 : 0;
		return answer;
	}

	/** Whether the state that an order demands is there already. */
	private isInEffect({kind, model, adapter = ''}: LoadOrder): boolean {
		const held = this.models.get(model);
		switch (kind) {
			case 'load-model': {
				return held !== undefined;
			}

			case 'unload-model': {
				return held === undefined;
			}

			case 'load-adapter': {
				return ['coming', 'held'].includes(held?.adapters.get(adapter) ?? '');
			}

			case 'unload-adapter': {
				return !held?.adapters.has(adapter);
			}
		}
	}

	private execute({kind, model, adapter = ''}: LoadOrder): LoadOrderOutcome {
		switch (kind) {
			case 'load-model': {
				return this.loadModel(model);
			}

			case 'unload-model': {
				return this.unloadModel(model);
			}

			case 'load-adapter': {
				return this.loadAdapter(model, adapter);
			}

			case 'unload-adapter': {
				return this.unloadAdapter(model, adapter);
			}
		}
	}

	private loadModel(model: string): LoadOrderOutcome {
		this.models.set(model, {state: 'coming', adapters: new Map()});
		this.checkMemory(model);
		void this.changeLater(this.opts.loadMs, () => {
			this.models.get(model)!.state = 'held';
		});
		return 'begun';
	}

	private unloadModel(model: string): LoadOrderOutcome {
		const held = this.models.get(model)!;
		held.state = 'leaving';
		const endMs = Math.max(0, ...[...held.adapters.keys()].map(adapter => this.usedUntilMs.get(`${model}/${adapter}`) ?? 0));
		void this.changeLater(Math.max(20, endMs - this.opts.clock.now()), () => {
			this.models.delete(model);
		});
		return 'begun';
	}

	private loadAdapter(model: string, adapter: string): LoadOrderOutcome {
		const adapters = this.models.get(model)?.adapters;
		if (!adapters) {
			return 'refused';
		}

		if (adapters.get(adapter) === 'leaving' || this.countAdapters('coming') >= MAX_COMING_ADAPTERS) {
			return 'conflict';
		}

		adapters.set(adapter, 'coming');
		const count = this.countAdapters();
		if (count > this.opts.adapterSlots) {
			this.overfilled.push(`${Math.round(this.opts.clock.now())} ms: ${count} adapters of ${this.opts.adapterSlots} with ${model}/${adapter}`);
		}

		this.checkMemory(`${model}/${adapter}`);
		void this.changeLater(ADAPTER_LOAD_MS, () => {
			if (adapters.get(adapter) === 'coming') {
				adapters.set(adapter, 'held');
			}
		});
		return 'begun';
	}

	private checkMemory(loaded: string): void {
		const weightsMb = [...this.models.keys()].reduce((sum, name) => sum + (this.opts.models.get(name) ?? 0), 0);
		const usedMb = weightsMb + (this.countAdapters() * (this.opts.getAdapterMb?.() ?? 0));
		if (usedMb > this.opts.weightsMb) {
			this.overfilled.push(`${Math.round(this.opts.clock.now())} ms: ${usedMb} MB of ${this.opts.weightsMb} with ${loaded}`);
		}
	}

	private unloadAdapter(model: string, adapter: string): LoadOrderOutcome {
		const {adapters} = this.models.get(model)!;
		const leftMs = (this.usedUntilMs.get(`${model}/${adapter}`) ?? 0) - this.opts.clock.now();
		if (leftMs <= 0) {
			adapters.delete(adapter);
			return 'done';
		}

		adapters.set(adapter, 'leaving');
		void this.changeLater(leftMs, () => {
			adapters.delete(adapter);
		});
		return 'begun';
	}

	private async changeLater(delayMs: number, change: () => void): Promise<void> {
		const {startedAtMs} = this;
		await this.opts.clock.sleep(delayMs);
		if (this.startedAtMs === startedAtMs) {
			change();
			this.recordState();
		}
	}

	private isBusy(): boolean {
		return [...this.models.values()].some(({state}) => state !== 'held');
	}

	private countAdapters(counted?: HeldState): number {
		return [...this.models.values()].flatMap(({adapters}) => [...adapters.values()]).filter(state => counted === undefined || state === counted).length;
	}

	private listHeld(adapterStates: readonly HeldState[]): HeldModel[] {
		return [...this.models].filter(([, {state}]) => state !== 'coming').map(([name, {adapters}]) => ({
			name, version: 1, adapters: [...adapters].filter(([, state]) => adapterStates.includes(state)).map(([adapter]) => adapter),
		}));
	}

	private recordState(): void {
		const report = {models: this.listHeld(['coming', 'held', 'leaving']), isBusy: this.isBusy(), orderCount: this.orderCount};
		this.history.push({atMs: this.opts.clock.now(), report});
	}
}

/** Draws the fate of an order: most arrive at once; of the others some arrive late, some never, and some answers are lost. */
export function drawOrderFate(random: Random, lossRatio: number, maxDelayMs: number): OrderFate {
	if (random() >= lossRatio) {
		return {deliveryMs: random() * 20, isAnswered: true};
	}

	const draw = random();
	if (draw < 0.4) {
		return {deliveryMs: random() * 20, isAnswered: false};
	}

	return {deliveryMs: draw < 0.8 ? random() * maxDelayMs : undefined, isAnswered: true};
}
