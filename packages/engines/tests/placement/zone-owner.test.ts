import {setImmediate} from 'node:timers/promises';
import {
	Announcement, ManualClock, type Model, type Order,
} from '@egretrill/common';
import {expect} from 'chai';
import {
	DemandPlacement, HeldLease, type LoadPermit, LoadPermits, type MoveStep, OrderChannel, type OrderTarget, type PhaseLoad, type SendOutcome, TAKEOVER_WAIT_MS, ZoneOwner,
} from '../../src/placement/index.js';
import {
	ADAPTER_MB, createModel, MEMORY_MB, SimulatedEngine,
} from './simulated-engine.js';

class TestLease extends HeldLease {
	epoch = 1;
	remaining = 3000;

	remainingMs(): number {
		return this.remaining;
	}
}

class UnlimitedPermits extends LoadPermits {
	held = 0;

	async acquire(): Promise<LoadPermit> {
		this.held += 1;
		return {
			release: () => {
				this.held -= 1;
			},
		};
	}
}

type Fault = 'lost' | 'late' | 'answer-lost' | 'stale-fencing' | 'refused' | 'lease-ends';

/** Delivers orders to the simulated engines, with the faults that a test sets up. */
class TestChannel extends OrderChannel {
	faults: Fault[] = [];

	constructor(private readonly engines: ReadonlyMap<string, SimulatedEngine>, private readonly clock: ManualClock, private readonly lease: TestLease) {
		super();
	}

	async send(target: OrderTarget, order: Order, mayWrite: () => boolean): Promise<SendOutcome> {
		const fault = this.faults.shift();
		if (fault === 'lease-ends') {
			this.lease.remaining = 0;
		}

		if (!mayWrite()) {
			return {result: 'not-sent', reason: 'The lease does not allow a write.'};
		}

		if (fault === 'lost') {
			return {result: 'unknown', reason: 'lost'};
		}

		if (fault === 'late') {
			void this.receiveLate(target, order);
			return {result: 'unknown', reason: 'late'};
		}

		if (fault === 'stale-fencing' || fault === 'refused') {
			return {result: fault, reason: fault};
		}

		this.engines.get(target.targetId)?.receive(order, this.clock.now(), 1000);
		return fault === 'answer-lost' ? {result: 'unknown', reason: 'answer lost'} : {result: 'accepted', reason: 'accepted'};
	}

	private async receiveLate(target: OrderTarget, order: Order): Promise<void> {
		await this.clock.sleep(1500);
		this.engines.get(target.targetId)?.receive(order, this.clock.now(), 1000);
	}
}

const orderFaults: readonly Fault[][] = [
	['lost', 'lost'], ['late'], ['late', 'late', 'late', 'lost', 'lost'], ['answer-lost'], ['refused'], ['lost', 'refused'], ['stale-fencing'], ['lease-ends'],
];

type AdapterFault = {readonly faults: Fault[]; readonly interfere?: (zone: TestZone, models: readonly Model[]) => void};

/** Faults during the load of an adapter on demand. */
const adapterFaults: Readonly<Record<string, AdapterFault>> = {
	'every order is lost': {faults: Array.from({length: 9}, () => 'lost')},
	'the order arrives late and repeated': {faults: ['late']},
	'the owner is isolated between the reservation and the order': {faults: ['lease-ends']},
	'another host has become the owner': {
		faults: ['answer-lost'], interfere(zone) {
			zone.lease.epoch = 2;
		},
	},
	'the target restarts without its model': {
		faults: ['lost'], interfere(zone) {
			zone.engines.get('t1')?.restart(zone.clock.now(), () => false);
		},
	},
	'the version of the model changes': {
		faults: ['lost'], interfere(zone, models) {
			zone.setModels(models.map(model => ({...model, version: 'v2'})), {a: 1});
		},
	},
};

