import {
	Announcement, createRandom, ManualClock, type Random,
} from '@egretrill/common';
import {
	ColdPermitHolder, type ColdReport, ColdStartRamp, CostRouting,
	type HeldPermit, type PermitAnswer, type PermitRelease, type PermitRenewal, type PermitRequest, PermitTransport, type RoutingRequest, TargetDirectory,
} from '@egretrill/engines';
import {EventQueue} from './event-queue.js';

const HOSTS = 8;
const TARGETS = 3;
const SLOTS = 16;
const RUN_MS = 60_000;
const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 500;
const RENEW_INTERVAL_MS = 500;
/** More than two warm targets can serve, so that the hosts load the third one as soon as it registers. */
const REQUESTS_PER_SECOND = 60;
const MEAN_REQUEST_MS = 600;
const DOWN_MS = 3000;
const RETRY_MS = 250;
const ROUTING_TIMEOUT_MS = 10_000;
const RESTARTS_MS = [10_000, 25_000, 40_000];
/** Falls into the ramp after the second restart. */
const OWNER_CHANGE_MS = 29_800;
/** A cold target fails requests when its load exceeds this multiple of the load that it sustains. */
const FAILURE_RATIO = 2;
const FAILURE_MS = 100;

const ZONE_STATES = {a: {state: 'in-service', distanceMs: 0}} as const;

/** Delivers permit messages to a ramp in the same process. */
class InProcessTransport extends PermitTransport {
	constructor(private readonly getOwner: () => ColdStartRamp) {
		super();
	}

	async requestPermit(_zone: string, req: PermitRequest): Promise<PermitAnswer> {
		return this.getOwner().requestPermit(req);
	}

	async releasePermit(_zone: string, release: PermitRelease): Promise<void> {
		this.getOwner().releasePermit(release);
	}

	async renewPermits(_zone: string, renewal: PermitRenewal): Promise<void> {
		this.getOwner().renewPermits(renewal);
	}

	async reportCold(_zone: string, report: ColdReport): Promise<void> {
		this.getOwner().reportCold(report);
	}
}

/** A target that sustains one request after a start; each completed request doubles the number. */
class ColdTarget {
	running = 0;
	isDown = false;
	startCount = 1;
	highestRatio = 0;
	private sustained = SLOTS;

	constructor(readonly targetId: string) {}

	get startId(): string {
		return `${this.targetId}-s${this.startCount}`;
	}

	/** Stops the process; returns the number of requests that it interrupts. */
	stop(): number {
		const interrupted = this.running;
		this.isDown = true;
		this.startCount += 1;
		this.running = 0;
		return interrupted;
	}

	start(): void {
		this.isDown = false;
		this.sustained = 1;
	}

	/** Accepts a request; returns false when the load exceeds the failure ratio. */
	accept(): boolean {
		this.running += 1;
		// A warm target queues requests above its slots, so only the load during the ramp is measured.
		const ratio = this.sustained < SLOTS ? this.running / this.sustained : 0;
		this.highestRatio = Math.max(this.highestRatio, ratio);
		return ratio <= FAILURE_RATIO;
	}

	complete(hasSucceeded: boolean): void {
		this.running -= 1;
		this.sustained = hasSucceeded ? Math.min(SLOTS, this.sustained * 2) : this.sustained;
	}

	announce(): Announcement {
		return Announcement.parse({
			targetId: this.targetId,
			startId: this.startId,
			zone: 'a',
			address: '127.0.0.1:1',
			kind: 'engine',
			load: {
				running: Math.min(SLOTS, this.running), waiting: Math.max(0, this.running - SLOTS), limit: SLOTS, kvUsedRatio: 0,
			},
			resident: [{model: 'm0', version: 'v1'}],
			cold: this.sustained < SLOTS,
		});
	}
}

type SimulatedHost = {readonly directory: TargetDirectory; readonly holder: ColdPermitHolder; owner: ColdStartRamp | undefined};

/** Simulates hosts and targets; the ramp runs either on the zone owner or on each host. */
class SimulatedFleet {
	private readonly queue = new EventQueue(new ManualClock());
	private readonly random: Random;
	private readonly policy = new CostRouting();
	private readonly targets = Array.from({length: TARGETS}, (_, index) => new ColdTarget(`t${index}`));
	private readonly hosts: readonly SimulatedHost[];
	private zoneOwner: ColdStartRamp;
	private answered = 0;
	private failed = 0;
	private interrupted = 0;
	private timedOutRequests = 0;

	constructor(private readonly hasSharedRamp: boolean, seed: number) {
		const {clock} = this.queue;
		this.random = createRandom(seed);
		this.zoneOwner = new ColdStartRamp({clock, ownerEpoch: 1});
		this.hosts = Array.from({length: HOSTS}, (_, index) => {
			const directory = new TargetDirectory({clock, epoch: `h${index}`});
			const owner = hasSharedRamp ? undefined : new ColdStartRamp({clock, ownerEpoch: 1});
			const transport = new InProcessTransport(() => owner ?? this.zoneOwner);
			return {
				directory,
				owner,
				holder: new ColdPermitHolder({
					hostId: `h${index}`, clock, transport, directory, random: this.random,
				}),
			};
		});
	}

