import {createLogger, createRandom, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	FleetTime, ProviderDuties, UsageCounter, UsageDuty, UsageLedger,
} from '../src/index.js';
import {MemoryDutyLog} from './support/memory-duty-log.js';
import {CountingDutyObserver, RecordingProvider} from './support/recording-provider.js';

const WINDOW_MS = 5000;
const POLL_MS = 300;
const TAKEOVER_MS = 3300;
/** Fleet time at the start of a test, two seconds into a window. */
const START_MS = (1000 * WINDOW_MS) + 2000;

/** Leaders in turn, with entry hosts that poll the current one. */
class Fleet {
	readonly clock = new ManualClock();
	readonly log = new MemoryDutyLog();
	readonly provider = new RecordingProvider(this.clock);
	/** Deviations of the hosts' clocks from the time. */
	readonly clockErrorsMs = new Map<string, number>();
	readonly silentIds = new Set<string>();
	readonly counters = new Map(['h1', 'h2', 'h3'].map(id => [id, new UsageCounter(this.clock, () => this.getTimeOfDayMs(id))]));
	isLeading = true;
	private readonly ended = new AbortController();
	private leaderEnded = new AbortController();
	private ledger = new UsageLedger(this.clock);
	private time = new FleetTime(this.clock, () => this.counters.size);

	constructor() {
		this.lead('c1', 1);
		void this.runHosts();
	}

	/** Starts the term of a leader, and ends the one before. */
	lead(holder: string, fencingToken: number): void {
		this.leaderEnded.abort();
		const ended = new AbortController();
		this.leaderEnded = ended;
		this.ledger = new UsageLedger(this.clock);
		this.time = new FleetTime(this.clock, () => this.counters.size);
		const firstCallAtMs = this.clock.now() + TAKEOVER_MS;
		const common = {
			clock: this.clock, random: createRandom(3), logger: createLogger('test', 'fatal'), observer: new CountingDutyObserver(), firstCallAtMs,
		};
		const duty = new UsageDuty({
			...common,
			settings: {windowMs: WINDOW_MS, reportDeadlineMs: 10_000},
			log: this.log,
			calls: this.provider,
			ledger: this.ledger,
			time: this.time,
			holder: {holder, fencingToken},
			getHostIds: () => [...this.counters.keys()],
		});
		void new ProviderDuties({
			...common, callsPerSecond: 2, mayCall: () => this.isLeading && !ended.signal.aborted, duties: [duty],
		}).run(ended.signal);
	}

	/** Lets each host count a request of customer a every 100 ms. */
	async serve(ms: number): Promise<void> {
		for (let passedMs = 0; passedMs < ms; passedMs += 100) {
			for (const counter of this.counters.values()) {
				counter.record('a');
			}

			await this.clock.run(100);
		}
	}

	end(): void {
		this.ended.abort();
		this.leaderEnded.abort();
	}

	private getTimeOfDayMs(id: string): number {
		return START_MS + this.clock.now() + (this.clockErrorsMs.get(id) ?? 0);
	}

	private async runHosts(): Promise<void> {
		while (!this.ended.signal.aborted) {
			for (const [id, counter] of this.counters) {
				if (!this.silentIds.has(id)) {
					this.poll(id, counter);
				}
			}

			await this.clock.sleep(POLL_MS, this.ended.signal);
		}
	}

	private poll(id: string, counter: UsageCounter): void {
		const report = counter.createReport();
		this.time.record(id, report.timeOfDayMs);
		this.ledger.record(id, 's', report);
		const fleetTimeMs = this.time.now();
		if (fleetTimeMs !== undefined) {
			counter.follow({fleetTimeMs, windowMs: WINDOW_MS, settledThrough: this.log.getUsage().settledThrough});
		}
	}
}

describe('usage reports', () => {
	let fleet: Fleet;

	beforeEach(() => {
		fleet = new Fleet();
	});

	afterEach(() => {
		fleet.end();
	});

	// Guards against windows that are sent late, twice without need, or with the counts of another window.
	it('settles a window once all hosts have reported it, and sends it once', async () => {
		await fleet.serve(19_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against counts that move to other windows when the clocks of some hosts jump, among them the leader's.
	it('follows the median of the clocks', async () => {
		await fleet.serve(4000);
		fleet.clockErrorsMs.set('h1', 7000);
		await fleet.serve(15_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against other counts under the id of a window whose answer was lost, and against calls beyond the provider's limit.
	it('repeats a window exactly until the provider confirms it', async () => {
		fleet.provider.outcomes = ['unknown', 'limited', 'not-sent', 'unknown'];
		await fleet.serve(14_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against one refused report that holds up all later ones.
	it('goes on with later windows after a refusal', async () => {
		fleet.provider.outcomes = ['refused'];
		await fleet.serve(22_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against a report that is late because a host died, and against the loss of what it had reported.
	it('uses the last counts of a silent host in time for the deadline', async () => {
		await fleet.serve(6000);
		fleet.silentIds.add('h3');
		await fleet.serve(14_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against counts of a settled window that change with a new leader, whose hosts report more, and against calls of two holders within a lease.
	it('repeats under a new leader what was settled and not confirmed', async () => {
		await fleet.serve(4000);
		fleet.provider.outcomes = ['unknown', 'unknown'];
		await fleet.serve(4500);
		const settled = fleet.log.getUsage().unconfirmed;
		fleet.lead('c2', 2);
		for (const counter of fleet.counters.values()) {
			counter.record('late');
		}

		await fleet.serve(14_000);
		expect({settled, received: fleet.provider.received}).toMatchSnapshot();
	});

	// Guards against reports that rest on counts which a later leader does not know.
	it('sends nothing that the log has not confirmed', async () => {
		fleet.log.hasMajority = false;
		await fleet.serve(9000);
		const received = [...fleet.provider.received];
		fleet.log.hasMajority = true;
		await fleet.serve(3000);
		expect({received, later: fleet.provider.received}).toMatchSnapshot();
	});

	// Guards against a second settlement after an entry whose outcome the leader did not learn, and against needless repeats while acceptances are not recorded.
	it('keeps the counts of an entry whose answer was lost', async () => {
		fleet.log.losesAnswers = true;
		await fleet.serve(12_000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against a host that was frozen while its lease expired, and calls at its return.
	it('sends nothing after the lease has expired', async () => {
		await fleet.serve(7900);
		fleet.isLeading = false;
		await fleet.serve(6000);
		expect(fleet.provider.received).toMatchSnapshot();
	});

	// Guards against a host that started before the leader knew the time, and lost what it had counted until then.
	it('keeps the counts from before the leader knows the time', async () => {
		const clock = new ManualClock();
		const counter = new UsageCounter(clock, () => START_MS + clock.now());
		counter.record('a');
		counter.follow(undefined);
		await clock.run(1000);
		counter.record('a');
		counter.follow({fleetTimeMs: START_MS + clock.now(), windowMs: WINDOW_MS, settledThrough: -1});
		expect(counter.createReport().windows).to.deep.equal([{window: 1000, counts: [['a', 2]]}]);
	});
});
