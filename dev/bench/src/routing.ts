import {
	type Announcement, createRandom, ManualClock, type Random,
} from '@egretrill/common';
import {
	type BlockHasher, type Choice, CostRouting, createBlockHasher, PrefixCacheEstimate, RoundRobinRouting, type RoutingPolicy, TargetDirectory, TwoChoicesRouting, type ZoneConditions,
} from '@egretrill/engines';
import {build} from 'hdr-histogram-js';
import {EventQueue} from './event-queue.js';
import {SimulatedEngine} from './simulated-engine.js';

const ZONES = ['a', 'b', 'c'];
const HOSTS = 8;
const RUN_MS = 60_000;
const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 500;
const EVENT_DELAY_MS = 1000;
const EVENT_LOSS_RATIO = 0.1;
const SLOTS = 16;
const SEEDS = 8;
const PREFIXES_PER_MODEL = 6;
const RETRY_MS = 250;
const ROUTING_TIMEOUT_MS = 10_000;

type Size = {readonly name: string; readonly engines: number; readonly models: number; readonly zoneDistanceMs: number; readonly requestsPerSecond: number};

/** The two existing deployments; the rates keep about 60 % of the slots busy on average. */
const SIZES: readonly Size[] = [
	{
		name: 'ma-nord', engines: 8, models: 20, zoneDistanceMs: 1, requestsPerSecond: 40,
	},
	{
		name: 'ost-at', engines: 13, models: 25, zoneDistanceMs: 0.5, requestsPerSecond: 65,
	},
];

type Arrival = {readonly atMs: number; readonly host: number; readonly model: string; readonly prompt: string; readonly outputTokens: number};

type SimulatedHost = {readonly zone: string; readonly directory: TargetDirectory; readonly prefixCache: PrefixCacheEstimate; readonly policy: RoutingPolicy; readonly random: Random};

type FleetResult = {
	readonly requests: number; readonly answered: number; readonly gaveUp: number; readonly firstTokenP50Ms: number; readonly firstTokenP95Ms: number; readonly prefixHitShare: number;
};

type PolicyFactory = (prefixCache: PrefixCacheEstimate) => RoutingPolicy;

const POLICIES: Readonly<Record<string, PolicyFactory>> = {
	cost: prefixCache => new CostRouting(prefixCache),
	'two-choices': () => new TwoChoicesRouting(),
	'round-robin': () => new RoundRobinRouting(),
};

function createText(length: number, random: Random): string {
	let text = '';
	while (text.length < length) {
		text += Math.floor(random() * 0x1_00_00_00).toString(36);
	}

	return text.slice(0, length);
}

/** Popular models get more requests; each model alternates between its base rate and bursts of ten times that rate. */
function createArrivals(size: Size, seed: number): readonly Arrival[] {
	const random = createRandom(seed);
	const weights = Array.from({length: size.models}, (_, index) => 1 / (index + 1));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const arrivals: Arrival[] = [];
	for (const [index, weight] of weights.entries()) {
		const model = `m${index}`;
		const prefixes = Array.from({length: PREFIXES_PER_MODEL}, () => createText(1600 + (4800 * random()), random));
		let atMs = 0;
		let burstUntilMs = 0;
		let nextBurstMs = 20_000 * random();
		while (atMs < RUN_MS) {
			if (atMs >= nextBurstMs) {
				burstUntilMs = nextBurstMs + 2000;
				nextBurstMs += 10_000 + (20_000 * random());
			}

			// A burst of 2 s in 20 s at ten times the base rate nearly doubles the mean.
			const perSecond = size.requestsPerSecond * (weight / total) * (atMs < burstUntilMs ? 10 : 1) / 1.9;
			atMs += -Math.log(1 - random()) * 1000 / perSecond;
			arrivals.push({
				atMs,
				host: Math.floor(random() * HOSTS),
				model,
				prompt: prefixes[Math.floor(random() * PREFIXES_PER_MODEL)]! + createText(200 + (600 * random()), random),
				outputTokens: 20 + Math.floor(120 * random()),
			});
		}
	}

	return arrivals.toSorted((first, second) => first.atMs - second.atMs);
}

