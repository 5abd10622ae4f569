import {setMaxListeners} from 'node:events';
import {
	createLogger, createRandom, type EngineClass, ManualClock, type Random,
} from '@egretrill/common';
import {expect} from 'chai';
import {
	type EngineAddress, EngineOrders, EngineOwner, type EngineReport, type LoadOrder, type LoadOrderOutcome,
} from '../../src/loading/index.js';
import {TargetRegistry} from '../../src/registry/index.js';
import {drawOrderFate, SimulatedEngine} from './simulated-engine.js';

const HISTORIES = 200;
const LENGTH_MS = 30_000;
/** Each history draws its own kind of trouble up to these bounds. */
const MAX_ENGINES = 2;
const MAX_LOSS_RATIO = 0.5;
const MAX_LATE_REGISTRATION_RATIO = 1;
const MAX_MISSED_USE_REPORT_RATIO = 0.9;
const MIN_ADAPTERS = 6;
const ADAPTERS_IN_DEMAND = 5;
const DEMAND_SHIFT_MS = 700;
const MAX_ADAPTERS = 9;
/** Longest delay of an order, a registration and a report's state. */
const MAX_ORDER_DELAY_MS = 2000;
const MAX_REGISTRATION_DELAY_MS = 5500;
const MAX_REPORT_LAG_MS = 800;
const REGISTRATION_PERIOD_MS = 1000;
const USE_REPORT_PERIOD_MS = 300;
/** Mean times between events of a history. */
const MEAN_REQUEST_GAP_MS = 40;
const MEAN_RESTART_GAP_MS = 40_000;
const MEAN_TERM_MS = 8000;
const MEAN_CONFIG_GAP_MS = 8000;
const MAX_USE_MS = 1500;
const MEAN_DEMAND_GAP_MS = 4000;

const weights = new Map([['a', 60], ['b', 60], ['c', 90], ['d', 30]]);
/** Memory of an adapter by history; with the larger ones, the adapter slots cannot all be used beside some models. */
const ADAPTER_SIZES_MB = [0, 4, 8];
const engineClass: EngineClass = {
	batchSlots: 8,
	weightsMb: 160,
	adapterSlots: 5,
	storeLoadsPerSecond: 5,
	models: [...weights].map(([name, weightsMb]) => ({
		name, weightsMb, storeLoadMs: 900, diskLoadMs: 600, memoryLoadMs: 300, adapterMb: 0,
	})),
};

function pick<T>(random: Random, values: readonly T[]): T {
	return values[Math.floor(random() * values.length)]!;
}

/** Passes orders on to the engine that they name. */
class FleetOrders extends EngineOrders {
	constructor(private readonly engines: ReadonlyMap<string, SimulatedEngine>) {
		super();
	}

	override async send(engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome> {
		return this.engines.get(engine.targetId)!.send(engine, order, mayWrite);
	}

	override async getReport(engine: EngineAddress): Promise<EngineReport | undefined> {
		return this.engines.get(engine.targetId)!.getReport(engine);
	}
}

type HistoryResult = {readonly seed: number; readonly overfilled: readonly string[]; readonly orders: number};

/** Random demand, delays, losses, restarts, changes of the configuration and turns of leaders over a few engines. */
class History {
	private readonly clock = new ManualClock();
	private readonly random: Random;
	private readonly registry = new TargetRegistry(this.clock, 'r');
	private readonly ended = new AbortController();
	private readonly engines: ReadonlyMap<string, SimulatedEngine>;
	private readonly reportLagMs: number;
	private readonly lossRatio: number;
	private readonly lateRegistrationRatio: number;
	private readonly missedUseReportRatio: number;
	private readonly adapters: readonly string[];
	private readonly adapterMb: number;
	private fencingToken = 0;
	private isCutOff = false;
	private classes: ReadonlyMap<string, EngineClass>;
	private owner: EngineOwner | undefined;
	private term = new AbortController();
	/** Adapters that requests use, by target; the hosts report them periodically. */
	private readonly uses = new Map<string, {readonly targetId: string; readonly adapter: string; readonly untilMs: number}>();