/** A zone with simulated engines and a clock that the test advances. */
class TestZone {
	readonly clock = new ManualClock();
	readonly lease = new TestLease();
	readonly permits = new UnlimitedPermits();
	readonly engines: ReadonlyMap<string, SimulatedEngine>;
	readonly channel: TestChannel;
	readonly owner: ZoneOwner;
	/** Models that no engine reported in some round of announcements. */
	readonly unreachable = new Set<string>();
	private readonly controller = new AbortController();

	constructor(residents: Readonly<Record<string, readonly string[]>>, private models: readonly Model[]) {
		this.engines = new Map(Object.entries(residents).map(([id, keys]) => [id, new SimulatedEngine(true, id, keys)]));
		this.channel = new TestChannel(this.engines, this.clock, this.lease);
		this.owner = new ZoneOwner({
			zone: 'z1', clock: this.clock, lease: this.lease, policy: new DemandPlacement(), permits: this.permits, getChannel: () => this.channel,
		});
		this.setModels(models);
	}

	setModels(models: readonly Model[], demand: Readonly<Record<string, number>> = {}, phase?: PhaseLoad): void {
		this.models = models;
		this.owner.setState({
			models,
			placements: {pins: [], forbids: []},
			waiting: [],
			demand: Object.entries(demand).map(([model, ratePerS]) => ({
				model, ratePerS, sigmaPerS: 0, shifted: false,
			})),
			remoteTargets: [],
			loadSlots: 2,
			...(phase && {phase}),
		});
	}

	/** Runs the owner in the background until `stop`. */
	start(): void {
		void this.owner.run(this.controller.signal);
	}

	stop(): void {
		this.controller.abort();
	}

	async issue(targetId: string, step: MoveStep) {
		return this.owner.issueOrder(targetId, step, this.controller.signal);
	}

	/** Advances the clock while the engines announce themselves every 500 ms. */
	async advance(ms: number): Promise<void> {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
			this.clock.advance(100);
			if (this.clock.now() % 500 === 0) {
				this.announce();
			}

			for (let turn = 0; turn < 5; turn++) {
				await setImmediate();
			}
		}
	}

	getArrivals(): readonly string[] {
		return [...this.engines].flatMap(([id, engine]) => engine.arrivals.map(line => `${id} ${line}`));
	}

	announce(): void {
		const reports = [...this.engines.values()].map(engine => engine.report(this.clock.now()));
		for (const report of reports) {
			this.owner.observe(Announcement.parse({
				...report, zone: 'z1', address: '127.0.0.1:1', kind: 'engine', load: {
					running: 0, waiting: 0, limit: 8, kvUsedRatio: 0,
				},
			}));
		}

		for (const {id} of this.models) {
			if (!reports.some(({resident}) => resident.some(({model}) => model === id))) {
				this.unreachable.add(id);
			}
		}
	}
}

const loadB: MoveStep = {kind: 'load-model', model: 'b', version: 'v1'};
/** Time after which a new owner may order loads: the takeover wait, the longest unanswered load (10 s) and the age of a report (2 s), with a margin. */
const TAKEOVER_SETTLED_MS = Math.ceil(TAKEOVER_WAIT_MS) + 12_900;

async function createSettledZone(): Promise<TestZone> {
	const zone = new TestZone({t1: ['a@v1']}, ['a', 'b', 'c', 'd'].map(id => createModel(id)));
	await zone.advance(100);
	await zone.issue('t1', loadB);
	await zone.advance(TAKEOVER_SETTLED_MS);
	return zone;
}

const prefillShort: PhaseLoad = {prefillUtilisation: 0.95, decodeUtilisation: 0.2};
const decodeShort: PhaseLoad = {prefillUtilisation: 0.2, decodeUtilisation: 0.95};
const toPrefill: MoveStep = {kind: 'set-role', role: 'prefill'};