/** Returns the models of one engine; the four most popular models have four copies in the fleet, the others two. */
function getModels(size: Size, engine: number): readonly string[] {
	const models: string[] = [];
	for (let model = 0; model < size.models; model++) {
		const copies = model < 4 ? 4 : 2;
		for (let copy = 0; copy < copies; copy++) {
			if (((model * 3) + (copy * Math.floor(size.engines / copies))) % size.engines === engine) {
				models.push(`m${model}`);
			}
		}
	}

	return models;
}

/** Simulates hosts and engines under one routing policy. */
class SimulatedFleet {
	private readonly queue = new EventQueue(new ManualClock());
	private readonly random: Random;
	private readonly engines: readonly SimulatedEngine[];
	private readonly hosts: readonly SimulatedHost[];
	private readonly firstTokenMs = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3});
	private hitChars = 0;
	private promptChars = 0;
	private timedOutRequests = 0;

	constructor(private readonly size: Size, createPolicy: PolicyFactory, hash: BlockHasher, seed: number) {
		this.random = createRandom(seed);
		this.engines = Array.from({length: size.engines}, (_, index) => new SimulatedEngine({
			targetId: `t${index}`, zone: ZONES[index % ZONES.length]!, models: getModels(size, index), limit: SLOTS, cacheBlocks: 1500, hash, queue: this.queue,
		}));
		this.hosts = Array.from({length: HOSTS}, (_, index) => {
			const {clock} = this.queue;
			const prefixCache = new PrefixCacheEstimate({clock, hash});
			return {
				zone: ZONES[index % ZONES.length]!, directory: new TargetDirectory({clock, epoch: `h${index}`}), prefixCache, policy: createPolicy(prefixCache), random: createRandom(seed + index + 1),
			};
		});
	}

	async run(arrivals: readonly Arrival[]): Promise<FleetResult> {
		for (const [index, engine] of this.engines.entries()) {
			this.queue.schedule(REPORT_INTERVAL_MS * index / this.engines.length, () => {
				this.report(engine);
			});
		}

		this.queue.schedule(REPORT_INTERVAL_MS, () => {
			this.exchangeSummaries();
		});
		for (const arrival of arrivals) {
			// The first requests arrive after 2 s, when the first reports have reached every zone.
			this.queue.schedule(arrival.atMs + 2000, () => {
				this.route(arrival, this.queue.clock.now());
			});
		}

		await this.queue.runUntil(RUN_MS + 30_000);
		return {
			requests: arrivals.length,
			answered: this.firstTokenMs.totalCount,
			gaveUp: this.timedOutRequests,
			firstTokenP50Ms: this.firstTokenMs.getValueAtPercentile(50),
			firstTokenP95Ms: this.firstTokenMs.getValueAtPercentile(95),
			prefixHitShare: Number((this.hitChars / this.promptChars).toFixed(3)),
		};
	}

	/** Delivers a report to the hosts of the engine's zone after a delay; its cache events take longer, and some are lost. */
	private report(engine: SimulatedEngine): void {
		const announcement = engine.announce();
		const hosts = this.hosts.filter(host => host.zone === announcement.zone);
		this.queue.schedule(REPORT_DELAY_MS, () => {
			this.deliver(announcement, hosts);
		});
		if (this.random() >= EVENT_LOSS_RATIO) {
			this.queue.schedule(EVENT_DELAY_MS, () => {
				for (const host of hosts) {
					host.prefixCache.recordEvents(announcement.targetId, announcement.startId, announcement.cacheEvents!);
				}
			});
		}

		this.queue.schedule(REPORT_INTERVAL_MS, () => {
			this.report(engine);
		});
	}

	private deliver(announcement: Announcement, hosts: readonly SimulatedHost[]): void {
		for (const host of hosts) {
			host.directory.recordAnnouncement(announcement);
			host.directory.recordWarmth(announcement.targetId, announcement.startId, {generation: 0, warm: true});
		}
	}

	private exchangeSummaries(): void {
		for (const zone of ZONES) {
			const summary = this.hosts.find(host => host.zone === zone)!.directory.getZoneSummary(zone);
			for (const host of this.hosts.filter(other => other.zone !== zone)) {
				host.directory.recordSummary(summary, this.size.zoneDistanceMs);
			}
		}

		this.queue.schedule(REPORT_INTERVAL_MS, () => {
			this.exchangeSummaries();
		});
	}

	private route(arrival: Arrival, arrivedAtMs: number): void {
		const {model, prompt, outputTokens} = arrival;
		const host = this.hosts[arrival.host]!;
		const zoneStates: ZoneConditions = Object.fromEntries(ZONES.map(zone => [zone, {state: 'in-service', distanceMs: this.size.zoneDistanceMs}]));
		const candidates = host.directory.getCandidates({model, zoneStates, hostZone: host.zone});
		const choice = host.policy.choose(candidates, {
			model, known: true, prompt, excluded: [],
		}, host.random);
		if (choice.isErr) {
			if (this.queue.clock.now() - arrivedAtMs >= ROUTING_TIMEOUT_MS) {
				this.timedOutRequests += 1;
				return;
			}

			this.queue.schedule(RETRY_MS, () => {
				this.route(arrival, arrivedAtMs);
			});
			return;
		}

		this.send(host, choice.value, {model, prompt, outputTokens}, arrivedAtMs);
	}

	private send(host: SimulatedHost, {targetId, startId, zone}: Choice, req: Pick<Arrival, 'model' | 'prompt' | 'outputTokens'>, arrivedAtMs: number): void {
		const request = host.directory.startRequest(targetId, startId);
		const engine = this.engines.find(candidate => candidate.opts.targetId === targetId)!;
		const distanceMs = zone === host.zone ? 0 : this.size.zoneDistanceMs;
		this.queue.schedule(distanceMs, () => {
			engine.submit({
				...req,
				onFirstToken: hitChars => {
					this.firstTokenMs.recordValue(Math.max(1, Math.round(this.queue.clock.now() + distanceMs - arrivedAtMs)));
					this.hitChars += hitChars;
					this.promptChars += req.prompt.length;
					host.prefixCache.recordCompleted(targetId, startId, host.prefixCache.getBlocks(req.model, undefined, req.prompt));
				},
				onEnd() {
					if (request) {
						host.directory.endRequest(request);
					}
				},
			});
		});
	}
}