	constructor(private readonly seed: number) {
		this.random = createRandom(seed);
		this.adapterMb = ADAPTER_SIZES_MB[seed % ADAPTER_SIZES_MB.length]!;
		this.classes = this.createClasses();
		this.reportLagMs = this.random() * MAX_REPORT_LAG_MS;
		this.lossRatio = this.random() * this.random() * MAX_LOSS_RATIO;
		this.lateRegistrationRatio = this.random() * MAX_LATE_REGISTRATION_RATIO;
		this.missedUseReportRatio = this.random() * MAX_MISSED_USE_REPORT_RATIO;
		const adapterCount = MIN_ADAPTERS + Math.floor(this.random() * (MAX_ADAPTERS - MIN_ADAPTERS + 1));
		this.adapters = Array.from({length: adapterCount}, (_, i) => `a${i}`);
		const countsEmptyOrders = this.random() < 0.5;
		const answersEmptyOrdersFirst = this.random() < 0.5;
		const engineCount = 1 + Math.floor(this.random() * MAX_ENGINES);
		this.engines = new Map(Array.from({length: engineCount}, (_, i) => [`t${i}`, new SimulatedEngine({
			clock: this.clock,
			targetId: `t${i}`,
			adapterSlots: engineClass.adapterSlots,
			weightsMb: engineClass.weightsMb,
			getAdapterMb: () => this.adapterMb,
			models: weights,
			loadMs: 600,
			countsEmptyOrders: () => countsEmptyOrders,
			answersEmptyOrdersFirst,
			getReportLagMs: () => this.isCutOff ? undefined : this.reportLagMs,
			getOrderFate: () => this.isCutOff ? 'not-sent' : drawOrderFate(this.random, this.lossRatio, MAX_ORDER_DELAY_MS),
		})]));
	}

	async run(): Promise<HistoryResult> {
		setMaxListeners(0, this.ended.signal);
		for (const [targetId, engine] of this.engines) {
			engine.hold('a', ['a0', 'a1', 'a2', 'a3']);
			void this.repeat(REGISTRATION_PERIOD_MS, () => {
				void this.register(engine);
			});
			void this.repeatRandomly(MEAN_RESTART_GAP_MS, () => {
				this.restart(targetId);
			});
		}

		this.startTerm();
		void this.repeatRandomly(MEAN_TERM_MS, () => {
			this.startTerm();
		});
		void this.repeatRandomly(MEAN_CONFIG_GAP_MS, () => {
			this.changeConfig();
		});
		void this.repeatRandomly(MEAN_DEMAND_GAP_MS, () => {
			this.changeDemand();
		});
		void this.repeat(USE_REPORT_PERIOD_MS, () => {
			this.reportUses();
		});
		void this.repeatRandomly(MEAN_REQUEST_GAP_MS, () => {
			void this.request();
		});
		await this.clock.run(LENGTH_MS);
		this.ended.abort();
		this.term.abort();
		await this.clock.run(1);
		const engines = [...this.engines.values()];
		return {seed: this.seed, overfilled: engines.flatMap(({overfilled}) => overfilled), orders: engines.reduce((sum, {log}) => sum + log.length, 0)};
	}

	private async repeat(periodMs: number, act: () => void): Promise<void> {
		while (!this.ended.signal.aborted) {
			act();
			await this.clock.sleep(periodMs, this.ended.signal);
		}
	}

	private async repeatRandomly(meanMs: number, act: () => void): Promise<void> {
		for (;;) {
			await this.clock.sleep(-Math.log(1 - this.random()) * meanMs, this.ended.signal);
			if (this.ended.signal.aborted) {
				return;
			}

			act();
		}
	}

	private async register(engine: SimulatedEngine): Promise<void> {
		const registration = engine.register();
		await this.clock.sleep(this.random() < this.lateRegistrationRatio ? this.random() * MAX_REGISTRATION_DELAY_MS : this.random() * 50, this.ended.signal);
		this.registry.accept(registration);
	}

