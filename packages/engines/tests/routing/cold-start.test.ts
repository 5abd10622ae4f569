import {createRandom, ManualClock, MAX_SOUND_SILENCE_MS} from '@egretrill/common';
import {expect} from 'chai';
import {
	ColdPermitHolder, type ColdReport, ColdStartRamp, ColdTargetDetector,
	type HeldPermit, type PermitAnswer, type PermitOutcome, type PermitRelease, type PermitRenewal, type PermitRequest, PermitTransport, TargetDirectory,
} from '../../src/routing/index.js';
import {announce} from './helpers.js';

const seed = 23;
const choice = {targetId: 't1', startId: 't1-s1', zone: 'a'};

/** Calls the owner in-process. Every call rejects if there is no owner or the host is disconnected from it. */
class LocalTransport extends PermitTransport {
	readonly deadHosts = new Set<string>();

	constructor(public owner: ColdStartRamp | undefined) {
		super();
	}

	async requestPermit(_zone: string, req: PermitRequest): Promise<PermitAnswer> {
		return this.getOwner(req.hostId).requestPermit(req);
	}

	async releasePermit(_zone: string, release: PermitRelease): Promise<void> {
		this.getOwner(release.hostId).releasePermit(release);
	}

	async renewPermits(_zone: string, renewal: PermitRenewal): Promise<void> {
		this.getOwner(renewal.hostId).renewPermits(renewal);
	}

	async reportCold(_zone: string, report: ColdReport): Promise<void> {
		this.getOwner(report.hostId).reportCold(report);
	}

	private getOwner(hostId: string): ColdStartRamp {
		if (!this.owner || this.deadHosts.has(hostId)) {
			throw new Error('No owner answers.');
		}

		return this.owner;
	}
}

/** Hosts that each send as many requests to one target as their permits allow. */
class Fleet {
	readonly clock = new ManualClock();
	readonly random = createRandom(seed);
	readonly transport = new LocalTransport(undefined);
	readonly directory = new TargetDirectory({clock: this.clock, epoch: 'e1'});
	hosts: ColdPermitHolder[] = [];
	running: Array<{host: ColdPermitHolder; held: HeldPermit; endsAtMs: number}> = [];
	startId = 't1-s1';
	isCold = true;
	limit = 16;
	completed = 0;
	/** Each load that exceeded what the completed requests of the current ramp allow. */
	readonly excesses: string[] = [];

	addHosts(count: number): void {
		for (let index = 0; index < count; index++) {
			this.hosts.push(new ColdPermitHolder({
				hostId: `h${this.hosts.length}`, clock: this.clock, transport: this.transport, directory: this.directory, random: this.random,
			}));
		}
	}

	startOwner(ownerEpoch: number): void {
		this.transport.owner = new ColdStartRamp({clock: this.clock, ownerEpoch});
	}

	getAllowed(): number {
		return Math.min(this.limit, 2 ** this.completed);
	}

	/** Runs for the given time in steps of 50 ms; reports are sent with the lag that the ramp assumes. */
	async run(durationMs: number, requestMs = 400, outcome: PermitOutcome = 'completed'): Promise<number> {
		let highest = 0;
		for (let step = 0; step < durationMs / 50; step++) {
			if (step % 10 === 0) {
				this.report();
			}

			await this.end(outcome);
			for (const host of this.hosts) {
				const acquired = await host.acquire({...choice, startId: this.startId});
				if (acquired.isOk) {
					this.running.push({host, held: acquired.value, endsAtMs: this.clock.now() + (requestMs * (0.5 + this.random()))});
				}
			}

			highest = Math.max(highest, this.running.length);
			const isWarm = this.directory.getTargets().some(target => target.entry.warmth.warm);
			if (!isWarm && this.running.length > this.getAllowed()) {
				this.excesses.push(`${this.running.length} of ${this.getAllowed()} at ${this.clock.now()} ms`);
			}

			await Promise.all(this.hosts.map(async host => host.renew()));
			this.clock.advance(50);
		}

		return highest;
	}

