import {
	createLogger, createRandom, type Logger, ManualClock, type ScalingRange,
} from '@egretrill/common';
import {expect} from 'chai';
import {
	EngineDuty, ProviderDuties, SlotUsePolicy, type ZoneEngines,
} from '../src/index.js';
import {MemoryDutyLog} from './support/memory-duty-log.js';
import {CountingDutyObserver, RecordingProvider} from './support/recording-provider.js';

const SLOTS = 24;
const BOOT_MS = 8000;
const TAKEOVER_MS = 3300;
const WAVE_MS = 11_000;
const LEASE_MS = 3000;
const REGISTRATION_TTL_MS = 6000;

/** Leaders in turn, and one zone of 14 engines whose slots a demand takes that swings in waves. */
class Zone {
	readonly clock = new ManualClock();
	readonly log = new MemoryDutyLog();
	readonly provider = new RecordingProvider(this.clock);
	live = 14;
	/** Most engines that the provider has. */
	capacity = Infinity;
	/** Engines that were withdrawn and are not replaced. */
	lost = 0;
	range: ScalingRange | undefined = {min: 12, max: 28, bootMs: BOOT_MS};
	hasAllReports = true;
	readonly observer = new CountingDutyObserver();
	readonly logged: string[] = [];
	/** Zones that are the same as the first. */
	otherZones: string[] = [];
	/** Mean demand in slots, and its swing. */
	demand = 0;
	swing = 0.27;
	private leaderEnded = new AbortController();

	lead(holder: string, fencingToken: number): void {
		this.leaderEnded.abort();
		const ended = new AbortController();
		this.leaderEnded = ended;
		const common = {
			clock: this.clock, random: createRandom(3), logger: this.createRecordingLogger(), observer: this.observer, firstCallAtMs: this.clock.now() + TAKEOVER_MS,
		};
		const duty = new EngineDuty({
			...common,
			log: this.log,
			calls: this.provider,
			policy: new SlotUsePolicy(),
			holder: {holder, fencingToken},
			orderLeaseMs: LEASE_MS,
			registrationTtlMs: REGISTRATION_TTL_MS,
			getRange: () => this.range,
			listZones: () => ['z1', ...this.otherZones].flatMap(name => this.describe(name)),
			hasAllReports: () => this.hasAllReports,
		});
		void new ProviderDuties({
			...common, callsPerSecond: 2, mayCall: () => !ended.signal.aborted, duties: [duty],
		}).run(ended.signal);
	}

	/** Runs the zone; engines that the provider has accepted serve after their start. */
	async run(ms: number): Promise<void> {
		const endMs = this.clock.now() + ms;
		while (this.clock.now() < endMs) {
			const accepted = this.log.getOrders().find(({isAccepted}) => isAccepted)?.count;
			await this.clock.run(500);
			const count = Math.min((accepted ?? this.live + this.lost) - this.lost, this.capacity);
			if (count !== this.live) {
				void this.startEngines(count);
			}
		}
	}

	end(): void {
		this.leaderEnded.abort();
	}

	private createRecordingLogger(): Logger {
		const logger = createLogger('test', 'fatal');
		const record = (_fields: unknown, message: string): void => {
			this.logged.push(message);
		};

		return Object.assign(logger, {info: record, warn: record});
	}

	private async startEngines(count: number): Promise<void> {
		await this.clock.sleep(count > this.live ? BOOT_MS : 0);
		this.live = count;
	}

	private describe(zone: string): ZoneEngines[] {
		const demand = this.demand * (1 + (this.swing * Math.sin(2 * Math.PI * this.clock.now() / WAVE_MS)));
		const running = Math.min(demand, this.live * SLOTS);
		return this.range
			? [{
				service: 'm', zone, range: this.range, live: this.live, slotsPerEngine: SLOTS, running, waiting: 0,
			}]
			: [];
	}
}