	private restart(targetId: string): void {
		this.engines.get(targetId)?.restart();
		for (const [key, use] of this.uses) {
			if (use.targetId === targetId) {
				this.uses.delete(key);
			}
		}
	}

	/** Begins the term of a new leader, which waits until the orders of the last one have arrived or are lost. */
	private startTerm(): void {
		this.term.abort();
		this.term = new AbortController();
		setMaxListeners(0, this.term.signal);
		this.fencingToken += 1;
		const {term} = this;
		this.owner = new EngineOwner({
			clock: this.clock,
			random: this.random,
			logger: createLogger('test', 'fatal'),
			registry: this.registry,
			orders: new FleetOrders(this.engines),
			holder: `h${this.fencingToken}`,
			fencingToken: this.fencingToken,
			firstOrderAtMs: this.fencingToken === 1 ? 0 : this.clock.now() + MAX_ORDER_DELAY_MS,
			mayOrder: () => !term.signal.aborted,
			getZonesOut: () => [],
			getClasses: () => this.classes,
		});
		void this.owner.run(term.signal);
	}

	/** Removes a model from the configuration, or brings all of them back; engines keep what they hold. */
	private changeConfig(): void {
		const removed = this.random() < 0.5 ? pick(this.random, [...weights.keys()]) : undefined;
		this.classes = this.createClasses(removed);
	}

	private createClasses(removed?: string): ReadonlyMap<string, EngineClass> {
		const models = engineClass.models.filter(({name}) => name !== removed).map(model => ({...model, adapterMb: this.adapterMb}));
		return new Map([['s', {...engineClass, models}]]);
	}

	private changeDemand(): void {
		const model = pick(this.random, [...weights.keys()]);
		this.owner?.recordArrivals({service: 's', model}, 20, 20_000);
		this.owner?.recordWaiting('h1', [['s', model, 3, 0]]);
		this.isCutOff = this.random() < 0.1;
	}

	private reportUses(): void {
		if (this.random() < this.missedUseReportRatio) {
			return;
		}

		const nowMs = this.clock.now();
		const current = [...this.uses.values()].filter(({untilMs}) => untilMs > nowMs);
		this.owner?.recordAdapterUse('h1', current.map(({targetId, adapter}) => [targetId, 'a', adapter, 1]));
	}

	/** Demand shifts from one adapter to the next, so that each is evicted within seconds of its load. */
	private pickAdapter(): string {
		const shift = Math.floor(this.clock.now() / DEMAND_SHIFT_MS);
		const index = shift + Math.floor(this.random() * ADAPTERS_IN_DEMAND);
		return this.adapters[index % this.adapters.length]!;
	}

	/** One request for an adapter, which an engine that holds it runs for a while. */
	private async request(): Promise<void> {
		const adapter = this.pickAdapter();
		const {owner, term} = this;
		owner?.recordArrivals({service: 's', model: 'a', adapter}, 1, 100);
		const targetId = await owner?.ensureAdapter({service: 's', model: 'a', adapter}, term.signal);
		const engine = targetId === undefined ? undefined : this.engines.get(targetId);
		if (engine) {
			const durationMs = this.random() * MAX_USE_MS;
			engine.use('a', adapter, durationMs);
			this.uses.set(`${targetId}/${adapter}`, {targetId: targetId!, adapter, untilMs: this.clock.now() + durationMs});
		}
	}
}

describe('EngineOwner over histories of delays, losses, restarts, changes of the configuration and of the leader', () => {
	// Guards against any way in which the leader's account of an engine falls below what the engine holds.
	it(`never orders an engine beyond its room in ${HISTORIES} histories (seeds 1 to ${HISTORIES})`, async () => {
		const results: HistoryResult[] = [];
		for (let seed = 1; seed <= HISTORIES; seed++) {
			results.push(await new History(seed).run());
		}

		expect(results.filter(({overfilled}) => overfilled.length > 0)).to.deep.equal([]);
		// An owner that orders nothing would pass the check above.
		expect(results.reduce((sum, {orders}) => sum + orders, 0)).to.be.greaterThan(HISTORIES * 20);
	});
});