	async run(): Promise<Record<string, unknown>> {
		for (const target of this.targets) {
			this.report(target);
		}

		for (const [index, atMs] of RESTARTS_MS.entries()) {
			const target = this.targets[index]!;
			this.queue.schedule(atMs, () => {
				this.interrupted += target.stop();
			});
			this.queue.schedule(atMs + DOWN_MS, () => {
				target.start();
			});
		}

		this.queue.schedule(OWNER_CHANGE_MS, () => {
			this.zoneOwner = new ColdStartRamp({clock: this.queue.clock, ownerEpoch: 2});
		});
		this.queue.schedule(RENEW_INTERVAL_MS, async () => this.renew());
		this.queue.schedule(2000, () => {
			this.handleArrival();
		});
		await this.queue.runUntil(RUN_MS);
		return {
			answered: this.answered,
			failedOnColdTarget: this.failed,
			gaveUp: this.timedOutRequests,
			interruptedByRestart: this.interrupted,
			highestLoadOverSustained: Math.max(...this.targets.map(target => target.highestRatio)),
		};
	}

	private report(target: ColdTarget): void {
		if (!target.isDown) {
			const announcement = target.announce();
			this.queue.schedule(REPORT_DELAY_MS, () => {
				this.deliver(announcement);
			});
		}

		this.queue.schedule(REPORT_INTERVAL_MS, () => {
			this.report(target);
		});
	}

	private deliver(announcement: Announcement): void {
		for (const {directory} of this.hosts) {
			directory.recordAnnouncement(announcement);
			if (announcement.startId.endsWith('-s1')) {
				directory.recordWarmth(announcement.targetId, announcement.startId, {generation: 0, warm: true});
			}
		}

		const observers = this.hasSharedRamp ? this.hosts.slice(0, 1) : this.hosts;
		for (const {directory, owner} of observers) {
			const ramp = owner ?? this.zoneOwner;
			for (const {entry, ageMs} of directory.getTargets()) {
				ramp.observe(entry, ageMs);
			}

			const readers = this.hasSharedRamp ? this.hosts.map(host => host.directory) : [directory];
			for (const {targetId, startId, warmth} of ramp.getWarmths()) {
				for (const readerDirectory of readers) {
					readerDirectory.recordWarmth(targetId, startId, warmth);
				}
			}
		}
	}

	private async renew(): Promise<void> {
		await Promise.all(this.hosts.map(async ({holder}) => holder.renew()));
		this.queue.schedule(RENEW_INTERVAL_MS, async () => this.renew());
	}

	private handleArrival(): void {
		const host = this.hosts[Math.floor(this.random() * HOSTS)]!;
		const arrivedAtMs = this.queue.clock.now();
		this.queue.schedule(0, async () => this.route(host, arrivedAtMs));
		this.queue.schedule(-Math.log(1 - this.random()) * 1000 / REQUESTS_PER_SECOND, () => {
			this.handleArrival();
		});
	}

	private async route(host: SimulatedHost, arrivedAtMs: number): Promise<void> {
		let excluded: RoutingRequest['excluded'] = [];
		for (;;) {
			const candidates = host.directory.getCandidates({model: 'm0', zoneStates: ZONE_STATES, hostZone: 'a'});
			const choice = this.policy.choose(candidates, {
				model: 'm0', known: true, prompt: '', excluded,
			}, this.random);
			if (choice.isErr) {
				this.retry(host, arrivedAtMs);
				return;
			}

			const {targetId, startId, needsPermit} = choice.value;
			const permit = needsPermit ? await host.holder.acquire(choice.value) : undefined;
			const target = this.targets.find(candidate => candidate.targetId === targetId)!;
			if (permit?.isErr) {
				excluded = [...excluded, {targetId, reason: 'permit-denied'}];
			} else if (target.isDown || target.startId !== startId) {
				host.directory.recordConnectFailure(targetId, startId);
				excluded = [...excluded, {targetId, reason: 'tried'}];
			} else {
				this.send(host, target, permit?.value);
				return;
			}
		}
	}

	private retry(host: SimulatedHost, arrivedAtMs: number): void {
		if (this.queue.clock.now() - arrivedAtMs >= ROUTING_TIMEOUT_MS) {
			this.timedOutRequests += 1;
			return;
		}

		this.queue.schedule(RETRY_MS, async () => this.route(host, arrivedAtMs));
	}

	private send(host: SimulatedHost, target: ColdTarget, permit: HeldPermit | undefined): void {
		const {targetId, startId} = target;
		const request = host.directory.startRequest(targetId, startId);
		const hasSucceeded = target.accept();
		// Above its slots a target serves all its requests at the throughput of its slots.
		const durationMs = hasSucceeded ? MEAN_REQUEST_MS * (0.5 + this.random()) * Math.max(1, target.running / SLOTS) : FAILURE_MS;
		this.queue.schedule(durationMs, async () => {
			if (request) {
				host.directory.endRequest(request);
			}

			if (permit) {
				await host.holder.release(permit, hasSucceeded ? 'completed' : 'failed');
			}

			if (target.startId !== startId) {
				return;
			}

			target.complete(hasSucceeded);
			this.answered += hasSucceeded ? 1 : 0;
			this.failed += hasSucceeded ? 0 : 1;
		});
	}
}

/** Compares a ramp on the zone owner with a separate ramp on each host, over three restarts and a change of the owner. */
export async function runColdStartBench({seed}: {seed: number}): Promise<Record<string, unknown>> {
	return {
		seed,
		zoneOwner: await new SimulatedFleet(true, seed).run(),
		eachHostAlone: await new SimulatedFleet(false, seed).run(),
	};
}