	report(): void {
		this.directory.recordAnnouncement(announce('t1', {startId: this.startId, cold: this.isCold, load: {running: this.running.length, limit: this.limit}}));
		for (const {entry, ageMs} of this.directory.getTargets()) {
			this.transport.owner?.observe(entry, ageMs);
		}

		for (const {targetId, startId, warmth} of this.transport.owner?.getWarmths() ?? []) {
			this.directory.recordWarmth(targetId, startId, warmth);
		}
	}

	private async end(outcome: PermitOutcome): Promise<void> {
		const nowMs = this.clock.now();
		const ended = this.running.filter(request => request.endsAtMs <= nowMs);
		this.running = this.running.filter(request => request.endsAtMs > nowMs);
		for (const {host, held} of ended) {
			await host.release(held, outcome);
			this.completed += outcome === 'completed' ? 1 : 0;
		}
	}
}

async function createFleet(hosts = 8): Promise<Fleet> {
	const fleet = new Fleet();
	fleet.startOwner(1);
	fleet.addHosts(hosts);
	return fleet;
}

describe('cold-start ramp', () => {
	it('limits eight hosts to one request in total, doubled with each completion, up to the limit', async () => {
		const fleet = await createFleet();
		const quiet = await fleet.run(4000);
		const ramped = await fleet.run(6000);
		expect({quiet, ramped, excesses: fleet.excesses}).to.deep.equal({quiet: 0, ramped: 16, excesses: []});
	});

	it('stays within the ramp when the owner dies and the new owner has none of its permits', async () => {
		const fleet = await createFleet();
		await fleet.run(4900, 100);
		const before = await fleet.run(500, 3000);
		fleet.startOwner(2);
		const afterTakeover = await fleet.run(4000, 3000);
		// The ramp of the new owner starts at one request, regardless of the requests completed under the previous owner.
		fleet.completed = 0;
		const ramped = await fleet.run(20_000, 800);
		expect({
			before, afterTakeover, ramped, excesses: fleet.excesses,
		}).to.deep.equal({
			before: 16, afterTakeover: 16, ramped: 16, excesses: [],
		});
	});

	it('stays within the ramp when a host joins', async () => {
		const fleet = await createFleet(7);
		await fleet.run(5000);
		fleet.addHosts(1);
		const highest = await fleet.run(5000);
		expect({highest, excesses: fleet.excesses}).to.deep.equal({highest: 16, excesses: []});
	});

	it('resets the ramp when the target restarts or becomes cold without announcing it', async () => {
		const fleet = await createFleet();
		const highest: number[] = [await fleet.run(8000)];
		fleet.isCold = false;
		await fleet.run(1000, 100);
		const isWarm = fleet.directory.getTargets()[0]!.entry.warmth.warm;
		await fleet.run(0);
		fleet.running = [];
		fleet.completed = 0;
		fleet.startId = 't1-s2';
		highest.push(await fleet.run(300, 5000));
		await fleet.run(12_000);
		fleet.running = [];
		fleet.completed = 0;
		fleet.isCold = true;
		highest.push(await fleet.run(300, 5000));
		expect({isWarm, highest, excesses: fleet.excesses}).toMatchSnapshot();
	});

	it('counts the request of a dead host until a report shows that it has ended', async () => {
		const fleet = await createFleet(1);
		await fleet.run(4500);
		await fleet.run(100, 60_000);
		fleet.transport.deadHosts.add('h0');
		fleet.addHosts(1);
		const whileRunning = await fleet.run(5000);
		fleet.running = [];
		const afterEnd = await fleet.run(2000, 60_000);
		expect({whileRunning, afterEnd}).to.deep.equal({whileRunning: 1, afterEnd: 1});
	});

	// Guards against a second request while the target still runs one that its host cancelled at the deadline.
	it('counts a request that its host cancelled until a report shows that it has ended', async () => {
		const highest: number[] = [];
		for (const outcome of ['failed', 'cancelled'] as const) {
			const fleet = await createFleet(1);
			await fleet.run(4500);
			await fleet.run(100, 60_000);
			await fleet.hosts[0]!.release(fleet.running[0]!.held, outcome);
			highest.push(await fleet.run(5000, 60_000));
			fleet.running = [];
			highest.push(await fleet.run(2000, 60_000));
		}

		expect(highest).to.deep.equal([1, 1, 1, 1]);
	});

	it('resets the ramp after a failed request', async () => {
		const fleet = await createFleet();
		const before = await fleet.run(5600);
		await fleet.run(1000, 100, 'failed');
		const after = await fleet.run(1000, 100, 'failed');
		expect({hadRamped: before > 1, after}).to.deep.equal({hadRamped: true, after: 1});
	});

	it('resets the ramp when the reported limit of a warm target drops sharply', async () => {
		const fleet = await createFleet();
		await fleet.run(8000);
		fleet.isCold = false;
		await fleet.run(1500, 100);
		const isWarm = fleet.directory.getTargets()[0]!.entry.warmth.warm;
		fleet.running = [];
		fleet.completed = 0;
		fleet.limit = 4;
		const highest = await fleet.run(300, 5000);
		expect({isWarm, highest, excesses: fleet.excesses}).to.deep.equal({isWarm: true, highest: 1, excesses: []});
	});

	it('continues to ramp when a target that first reports a low limit suddenly raises it', async () => {
		const fleet = await createFleet();
		fleet.isCold = false;
		fleet.limit = 1;
		await fleet.run(6000, 100);
		const isWarm = fleet.directory.getTargets()[0]!.entry.warmth.warm;
		fleet.running = [];
		fleet.completed = 0;
		fleet.limit = 16;
		const highest = await fleet.run(450, 5000);
		expect({isWarm, highest, excesses: fleet.excesses}).to.deep.equal({isWarm: true, highest: 1, excesses: []});
	});

	it('grants no permit for a cold target when no owner answers, and reports that nothing ran', async () => {
		const fleet = await createFleet(1);
		fleet.transport.owner = undefined;
		const refused = await fleet.hosts[0]!.acquire(choice);
		expect(refused.isErr && refused.error).toMatchSnapshot();
	});

	it('does not use a permit whose answer arrived too late', async () => {
		const fleet = await createFleet(1);
		await fleet.run(4500);
		fleet.report();
		const held = await fleet.hosts[0]!.acquire(choice);
		const seen = [held.isOk && fleet.hosts[0]!.canWrite(held.value)];
		fleet.clock.advance(500);
		seen.push(held.isOk && fleet.hosts[0]!.canWrite(held.value));
		expect(seen).to.deep.equal([true, false]);
	});

	it('detects a cold target after three consecutive slow or failed requests, not after one', () => {
		const clock = new ManualClock();
		const detector = new ColdTargetDetector(clock);
		const latencies: ReadonlyArray<number | 'failed'> = [...Array.from({length: 8}, () => 200), 900, 200, 900, 'failed', 900, 900];
		const seen = latencies.map(latency => {
			clock.advance(latency === 'failed' ? 0 : latency);
			return detector.record('t1', 't1-s1', latency);
		});
		expect(seen.lastIndexOf(true)).to.equal(12);
	});

	// Guards against a sound engine that is taken for cold since all requests that were sent to it before or during a silence are answered late.
	it('counts the requests that a silence delays as one', () => {
		const detector = new ColdTargetDetector(new ManualClock());
		const latencies = [...Array.from({length: 8}, () => 200), ...Array.from({length: 10}, (_, i) => MAX_SOUND_SILENCE_MS - (100 * i))];
		expect(latencies.map(latency => detector.record('t1', 't1-s1', latency))).to.not.include(true);
	});
});
