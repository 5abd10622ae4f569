import {
	createLogger, createRandom, type EngineClass, ManualClock,
} from '@egretrill/common';
import {expect} from 'chai';
import {EngineOwner} from '../../src/loading/index.js';
import {TargetRegistry} from '../../src/registry/index.js';
import {type OrderFate, SimulatedEngine} from './simulated-engine.js';

const WEIGHTS_MB = 90;
const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200,
	adapterSlots: 2,
	storeLoadsPerSecond: 2,
	models: ['a', 'b', 'c'].map(name => ({
		name, weightsMb: WEIGHTS_MB, storeLoadMs: 1000, diskLoadMs: 1000, memoryLoadMs: 400, adapterMb: 1,
	})),
};

const promptly: OrderFate = {deliveryMs: 1, isAnswered: true};

const lastLeader = {holder: 'h0', fencingToken: 0, expectedOrderCount: 0} as const;

/** An owner and one engine that registers only when the test says so. */
class Fixture {
	readonly clock = new ManualClock();
	readonly registry = new TargetRegistry(this.clock, 'r');
	readonly controller = new AbortController();
	readonly fates: OrderFate[] = [];
	/** Undefined while the engine answers no request for a report. */
	reportLagMs: number | undefined = 0;
	countsEmptyOrders = false;
	adapterMb = 1;
	readonly engine = new SimulatedEngine({
		clock: this.clock,
		targetId: 't1',
		adapterSlots: engineClass.adapterSlots,
		weightsMb: engineClass.weightsMb,
		getAdapterMb: () => this.adapterMb,
		models: new Map(engineClass.models.map(({name, weightsMb}) => [name, weightsMb])),
		loadMs: 300,
		countsEmptyOrders: () => this.countsEmptyOrders,
		getReportLagMs: () => this.reportLagMs,
		getOrderFate: () => this.fates.shift() ?? promptly,
	});

	readonly owner = new EngineOwner({
		clock: this.clock,
		random: createRandom(1),
		logger: createLogger('test', 'fatal'),
		registry: this.registry,
		orders: this.engine,
		holder: 'h',
		fencingToken: 1,
		firstOrderAtMs: 0,
		mayOrder: () => true,
		getZonesOut: () => [],
		getClasses: () => new Map([['s', {...engineClass, models: engineClass.models.map(model => ({...model, adapterMb: this.adapterMb}))}]]),
	});

	async start(adapters: readonly string[]): Promise<void> {
		this.engine.hold('a', adapters);
		this.register();
		void this.owner.run(this.controller.signal);
		await this.clock.run(300);
	}

	register(): void {
		this.registry.accept(this.engine.register());
	}

	async load(adapter: string): Promise<string | undefined> {
		return this.owner.ensureAdapter({service: 's', model: 'a', adapter}, this.controller.signal);
	}

	async stop(): Promise<readonly string[]> {
		this.controller.abort();
		await this.clock.run(1);
		return [...this.engine.log, ...this.engine.overfilled.map(entry => `OVERFILLED at ${entry}`)];
	}
}

