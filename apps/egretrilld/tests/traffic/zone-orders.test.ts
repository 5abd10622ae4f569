import {createCodec, ManualClock} from '@egretrill/common';
import {
	type CommandOutcome, type FleetCommand, FleetState, type Method, type PeerCallError,
} from '@egretrill/hosts';
import {expect} from 'chai';
import fc from 'fast-check';
import {Result} from 'true-myth';
import {z} from 'zod';
import {ZONE_ORDER_DEADLINE_MS} from '../../src/traffic/constants.js';
import {type ZoneOrderOutcome, ZoneOrders} from '../../src/traffic/index.js';

const SEED = 23;
const ZONE = 'z1';

const snapshotCodec = createCodec(z.record(z.string(), z.unknown()));

/** Returns the state of a member that restarts with a snapshot of a build that counted no orders. */
function restoreUncounted(state: FleetState): FleetState {
	const {zoneOrders: _zoneOrders, ...older} = snapshotCodec.decode(state.snapshot());
	const restored = new FleetState();
	restored.prepareRestore(snapshotCodec.encode(older))();
	return restored;
}

/** A control host whose proposals are stuck until the test releases them. */
type StuckHost = {readonly orders: ZoneOrders; readonly release: () => void};

/** Control hosts that give orders to a leader's state. */
class ZoneFixture {
	readonly clock = new ManualClock();
	readonly state = new FleetState();
	readonly running = new AbortController().signal;
	readonly proposed: FleetCommand[] = [];
	/** Whether the leader answers questions for the number of orders. */
	isLeaderReachable = true;
	/** Error of a leader that does not know the question. */
	readFailure: PeerCallError | undefined;

	/** Creates a control host whose proposals reach the leader at once. */
	createHost(): ZoneOrders {
		return this.createOrders(async command => this.apply(command));
	}

	createStuckHost(): StuckHost {
		const stuck: FleetCommand[] = [];
		const orders = this.createOrders(async command => {
			stuck.push(command);
			return {kind: 'unknown', reason: 'stuck'};
		});
		const release = (): void => {
			for (const command of stuck.splice(0)) {
				this.apply(command);
			}
		};

		return {orders, release};
	}

	isOut(): boolean {
		return this.state.getZonesOut().includes(ZONE);
	}

	private apply(command: FleetCommand): CommandOutcome {
		this.proposed.push(command);
		return {kind: 'committed', result: this.state.apply(this.state.encode(command))};
	}

	private createOrders(propose: (command: FleetCommand) => Promise<CommandOutcome>): ZoneOrders {
		const call = async <Req, Res>(_hostId: string, _method: Method<Req, Res>, req: Req): Promise<Result<Res, PeerCallError>> => {
			if (this.readFailure) {
				return Result.err(this.readFailure);
			}

			const {zone} = req as {zone: string};
			return Result.ok((this.isLeaderReachable ? {orderCount: this.state.getZoneOrderCount(zone)} : {}) as Res);
		};

		return new ZoneOrders({
			hostId: 'c0', clock: this.clock, node: {isLeaderWithLease: () => false}, state: this.state, log: {propose}, peers: {call}, getLeaderId: () => 'leader',
		});
	}
}

describe('orders for a zone', () => {
	// Guards against an evacuation that was withdrawn and comes back, and the reverse, when a stuck proposal reaches the leader.
	it('take no effect after a later order was acknowledged', async () => {
		for (const isInService of [true, false]) {
			const fixture = new ZoneFixture();
			const host = fixture.createHost();
			await host.order(ZONE, isInService, fixture.running);
			const {orders, release} = fixture.createStuckHost();
			await orders.order(ZONE, !isInService, fixture.running);
			expect(await host.order(ZONE, isInService, fixture.running)).to.equal('applied');
			release();
			expect(fixture.isOut()).to.equal(!isInService);
		}
	});

	// Guards against an operator who gets no acknowledgement for an order that is in force, since the first answer was lost.
	it('stay acknowledged when they are given again', async () => {
		const fixture = new ZoneFixture();
		const {orders, release} = fixture.createStuckHost();
		const first = await orders.order(ZONE, false, fixture.running);
		const second = await fixture.createHost().order(ZONE, false, fixture.running);
		release();
		const third = await fixture.createHost().order(ZONE, false, fixture.running);
		expect({outcomes: [first, second, third], isOut: fixture.isOut()}).to.deep.equal({outcomes: ['unconfirmed', 'applied', 'applied'], isOut: true});
		const [command] = fixture.proposed;
		expect(fixture.state.apply(fixture.state.encode(command!)).kind).to.equal('zone-service');
	});

	// Guards against any order of late proposals that changes what was acknowledged last.
	it('leave the zone as the last acknowledged one wants it', async () => {
		const steps = fc.array(fc.record({isInService: fc.boolean(), isStuck: fc.boolean(), isReleased: fc.boolean()}), {maxLength: 12});
		await fc.assert(fc.asyncProperty(steps, async plan => {
			const fixture = new ZoneFixture();
			const host = fixture.createHost();
			const stuck = fixture.createStuckHost();
			for (const {isInService, isStuck, isReleased} of plan) {
				const outcome: ZoneOrderOutcome = await (isStuck ? stuck.orders : host).order(ZONE, isInService, fixture.running);
				if (outcome === 'applied') {
					expect(isStuck).to.equal(false);
					stuck.release();
					expect(fixture.isOut()).to.equal(!isInService);
				}

				if (isReleased) {
					stuck.release();
				}
			}
		}), {seed: SEED, numRuns: 300});
	});

	// Guards against an order that is sent after its caller has turned to another host, as by a host that was suspended.
	it('are not sent once the caller has gone or the deadline has passed', async () => {
		const fixture = new ZoneFixture();
		const ended = new AbortController();
		fixture.isLeaderReachable = false;
		const withdrawn = fixture.createHost().order(ZONE, false, ended.signal);
		const late = fixture.createHost().order(ZONE, false, fixture.running);
		await fixture.clock.run(100);
		ended.abort();
		fixture.clock.advance(ZONE_ORDER_DEADLINE_MS);
		fixture.isLeaderReachable = true;
		await fixture.clock.run(1000);
		expect(await Promise.all([withdrawn, late])).to.deep.equal(['unconfirmed', 'unconfirmed']);
		expect(fixture.proposed).to.deep.equal([]);
	});

	// Guards against zones that cannot be evacuated while the leader runs an older build.
	it('are given to a leader that does not count them', async () => {
		const fixture = new ZoneFixture();
		fixture.readFailure = {code: 'failed', message: 'unknown method'};
		expect(await fixture.createHost().order(ZONE, false, fixture.running)).to.equal('applied');
		expect(fixture.isOut()).to.equal(true);
	});

	// Guards against members whose states differ after an update of the build, since one has a snapshot where the other applies the earlier orders again.
	it('take effect alike at members that know the orders of an older build from a snapshot or from the log', () => {
		const replayed = new FleetState();
		replayed.apply(replayed.encode({kind: 'setZoneService', zone: ZONE, isInService: false}));
		const restored = restoreUncounted(replayed);
		for (const state of [replayed, restored]) {
			state.apply(state.encode({
				kind: 'setZoneService', zone: ZONE, isInService: true, follows: restored.getZoneOrderCount(ZONE),
			}));
		}

		expect(replayed.getZonesOut()).to.deep.equal(restored.getZonesOut());
		expect(replayed.getZoneOrderCount(ZONE)).to.equal(restored.getZoneOrderCount(ZONE));
	});
});