describe('engine orders', () => {
	let zone: Zone;

	beforeEach(() => {
		zone = new Zone();
		zone.lead('c1', 1);
	});

	afterEach(() => {
		zone.end();
	});

	// Guards against calls that change nothing, and against a zone that goes up and down with the waves of its traffic.
	it('orders nothing while the waves of traffic fit', async () => {
		zone.demand = 0.65 * 14 * SLOTS;
		await zone.run(120_000);
		expect(zone.provider.received).to.deep.equal([]);
	});

	// Guards against an idle zone that is paid for in full, or that is cut at once.
	it('reduces an idle zone slowly to its minimum', async () => {
		await zone.run(200_000);
		expect(zone.provider.received).toMatchSnapshot();
	});

	// Guards against a crowded zone that grows too late, or beyond its demand while new engines start; refused requests are in no count. What is no longer needed is given up slowly.
	it('enlarges a crowded zone early and reduces it late', async () => {
		zone.demand = 1.4 * 14 * SLOTS;
		await zone.run(60_000);
		zone.demand = 0.3 * 14 * SLOTS;
		await zone.run(200_000);
		expect(zone.provider.received).toMatchSnapshot();
	});

	// Guards against a reduction because a part of the zone is out of touch.
	it('reduces no zone without the reports of all hosts, or while an engine restarts', async () => {
		zone.hasAllReports = false;
		await zone.run(60_000);
		zone.hasAllReports = true;
		zone.live = 13;
		await zone.run(12_000);
		expect(zone.provider.received).to.deep.equal([]);
	});

	// Guards against a zone that stays crowded because engines were withdrawn and the last order still names them, and one that grows for engines that only restart.
	it('replaces engines that stay away', async () => {
		zone.demand = 0.7 * 14 * SLOTS;
		await zone.run(20_000);
		zone.live = 10;
		await zone.run(10_000);
		const restarting = [...zone.provider.received];
		zone.lost = 4;
		await zone.run(60_000);
		expect({restarting, lost: zone.provider.received, live: zone.live}).toMatchSnapshot();
	});

	// Guards against an order that is lost with its leader, one that is sent again although it was accepted, and calls of two holders within a lease.
	it('repeats under a new leader what was not accepted', async () => {
		zone.demand = 1.2 * 14 * SLOTS;
		zone.swing = 0;
		zone.provider.outcomes = ['unknown', 'limited', 'unknown'];
		await zone.run(8500);
		zone.lead('c2', 2);
		await zone.run(5000);
		const before = [...zone.provider.received];
		zone.lead('c3', 3);
		await zone.run(6000);
		expect({before, later: zone.provider.received.slice(before.length)}).toMatchSnapshot();
	});

	// Guards against a zone whose order keeps failing, and that keeps all other zones from being served.
	it('sends the orders of all zones in turn', async () => {
		zone.otherZones = ['z2'];
		zone.demand = 1.2 * 14 * SLOTS;
		zone.swing = 0;
		zone.provider.outcomes = ['unknown', 'unknown', 'unknown', 'unknown'];
		await zone.run(11_000);
		expect(zone.provider.received).toMatchSnapshot();
	});

	// Guards against an order below what runs, from the engines that have registered shortly after a start or within reach.
	it('orders nothing without an earlier order while engines still register', async () => {
		zone.demand = 20 * SLOTS;
		for (zone.live = 4; zone.live < 14; zone.live += 2) {
			await zone.run(4000);
		}

		zone.hasAllReports = false;
		await zone.run(10_000);
		const early = [...zone.provider.received];
		zone.hasAllReports = true;
		await zone.run(3000);
		expect({early, later: zone.provider.received}).toMatchSnapshot();
	});

	// Guards against an order from the first engines that a zone has again after it was out of service.
	it('waits again after a zone was out of touch', async () => {
		const {range} = zone;
		zone.demand = 20 * SLOTS;
		zone.range = undefined;
		await zone.run(10_000);
		zone.range = range;
		await zone.run(2000);
		zone.range = undefined;
		await zone.run(5000);
		zone.range = range;
		await zone.run(6000);
		expect(zone.provider.received).to.deep.equal([]);
	});

	// Guards against orders that go back and forth at the provider within its lease, because an earlier one was decided long before it was sent.
	it('keeps the interval between orders from the last call', async () => {
		await zone.log.recordOrder({service: 'm', zone: 'z1', count: 14});
		zone.provider.outcomes = ['limited', 'limited'];
		await zone.run(5000);
		zone.range = {min: 16, max: 28, bootMs: BOOT_MS};
		await zone.run(8000);
		expect(zone.provider.received).toMatchSnapshot();
	});

	// Guards against a recorded order that is sent although the configuration no longer allows it.
	it('sends no order outside the range, or without one', async () => {
		await zone.log.recordOrder({service: 'm', zone: 'z1', count: 40});
		await zone.run(5000);
		zone.range = undefined;
		await zone.run(20_000);
		expect(zone.provider.received).to.deep.equal([]);
		expect(zone.observer.last).to.deep.equal({
			kind: 'ordered', service: 'm', zone: 'z1', count: 0,
		});
	});

	// Guards against an order that grows up to the maximum while the provider has no more engines.
	it('orders no more engines in place of those that never appeared', async () => {
		zone.demand = 15 * SLOTS;
		zone.swing = 0;
		zone.capacity = 14;
		await zone.run(120_000);
		expect(zone.provider.received).toMatchSnapshot();
	});

	// Guards against a log that tells of a changed number of engines, or of an order, before the provider has accepted it.
	it('logs decisions and calls as such', async () => {
		zone.demand = 1.2 * 14 * SLOTS;
		zone.provider.outcomes = ['unknown'];
		await zone.run(9000);
		expect(zone.logged).to.deep.equal([
			'A new number of engines was decided for a zone.', 'The provider was called with a number of engines.', 'The provider was called with a number of engines.',
		]);
	});
});
