import {
	createRandom, LoopMeter, LoopWatch, ManualClock,
} from '@egretrill/common';
import {EngineOrders, type EngineReport, TargetRegistry} from '@egretrill/engines';
import {expect} from 'chai';
import {type EntryReport, LeaderTerm} from '../../src/traffic/index.js';
import {LogLines} from './support/log-lines.js';

class NoOrders extends EngineOrders {
	override async send(): Promise<'not-sent'> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport | undefined> {
		return undefined;
	}
}

class PlanRecorder extends LoopMeter {
	readonly planMs: number[] = [];

	override noteLate(): void {
		// Only the plans matter here.
	}

	override notePlan(tookMs: number): void {
		this.planMs.push(tookMs);
	}
}

/** One term of a leader whose entry hosts the test names. */
class TermWorld extends LogLines {
	readonly clock = new ManualClock();
	readonly meter = new PlanRecorder();
	readonly watch: LoopWatch;
	readonly term: LeaderTerm;
	private entryHosts: readonly string[] = [];

	/** Each round of planning holds the event loop for the given time. */
	constructor(private readonly planMs = 0) {
		super('control');
		this.watch = new LoopWatch(this.clock, this.logger, this.meter);
		this.term = new LeaderTerm({
			clock: this.clock,
			random: createRandom(1),
			logger: this.logger,
			watch: this.watch,
			node: {isLeaderWithLease: () => true, status: () => ({term: 1})} as unknown as ConstructorParameters<typeof LeaderTerm>[0]['node'],
			registry: new TargetRegistry(this.clock, 'origin'),
			orders: new NoOrders(),
			hostId: 'h',
			term: 1,
			orderLeaseMs: 3000,
			getZonesOut: () => [],
			getClasses: () => {
				this.clock.advance(this.planMs);
				return new Map();
			},
			getCustomers: () => new Map(),
			getEntryHosts: () => this.entryHosts,
			putEntryHosts: async hostIds => {
				this.entryHosts = hostIds;
				return true;
			},
		});
	}

	hear(hostId: string): void {
		const report: EntryReport = {
			hostId, startId: `${hostId}-1`, running: [], adapters: [], arrivals: [], waiting: [], rates: {ackedSerial: 0, standing: 0, demand: []},
		};
		this.term.handleReport(report);
	}
}

describe('lines of a leader', () => {
	// Guards against a line that repeats all entry hosts, so that the output kept of the leader reaches back only seconds.
	it('name the entry hosts that came and went, and how many there are', async () => {
		const world = new TermWorld();
		const running = world.term.run();
		for (const hostId of ['e1', 'e2', 'e3']) {
			world.hear(hostId);
		}

		await world.clock.run(10_000);
		world.hear('e4');
		world.hear('e1');
		world.hear('e2');
		await world.clock.run(10_000);
		world.term.end();
		await world.clock.run(1);
		await running;
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against a plan that takes so long that the leader loses its lease, without a line that says why.
	it('say how long a round of planning took that blocked the event loop', async () => {
		const world = new TermWorld(700);
		const watching = new AbortController();
		const running = [world.term.run(), world.watch.run(watching.signal)];
		await world.clock.run(8000);
		world.term.end();
		watching.abort();
		await world.clock.run(1);
		await Promise.all(running);
		expect([world.meter.planMs, await world.getLines()]).toMatchSnapshot();
	});
});
