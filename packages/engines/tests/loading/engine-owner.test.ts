import {
	createLogger, createRandom, type EngineClass, type HeldModel, ManualClock, MAX_SOUND_SILENCE_MS, type Registration,
} from '@egretrill/common';
import {expect} from 'chai';
import {
	type EngineAddress, EngineOrders, EngineOwner, type EngineReport, type LoadOrder, type LoadOrderOutcome, type WaitingCounts,
} from '../../src/loading/index.js';
import {TargetRegistry} from '../../src/registry/index.js';

const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200,
	adapterSlots: 2,
	storeLoadsPerSecond: 2,
	models: ['a', 'b', 'c'].map(name => ({
		name, weightsMb: 90, storeLoadMs: 5000, diskLoadMs: 1000, memoryLoadMs: 400, adapterMb: 1,
	})),
};

/** An engine that executes orders according to the protocol and logs each one that would exceed its memory or slots. */
class SimulatedEngine extends EngineOrders {
	models: readonly HeldModel[] = [{name: 'a', version: 1, adapters: []}];
	orderCount = 0;
	busyUntilMs = 0;
	/** The next order gets no answer and is executed after this delay. */
	delayMs = 0;
	/** Until then the engine receives and answers nothing. */
	silentUntilMs = 0;
	/** What other engines hold, which get no orders. */
	readonly others = new Map<string, readonly HeldModel[]>();
	readonly log: string[] = [];
	/** The model that an order in progress loads. */
	loading: string | undefined;

	constructor(private readonly clock: ManualClock) {
		super();
	}

	override async send(_engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome> {
		if (!mayWrite()) {
			return 'not-sent';
		}

		if (this.delayMs > 0) {
			void this.acceptAfterDelay(order, this.delayMs);
			this.delayMs = 0;
			await this.clock.sleep(1000);
			this.record(order, 'unanswered');
			return 'unknown';
		}

		const silentMs = this.silentUntilMs - this.clock.now();
		if (silentMs > 0) {
			void this.acceptAfterDelay(order, silentMs);
			await this.clock.sleep(1000);
			return 'unknown';
		}

		const answer = this.accept(order);
		this.record(order, answer);
		return answer;
	}

	override async getReport({targetId}: EngineAddress = registration): Promise<EngineReport> {
		const other = this.others.get(targetId);
		while (this.clock.now() < this.silentUntilMs) {
			await this.clock.sleep(this.silentUntilMs - this.clock.now());
		}

		return other ? {models: [...other], isBusy: false, orderCount: 0} : {models: [...this.models], isBusy: this.isBusy(), orderCount: this.orderCount};
	}

	private async acceptAfterDelay(order: LoadOrder, delayMs: number): Promise<void> {
		await this.clock.sleep(delayMs);
		this.record(order, `late ${this.accept(order)}`);
	}

	private isBusy(): boolean {
		return this.clock.now() < this.busyUntilMs;
	}

	private accept(order: LoadOrder): LoadOrderOutcome {
		const possible = this.models.length + (this.isBusy() && this.loading !== undefined ? 1 : 0);
		if (order.kind === 'load-model' && order.expectedOrderCount === this.orderCount && (possible + 1) * 90 > engineClass.weightsMb) {
			this.log.push('OVERFILLED with weights');
		}

		if (this.isBusy() || order.expectedOrderCount !== this.orderCount) {
			return 'conflict';
		}

		this.orderCount += 1;
		const held = this.models.find(({name}) => name === order.model);
		switch (order.kind) {
			case 'load-model': {
				void this.runLoad(order.model);
				return 'begun';
			}

			case 'unload-model': {
				this.models = this.models.filter(model => model !== held);
				return 'begun';
			}

			case 'load-adapter': {
				if (this.models.flatMap(({adapters}) => adapters).length >= engineClass.adapterSlots) {
					this.log.push('OVERFILLED with adapters');
				}

				this.models = this.models.map(model => model === held ? {...held, adapters: [...held.adapters, order.adapter ?? '']} : model);
				return 'begun';
			}

			case 'unload-adapter': {
				this.models = this.models.map(model => model === held ? {...held, adapters: held.adapters.filter(name => name !== order.adapter)} : model);
				return 'done';
			}
		}
	}

	private async runLoad(model: string): Promise<void> {
		this.busyUntilMs = this.clock.now() + 5000;
		this.loading = model;
		await this.clock.sleep(5000);
		this.models = [...this.models, {name: model, version: 1, adapters: []}];
	}

	private record({kind, model, adapter, expectedOrderCount}: LoadOrder, answer: string): void {
		this.log.push(`${Math.round(this.clock.now() / 100) * 100} ms: ${kind} ${model}${adapter ? `/${adapter}` : ''} after ${expectedOrderCount}: ${answer}`);
	}
}

/** A registry that counts the lookups of targets. */
class CountingRegistry extends TargetRegistry {
	lookupCount = 0;