describe('EngineOwner and the room of an engine', () => {
	for (const source of ['registration', 'report'] as const) {
		// Guards against the load of an adapter into the slot of one that the engine still holds until its requests end.
		it(`does not take a ${source} of before an unload for the end of the unload`, async () => {
			const fixture = new Fixture();
			await fixture.start(['a1']);
			fixture.owner.recordArrivals({service: 's', model: 'a', adapter: 'a1'}, 50, 50);
			const delayed = fixture.engine.register();
			void fixture.load('a2');
			await fixture.clock.run(500);
			fixture.engine.use('a', 'a2', 2000);
			void fixture.load('a3');
			await fixture.clock.run(100);
			if (source === 'registration') {
				fixture.registry.accept(delayed);
			} else {
				fixture.reportLagMs = 1000;
			}

			await fixture.clock.run(4000);
			expect(await fixture.stop()).toMatchSnapshot();
		});
	}

	// Guards against a slot that was chosen by an account from before an order of the last leader: the order was repeated with the new count, not chosen again.
	it('chooses a slot again when an order of the last leader shows late', async () => {
		const fixture = new Fixture();
		fixture.engine.hold('a', ['a1']);
		fixture.register();
		await fixture.clock.run(1000);
		void fixture.engine.send(fixture.engine.register(), {
			...lastLeader, kind: 'load-adapter', model: 'a', adapter: 'a2',
		}, () => true);
		fixture.reportLagMs = 500;
		void fixture.owner.run(fixture.controller.signal);
		await fixture.clock.run(100);
		void fixture.load('a3');
		await fixture.clock.run(2000);
		expect(await fixture.stop()).toMatchSnapshot();
	});

	// Guards against new requests for an adapter whose unload waits for the requests that use it: a report on the way published it again.
	it('hides an adapter from the hosts until its unload has ended', async () => {
		const fixture = new Fixture();
		await fixture.start(['a1', 'a2']);
		fixture.engine.use('a', 'a2', 2000);
		fixture.owner.recordArrivals({service: 's', model: 'a', adapter: 'a1'}, 50, 50);
		void fixture.load('a3');
		const seen: unknown[] = [];
		for (let i = 0; i < 6; i++) {
			await fixture.clock.run(500);
			seen.push(fixture.registry.get('t1')?.models.flatMap(({adapters}) => adapters));
		}

		expect({seen, orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against the load of a model into the memory of one that the last leader has ordered.
	it('plans a load again when an order of the last leader shows late', async () => {
		const fixture = new Fixture();
		fixture.engine.hold('a');
		fixture.register();
		await fixture.clock.run(1000);
		void fixture.engine.send(fixture.engine.register(), {...lastLeader, kind: 'load-model', model: 'b'}, () => true);
		fixture.reportLagMs = 500;
		fixture.owner.recordArrivals({service: 's', model: 'c'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'c', 2, 0]]);
		void fixture.owner.run(fixture.controller.signal);
		await fixture.clock.run(3000);
		expect(await fixture.stop()).toMatchSnapshot();
	});

	// Guards against an adapter that is unloaded for the next one that waits, before the requests that waited for it arrive.
	it('keeps an adapter that was just loaded while several changes wait', async () => {
		const fixture = new Fixture();
		await fixture.start([]);
		const loads = ['a1', 'a2', 'a3', 'a4'].map(async adapter => fixture.load(adapter));
		await fixture.clock.run(100);
		await fixture.clock.run(400);
		loads.push(fixture.load('a3'));
		await fixture.clock.run(100);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against an eviction for an adapter that the engine holds, and that only the view of the hosts lacks since its own eviction failed.
	it('evicts nothing for an adapter that the engine still holds', async () => {
		const fixture = new Fixture();
		await fixture.start(['a1', 'a2']);
		fixture.owner.recordArrivals({service: 's', model: 'a', adapter: 'a1'}, 50, 50);
		fixture.fates.push('not-sent');
		const loads = [fixture.load('a3')];
		await fixture.clock.run(1100);
		loads.push(fixture.load('a2'), fixture.load('a4'));
		await fixture.clock.run(100);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against an order that names a newer count than its account has: the count of a registration, without the adapters that came with it.
	it('names only the count of orders that its account has', async () => {
		const fixture = new Fixture();
		await fixture.start(['a1']);
		fixture.fates.push('not-sent');
		const loads = [fixture.load('a3')];
		await fixture.clock.run(1100);
		void fixture.engine.send(fixture.engine.register(), {
			...lastLeader, kind: 'load-adapter', model: 'a', adapter: 'a2',
		}, () => true);
		await fixture.clock.run(100);
		fixture.registry.accept({...fixture.engine.register(), orderCount: 1});
		loads.push(fixture.load('a3'));
		await fixture.clock.run(100);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against an engine that is left alone for half a minute because an order of the last leader was taken for one that got lost.
	it('orders a load again when the engine has executed another order instead', async () => {
		const fixture = new Fixture();
		await fixture.start([]);
		fixture.fates.push({deliveryMs: 1200, isAnswered: false}, {deliveryMs: undefined, isAnswered: false});
		void fixture.engine.send(fixture.engine.register(), {...lastLeader, kind: 'load-model', model: 'c'}, () => true);
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(2500);
		expect(await fixture.stop()).toMatchSnapshot();
	});

	// Guards against memory that counts as free after a load whose end no report has shown within the time for it.
	it('asks what an engine holds after it has waited in vain for the end of a load', async () => {
		const fixture = new Fixture();
		await fixture.start([]);
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(200);
		fixture.reportLagMs = undefined;
		await fixture.clock.run(40_000);
		fixture.reportLagMs = 0;
		fixture.owner.recordArrivals({service: 's', model: 'c'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'c', 2, 0]]);
		fixture.register();
		await fixture.clock.run(3000);
		expect(await fixture.stop()).toMatchSnapshot();
	});

	for (const countsEmptyOrders of [false, true]) {
		// Guards against an engine that gets no order any more since its reports seem outdated: it may not count an order that changes nothing.
		it(`goes on after an order that changed nothing and was ${countsEmptyOrders ? '' : 'not '}counted`, async () => {
			const fixture = new Fixture();
			fixture.countsEmptyOrders = countsEmptyOrders;
			await fixture.start(['a1', 'a2']);
			fixture.engine.drop('a', 'a2');
			fixture.owner.recordArrivals({service: 's', model: 'a', adapter: 'a1'}, 50, 50);
			const loads = [fixture.load('a3')];
			await fixture.clock.run(2000);
			loads.push(fixture.load('a4'));
			await fixture.clock.run(2000);
			expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
		});
	}

	// Guards against an order, and an eviction before it, for an adapter whose model a move has unloaded in the meantime.
	it('orders no adapter of a model that a move has unloaded', async () => {
		const fixture = new Fixture();
		fixture.engine.hold('c', ['x1']);
		await fixture.start(['a0']);
		fixture.engine.use('a', 'a0', 4000);
		fixture.owner.recordArrivals({service: 's', model: 'c'}, 9, 9000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(2000);
		fixture.register();
		const load = fixture.load('a1');
		await fixture.clock.run(9000);
		expect({answer: await load, orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against an adapter that finds a slot but no memory: models and adapters share the memory of an engine.
	it('loads no adapter into memory that the models leave too little of', async () => {
		const fixture = new Fixture();
		fixture.adapterMb = 15;
		fixture.engine.hold('b');
		await fixture.start([]);
		const loads = [fixture.load('a1')];
		await fixture.clock.run(100);
		loads.push(fixture.load('a2'));
		await fixture.clock.run(1000);
		loads.push(fixture.load('a3'));
		await fixture.clock.run(100);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against evictions for an adapter that finds no memory even without any other.
	it('evicts nothing for an adapter that the models leave no memory for', async () => {
		const fixture = new Fixture();
		fixture.adapterMb = 25;
		fixture.engine.hold('b', ['x1']);
		await fixture.start([]);
		const load = fixture.load('a1');
		await fixture.clock.run(1000);
		expect({answer: await load, orders: await fixture.stop()}).to.deep.equal({answer: undefined, orders: []});
	});

	// Guards against a model that is loaded into memory which an adapter has taken since the load was planned.
	it('loads no model into memory of an adapter that was under way when the load was planned', async () => {
		const fixture = new Fixture();
		fixture.adapterMb = 15;
		await fixture.start([]);
		const loads = [fixture.load('a1')];
		await fixture.clock.run(100);
		fixture.fates.push({deliveryMs: 200, isAnswered: true});
		loads.push(fixture.load('a2'));
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 3, 3000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(3000);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against an adapter that takes memory which a planned load of a model is about to use.
	it('leaves the memory for a model whose load is planned', async () => {
		const fixture = new Fixture();
		fixture.adapterMb = 15;
		fixture.engine.hold('c');
		await fixture.start([]);
		fixture.fates.push({deliveryMs: 300, isAnswered: true});
		const loads = [fixture.load('a1')];
		loads.push(fixture.load('a2'));
		fixture.owner.recordArrivals({service: 's', model: 'b'}, 9, 9000);
		fixture.owner.recordWaiting('h1', [['s', 'b', 2, 0]]);
		await fixture.clock.run(4000);
		expect({answers: await Promise.all(loads), orders: await fixture.stop()}).toMatchSnapshot();
	});

	// Guards against requests for what an ended process held, at the next one with its id, which holds nothing.
	it('publishes nothing of an ended process for the next one with its id', async () => {
		const fixture = new Fixture();
		await fixture.start(['a1']);
		const load = fixture.load('a2');
		await fixture.clock.run(5);
		fixture.engine.restart();
		fixture.register();
		// A report of the next process would replace what was published.
		fixture.reportLagMs = undefined;
		await fixture.clock.run(100);
		await load;
		expect(fixture.registry.get('t1')?.models).to.deep.equal([]);
		await fixture.stop();
	});
});
