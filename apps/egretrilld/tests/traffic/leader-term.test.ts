import {createRandom, ManualClock} from '@egretrill/common';
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

/** One term of a leader whose entry hosts the test names. */
class TermWorld extends LogLines {
	readonly clock = new ManualClock();
	readonly term: LeaderTerm;
	private entryHosts: readonly string[] = [];

	constructor() {
		super('control');
		this.term = new LeaderTerm({
			clock: this.clock,
			random: createRandom(1),
			logger: this.logger,
			node: {isLeaderWithLease: () => true, status: () => ({term: 1})} as unknown as ConstructorParameters<typeof LeaderTerm>[0]['node'],
			registry: new TargetRegistry(this.clock, 'origin'),
			orders: new NoOrders(),
			hostId: 'h',
			term: 1,
			orderLeaseMs: 3000,
			getZonesOut: () => [],
			getClasses: () => new Map(),
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
		this.term.takeReport(report);
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
});