	override get(targetId: string): Registration | undefined {
		this.lookupCount += 1;
		return super.get(targetId);
	}
}

const registration: Registration = {
	targetId: 't1', startedAtMs: 1, sequence: 1, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 64, isLeaving: false, coldForMs: 0, models: [{name: 'a', version: 1, adapters: []}], inMemory: [], onDisk: [],
};

type Fixture = {readonly clock: ManualClock; readonly engine: SimulatedEngine; readonly owner: EngineOwner; readonly controller: AbortController};

function startOwner(prepare: (engine: SimulatedEngine) => void = () => undefined, outOfService: readonly Registration[] = []): Fixture {
	const clock = new ManualClock();
	const engine = new SimulatedEngine(clock);
	prepare(engine);
	for (const {targetId, models} of outOfService) {
		engine.others.set(targetId, models);
	}

	const registry = new TargetRegistry(clock, 'r');
	const controller = new AbortController();
	const registerPeriodically = async (): Promise<void> => {
		for (let sequence = 1; !controller.signal.aborted; sequence++) {
			registry.accept({...registration, sequence, models: [...engine.models]});
			for (const other of outOfService) {
				registry.accept({...other, sequence});
			}

			await clock.sleep(1200, controller.signal);
		}
	};

	const owner = new EngineOwner({
		clock, random: createRandom(1), logger: createLogger('test', 'fatal'), registry, orders: engine, holder: 'h', fencingToken: 1, firstOrderAtMs: 0, mayOrder: () => true, getZonesOut: () => outOfService.map(({zone}) => zone), getClasses: () => new Map([['s', engineClass]]),
	});
	void registerPeriodically();
	void owner.run(controller.signal);
	return {
		clock, engine, owner, controller,
	};
}

/** Starts the owner of several engines that hold the same model. */
function startOwnerOfSeveral(ids: readonly string[], adapters: readonly string[]): Omit<Fixture, 'engine'> & {readonly engines: ReadonlyMap<string, SimulatedEngine>} {
	const clock = new ManualClock();
	const registry = new TargetRegistry(clock, 'r');
	const engines = new Map(ids.map(id => [id, new SimulatedEngine(clock)]));
	for (const [targetId, engine] of engines) {
		engine.models = [{name: 'a', version: 1, adapters: [...adapters]}];
		registry.accept({
			...registration, targetId, address: `${targetId}:1`, models: [...engine.models],
		});
	}

	class Orders extends EngineOrders {
		override async send(engine: EngineAddress, order: LoadOrder, mayWrite: () => boolean): Promise<LoadOrderOutcome> {
			await clock.sleep(50);
			return engines.get(engine.targetId)?.send(engine, order, mayWrite) ?? 'not-sent';
		}

		override async getReport(engine: EngineAddress): Promise<EngineReport | undefined> {
			return engines.get(engine.targetId)?.getReport();
		}
	}

	const owner = new EngineOwner({
		clock, random: createRandom(1), logger: createLogger('test', 'fatal'), registry, orders: new Orders(), holder: 'h', fencingToken: 1, firstOrderAtMs: 0, mayOrder: () => true, getZonesOut: () => [], getClasses: () => new Map([['s', engineClass]]),
	});
	const controller = new AbortController();
	void owner.run(controller.signal);
	return {
		clock, engines, owner, controller,
	};
}

/** Reports the waiting requests of a host as often as hosts do. */
async function reportPeriodically({clock, owner, controller}: Omit<Fixture, 'engine'>, counts: WaitingCounts): Promise<void> {
	while (!controller.signal.aborted) {
		owner.recordWaiting('h1', counts);
		await clock.sleep(200, controller.signal);
	}
}

async function stop({clock, controller}: Fixture): Promise<void> {
	controller.abort();
	await clock.run(1);
}

describe('EngineOwner', () => {
	// Guards against a model that is not loaded although requests wait for it.
	it('loads a model that requests wait for', async () => {
		const fixture = startOwner();
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(7000);
		fixture.owner.recordWaiting('h1', []);
		await stop(fixture);
		expect({seen: fixture.engine.log, models: fixture.engine.models.map(({name}) => name)}).toMatchSnapshot();
	});

	// Guards against a model that is not loaded because an engine in a zone out of service holds it.
	it('loads a model whose only engine is in a zone out of service', async () => {
		const fixture = startOwner(undefined, [{
			...registration, targetId: 't2', address: '127.0.0.1:2', zone: 'out', models: [{name: 'b', version: 1, adapters: []}],
		}]);
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(7000);
		await stop(fixture);
		expect(fixture.engine.log).toMatchSnapshot();
	});

	// Guards against a new owner that overfills an engine because the registrations do not show the load of its predecessor yet.
	it('sends no order to an engine that is still executing one', async () => {
		const fixture = startOwner(engine => {
			engine.models = [{name: 'a', version: 1, adapters: []}];
			engine.orderCount = 1;
			engine.busyUntilMs = 3000;
			engine.loading = 'c';
		});
		const end = async (): Promise<void> => {
			await fixture.clock.sleep(3000);
			fixture.engine.models = [...fixture.engine.models, {name: 'c', version: 1, adapters: []}];
		};

		void end();
		fixture.owner.recordArrivals({service: 's', model: 'a'}, 200, 200_000);
		void reportPeriodically(fixture, [['s', 'b', 2, 0]]);
		await fixture.clock.run(12_000);
		await stop(fixture);
		expect(fixture.engine.log).toMatchSnapshot();
	});

	// Guards against an order that is executed late, after a newer one, and overfills the engine.
	it('does not overfill an engine that executes an order late', async () => {
		const fixture = startOwner(engine => {
			engine.delayMs = 3000;
		});
		fixture.owner.recordArrivals({service: 's', model: 'a'}, 20, 20_000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(15_000);
		await stop(fixture);
		expect(fixture.engine.log).toMatchSnapshot();
	});

	// Guards against more adapters than the engine has slots for, and against a separate load for each waiting request.
	it('loads adapters on demand and evicts the least used one', async () => {
		const fixture = startOwner();
		await fixture.clock.run(500);
		const load = async (adapter: string): Promise<string | undefined> => fixture.owner.ensureAdapter({service: 's', model: 'a', adapter}, fixture.controller.signal);
		const loads = [load('a1'), load('a1'), load('a2')];
		await fixture.clock.run(600);
		fixture.owner.recordArrivals({service: 's', model: 'a', adapter: 'a2'}, 5, 5000);
		loads.push(load('a3'));
		await fixture.clock.run(200);
		const answers = await Promise.all(loads);
		await stop(fixture);
		expect({answers, seen: fixture.engine.log, adapters: fixture.engine.models[0]?.adapters}).toMatchSnapshot();
	});

	// Guards against adapter loads that queue at one of several engines with the model while the others are idle.
	it('spreads adapter loads over the engines that hold the model', async () => {
		const {clock, owner, controller} = startOwnerOfSeveral(['t1', 't2', 't3'], ['x', 'y']);
		await clock.run(300);
		const loads = ['a1', 'a2', 'a3'].map(async adapter => owner.ensureAdapter({service: 's', model: 'a', adapter}, controller.signal));
		await clock.run(1000);
		controller.abort();
		await clock.run(1);
		expect(await Promise.all(loads)).toMatchSnapshot();
	});

	// Guards against a second load of a model because an engine that was silent for 1.6 s left the order of the first one unanswered.
	it('waits for a load whose order was answered too late', async () => {
		const fixture = startOwnerOfSeveral(['t1', 't2'], []);
		await fixture.clock.run(300);
		for (const engine of fixture.engines.values()) {
			engine.silentUntilMs = fixture.clock.now() + MAX_SOUND_SILENCE_MS;
		}

		void reportPeriodically(fixture, [['s', 'b', 2, 0]]);
		await fixture.clock.run(4500);
		fixture.controller.abort();
		await fixture.clock.run(1);
		expect([...fixture.engines.values()].flatMap(({log}) => log)).to.deep.equal(['1900 ms: load-model b after 0: late begun']);
	});

	// Guards against loads, until the leader changes, for requests that ended with the host where they waited.
	it('drops the waiting requests of a host that has stopped', async () => {
		const fixture = startOwner(engine => {
			engine.orderCount = 1;
			engine.busyUntilMs = 5000;
			engine.loading = 'c';
		});
		fixture.owner.recordArrivals({service: 's', model: 'a'}, 200, 200_000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(12_000);
		await stop(fixture);
		expect(fixture.engine.log).toMatchSnapshot();
	});

	// Guards against evaluating an engine again in each comparison while an engine for an adapter is chosen, and against evaluating the only one.
	it('evaluates each engine that holds the model once for an adapter', async () => {
		const count = async (holders: number): Promise<number> => {
			const clock = new ManualClock();
			const registry = new CountingRegistry(clock, 'r');
			for (let i = 0; i < holders; i++) {
				registry.accept({...registration, targetId: `t${i}`, address: `t${i}:1`});
			}

			const owner = new EngineOwner({
				clock,
				random: createRandom(1),
				logger: createLogger('test', 'fatal'),
				registry,
				orders: new SimulatedEngine(clock),
				holder: 'h',
				fencingToken: 1,
				firstOrderAtMs: 0,
				mayOrder: () => false,
				getZonesOut: () => [],
				getClasses: () => new Map([['s', engineClass]]),
			});
			void owner.ensureAdapter({service: 's', model: 'a', adapter: 'a1'}, new AbortController().signal);
			return registry.lookupCount;
		};

		expect({of1: await count(1), of4: await count(4), of64: await count(64)}).toMatchSnapshot();
	});
});
