import {
	createRandom, LoopMeter, LoopWatch, ManualClock,
} from '@egretrill/common';
import {EngineOrders, type EngineReport, TargetRegistry} from '@egretrill/engines';
import {expect} from 'chai';
import {type EntryReport, LeaderTerm} from '../../src/traffic/index.js';
import {LogCapture} from './support/log-capture.js';

class NoOrders extends EngineOrders {
	override async send(): Promise<'not-sent'> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport | undefined> {
		return undefined;
	}
}

class PlanDurationRecorder extends LoopMeter {
	readonly planMs: number[] = [];

	override recordDelay(): void {
		// Only planning durations are recorded.
	}

	override recordPlan(tookMs: number): void {
		this.planMs.push(tookMs);
	}
}

/** One term of a leader with entry hosts set by the test. */
class LeaderTermFixture extends LogCapture {
	readonly clock = new ManualClock();
	readonly meter = new PlanDurationRecorder();
	readonly watch: LoopWatch;
	readonly term: LeaderTerm;
	private entryHosts: readonly string[] = [];

	/** `planMs`: time for which each planning round blocks the event loop. */
	constructor(private readonly planMs = 0) {
		super('control');
		this.watch = new LoopWatch(this.clock, this.logger, this.meter);
		this.term = new LeaderTerm({
			clock: this.clock,
			random: createRandom(1),
			logger: this.logger,
			watch: this.watch,
			node: {isLeaderWithLease: () => true, status: () => ({term: 1})} as unknown as ConstructorParameters<typeof LeaderTerm>[0]['node'],
			state: {getCrashes: () => []},
			getTimeOfDayMs: () => this.clock.now(),
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

	report(hostId: string): void {
		const report: EntryReport = {
			hostId, startId: `${hostId}-1`, running: [], adapters: [], arrivals: [], waiting: [], rates: {ackedSerial: 0, standing: 0, demand: []},
		};
		this.term.handleReport(report);
	}
}

describe('log lines of a leader', () => {
	// Guards against lines that repeat all entry hosts, so that the kept output of the leader covers only seconds.
	it('list added and removed entry hosts, and their number', async () => {
		const fixture = new LeaderTermFixture();
		const running = fixture.term.run();
		for (const hostId of ['e1', 'e2', 'e3']) {
			fixture.report(hostId);
		}

		await fixture.clock.run(10_000);
		fixture.report('e4');
		fixture.report('e1');
		fixture.report('e2');
		await fixture.clock.run(10_000);
		fixture.term.end();
		await fixture.clock.run(1);
		await running;
		expect(await fixture.getLines()).toMatchSnapshot();
	});

	// Guards against a planning round that takes so long that the leader loses its lease without a log line about the cause.
	it('report the duration of a planning round that blocked the event loop', async () => {
		const fixture = new LeaderTermFixture(700);
		const watching = new AbortController();
		const running = [fixture.term.run(), fixture.watch.run(watching.signal)];
		await fixture.clock.run(8000);
		fixture.term.end();
		watching.abort();
		await fixture.clock.run(1);
		await Promise.all(running);
		expect([fixture.meter.planMs, await fixture.getLines()]).toMatchSnapshot();
	});
});