/** Runs every policy on the arrivals of each seed; the order of the results follows the seeds. */
async function runSeeds(size: Size, hash: BlockHasher, seeds: readonly number[]): Promise<ReadonlyArray<ReadonlyMap<string, FleetResult>>> {
	const results: Array<ReadonlyMap<string, FleetResult>> = [];
	for (const seed of seeds) {
		const arrivals = createArrivals(size, seed);
		const byPolicy = new Map<string, FleetResult>();
		for (const [name, createPolicy] of Object.entries(POLICIES)) {
			byPolicy.set(name, await new SimulatedFleet(size, createPolicy, hash, seed).run(arrivals));
		}

		results.push(byPolicy);
	}

	return results;
}

/**
 * Compares the routing policies on the same arrivals at the sizes of both deployments.
 * The p95 of one seed depends on how its few large bursts overlap, so its mean over several seeds is given as well.
 */
export async function runRoutingBench({seed}: {seed: number}): Promise<Record<string, unknown>> {
	const hash = await createBlockHasher();
	const seeds = Array.from({length: SEEDS}, (_, index) => seed + index);
	const results: Record<string, unknown> = {seed, seeds};
	for (const size of SIZES) {
		const bySeed = await runSeeds(size, hash, seeds);
		results[size.name] = Object.fromEntries(Object.keys(POLICIES).map(name => {
			const ofPolicy = bySeed.map(byPolicy => byPolicy.get(name)!);
			const p95BySeedMs = ofPolicy.map(({firstTokenP95Ms}) => firstTokenP95Ms);
			return [name, {...ofPolicy[0], p95BySeedMs, meanP95Ms: Math.round(p95BySeedMs.reduce((sum, p95) => sum + p95, 0) / SEEDS)}];
		}));
	}

	return results;
}