/** Events after which it is uncertain whether the second target still decodes, and one case without any. */
const decodeUncertainties: Readonly<Record<string, (zone: TestZone) => unknown>> = {
	async 'an unanswered role change may have arrived'(zone) {
		zone.channel.faults = ['lost', 'lost', 'lost', 'lost', 'lost'];
		return zone.issue('t2', toPrefill);
	},
	async 'a role change is in progress'(zone) {
		return zone.issue('t2', toPrefill);
	},
	'nothing is uncertain, so one of two changes'() {
		return undefined;
	},
	'the other target restarts in another role'(zone) {
		const engine = zone.engines.get('t2')!;
		engine.restart(zone.clock.now(), () => true);
		engine.role = 'prefill';
		zone.announce();
	},
};

describe('zone owner', () => {
	it('sends no order until the orders of the previous holder have expired, and no load until their loads have ended', async () => {
		const zone = new TestZone({t1: ['a@v1']}, ['a', 'b'].map(id => createModel(id)));
		zone.start();
		await zone.advance(TAKEOVER_WAIT_MS + 9000);
		expect(zone.getArrivals()).to.deep.equal([]);
		await zone.advance(10_000);
		zone.lease.epoch = 2;
		const before = zone.getArrivals();
		await zone.advance(100);
		expect(await zone.issue('t1', {kind: 'unload-model', model: 'b', version: 'v1'})).toMatchSnapshot();
		zone.stop();
		expect({before, after: zone.getArrivals()}).toMatchSnapshot();
	});

	for (const faults of orderFaults) {
		it(`executes an order at most once and reports its actual outcome after: ${faults.join(', ')}`, async () => {
			const zone = await createSettledZone();
			zone.channel.faults = [...faults];
			const issued = zone.issue('t1', loadB);
			await zone.advance(20_000);
			const result = await issued;
			zone.lease.remaining = 3000;
			const next = zone.issue('t1', {kind: 'load-model', model: 'c', version: 'v1'});
			await zone.advance(20_000);
			expect({
				result, next: await next, arrivals: zone.getArrivals(), peakMb: zone.engines.get('t1')?.peakMb,
			}).toMatchSnapshot();
		});
	}

	it('keeps every model served and memory within bounds during a version change on full engines', async () => {
		const zone = new TestZone({t1: ['a@v1', 'b@v1', 'd@v1'], t2: ['c@v1', 'a@v1', 'd@v1']}, ['a', 'b', 'c', 'd'].map(id => createModel(id)));
		zone.start();
		await zone.advance(TAKEOVER_SETTLED_MS);
		zone.setModels([createModel('a', 30, 'v2'), ...['b', 'c', 'd'].map(id => createModel(id))], {a: 1});
		await zone.advance(20_000);
		zone.stop();
		expect({
			unreachable: [...zone.unreachable],
			arrivals: zone.getArrivals(),
			peaks: [...zone.engines.values()].map(({peakMb}) => peakMb),
			permitsHeld: zone.permits.held,
			explained: zone.owner.explain('a').explanations,
		}).toMatchSnapshot();
		expect([...zone.engines.values()].every(({peakMb}) => peakMb <= MEMORY_MB)).to.equal(true);
	});

	it('loads an adapter once for all requests that wait for it, after evicting one without demand, and not beyond the memory', async () => {
		const models = ['a', 'b', 'c'].map(id => ({...createModel(id), adapters: [{id: 'x', memoryMb: ADAPTER_MB}, {id: 'y', memoryMb: ADAPTER_MB}]}));
		const zone = new TestZone({t1: ['a@v1', 'c@v1', 'c@v1/x'], t2: ['b@v1', 'c@v1', 'c@v1/x']}, models);
		const load = async (targetId: string, model: string, adapter: string) => zone.owner.loadAdapter({targetId, model, adapter}, new AbortController().signal);
		await zone.advance(100);
		const early = load('t1', 'a', 'x');
		await zone.advance(TAKEOVER_SETTLED_MS);
		zone.channel.faults = ['answer-lost'];
		const answers = Promise.all([early, load('t1', 'a', 'x'), load('t1', 'a', 'x'), load('t2', 'b', 'x'), load('t1', 'b', 'x'), load('t9', 'a', 'x')]);
		await zone.advance(6000);
		const second = load('t1', 'c', 'x');
		await zone.advance(1000);
		expect({
			answers: await answers, second: await second, arrivals: zone.getArrivals(), peaks: [...zone.engines.values()].map(({peakMb}) => peakMb), permitsHeld: zone.permits.held,
		}).toMatchSnapshot();
	});

	for (const [title, {faults, interfere}] of Object.entries(adapterFaults)) {
		it(`loads an adapter at most once, within memory, and reports the actual outcome when ${title}`, async () => {
			const models = ['a', 'b'].map(id => ({...createModel(id), adapters: [{id: 'x', memoryMb: ADAPTER_MB}]}));
			const zone = new TestZone({t1: ['a@v1', 'b@v1']}, models);
			zone.start();
			await zone.advance(TAKEOVER_SETTLED_MS);
			zone.channel.faults = [...faults];
			const load = async () => zone.owner.loadAdapter({targetId: 't1', model: 'a', adapter: 'x'}, new AbortController().signal);
			const first = load();
			await zone.advance(100);
			interfere?.(zone, models);
			await zone.advance(TAKEOVER_SETTLED_MS + 10_000);
			zone.lease.remaining = 3000;
			const second = load();
			await zone.advance(4000);
			zone.stop();
			expect({
				first: await first, second: await second, arrivals: zone.getArrivals(), peakMb: zone.engines.get('t1')?.peakMb, permitsHeld: zone.permits.held,
			}).toMatchSnapshot();
			expect(zone.engines.get('t1')?.peakMb).to.be.at.most(MEMORY_MB);
		});
	}

	it('changes a role once the load has required it for long enough, and not back while the load oscillates', async () => {
		const models = ['a', 'd'].map(id => createModel(id));
		const zone = new TestZone({t1: ['a@v1', 'd@v1'], t2: ['a@v1', 'd@v1'], t3: ['a@v1', 'd@v1']}, models);
		zone.engines.get('t2')!.role = 'decode';
		zone.setModels(models, {a: 1}, prefillShort);
		zone.start();
		await zone.advance(TAKEOVER_SETTLED_MS + 30_000);
		const early = zone.getArrivals();
		zone.channel.faults = ['answer-lost', 'lost'];
		await zone.advance(30_000);
		for (let cycle = 0; cycle < 4; cycle++) {
			zone.setModels(models, {a: 1}, cycle % 2 === 0 ? decodeShort : prefillShort);
			await zone.advance(6000);
		}

		zone.stop();
		expect({early, arrivals: zone.getArrivals(), roles: [...zone.engines.values()].map(({role}) => role)}).toMatchSnapshot();
	});

	for (const [title, prepare] of Object.entries(decodeUncertainties)) {
		it(`keeps the last target of a zone that certainly decodes: ${title}`, async () => {
			const models = ['a', 'd'].map(id => createModel(id));
			const zone = new TestZone({t1: ['a@v1', 'd@v1'], t2: ['a@v1', 'd@v1']}, models);
			zone.start();
			await zone.advance(TAKEOVER_SETTLED_MS + 65_000);
			void prepare(zone);
			zone.setModels(models, {a: 1}, prefillShort);
			await zone.advance(4000);
			zone.stop();
			expect({arrivals: zone.getArrivals(), decoding: [...zone.engines.values()].some(({role}) => role !== 'prefill')}).toMatchSnapshot();
		});
	}

	it('stops sending an order once its target has restarted, since the reservation was for its earlier contents', async () => {
		const zone = await createSettledZone();
		zone.channel.faults = ['answer-lost', 'answer-lost', 'lost'];
		const issued = zone.issue('t1', loadB);
		await zone.advance(300);
		zone.engines.get('t1')?.restart(zone.clock.now(), () => false);
		await zone.advance(20_000);
		expect({result: await issued, arrivals: zone.getArrivals()}).toMatchSnapshot();
	});
});
