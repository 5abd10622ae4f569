import {
	createLogger, createRandom, ManualClock, type Random,
} from '@egretrill/common';
import {gossipMethod, LeaderTerm, syncMethod} from '@egretrill/egretrilld/traffic';
import type {ConsensusStatus} from '@egretrill/hosts';
import {
	type EngineReport, EngineOrders, type LoadOrderOutcome, TargetRegistry,
} from '@egretrill/engines';
import {CpuMeter} from './cpu-meter.js';
import {measureEntryHost} from './polls-entry.js';
import {
	createRegistration, createReport, customers, engineClass, FLEET, SERVICE,
} from './polls-fleet.js';

const SECONDS = 10;
const STEP_MS = 10;
/** Interval between two polls of a host while there are several changes each second. */
const POLL_INTERVAL_MS = 100;
const GOSSIP_INTERVAL_MS = 150;
/** Interval between two changes that are sent to the entry hosts, such as the load of an adapter. */
const CHANGE_INTERVAL_MS = 100;
/** Interval between two requests for adapters that no engine has loaded. */
const ADAPTER_REQUEST_INTERVAL_MS = 50;

const status: ConsensusStatus = {
	memberId: 'c', identity: 'c', role: 'leader', term: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1, snapshotIndex: 0, members: [],
};

class NoopEngineOrders extends EngineOrders {
	override async send(): Promise<LoadOrderOutcome> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport> {
		return {models: [], isBusy: false, orderCount: 0};
	}
}

type KnownRevision = {readonly origin: string; readonly revision: number};
const NO_REVISION: KnownRevision = {origin: '', revision: 0};

/** Measures the leader's work for the polls, registrations and gossip of a large fleet, without placement plans and without connections. */
class MeasuredLeader {
	readonly meter = new CpuMeter();
	readonly bytes = {in: 0, out: 0, gossip: 0};
	private readonly clock = new ManualClock();
	private readonly registry = new TargetRegistry(this.clock, 'origin');
	private readonly peerRegistry = new TargetRegistry(this.clock, 'peer');
	private readonly term: LeaderTerm;
	private readonly knownRevisionByHost = new Map<number, KnownRevision>();
	private readonly serialByHost = new Map<number, number>();
	/** Revision of this host's registry that each peer has, and of each peer's registry that this host has. */
	private readonly ownRevisionAtPeers = new Map<number, KnownRevision>();
	private readonly knownRevisionOfPeers = new Map<number, KnownRevision>();
	private sequence = 0;

	constructor(private readonly random: Random) {
		this.term = new LeaderTerm({
			clock: this.clock,
			random,
			logger: createLogger('bench', 'fatal'),
			watch: {recordPlan: () => undefined},
			node: {isLeaderWithLease: () => true, status: () => status, propose: async () => ({kind: 'unknown'})},
			state: {getCrashes: () => []},
			getTimeOfDayMs: () => this.clock.now(),
			registry: this.registry,
			orders: new NoopEngineOrders(),
			hostId: 'c',
			term: 1,
			orderLeaseMs: 1000,
			getZonesOut: () => [],
			getClasses: () => new Map([[SERVICE, engineClass]]),
			getCustomers: () => customers,
			getEntryHosts: () => Array.from({length: FLEET.hosts}, (_, i) => `host-${i}`),
			putEntryHosts: async () => true,
		});
	}

	run(): void {
		for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs += STEP_MS) {
			this.clock.advance(STEP_MS);
			for (const engine of pickDue(FLEET.engines, 1000, nowMs)) {
				this.register(engine);
			}

			for (const _change of pickDue(1, CHANGE_INTERVAL_MS, nowMs)) {
				this.changeResidentModels();
			}

			for (const host of pickDue(FLEET.hosts, POLL_INTERVAL_MS, nowMs)) {
				this.poll(host);
			}

			for (const peer of pickDue(FLEET.controls - 1, GOSSIP_INTERVAL_MS, nowMs)) {
				this.gossip(peer);
			}

			for (const _adapterRequest of pickDue(1, ADAPTER_REQUEST_INTERVAL_MS, nowMs)) {
				const adapterRequest = {service: SERVICE, model: `model-${Math.floor(this.random() * FLEET.models)}`, adapter: `new-${nowMs}`};
				void this.meter.measure('adapter wants', async () => this.term.engines.ensureAdapter(adapterRequest, this.term.signal));
			}
		}
	}

	private register(engine: number): void {
		this.sequence += 1;
		const registration = createRegistration(engine, this.sequence);
		this.meter.measure('registrations', () => {
			this.registry.accept(registration);
			this.registry.sweep();
		});
		this.peerRegistry.accept(registration);
	}

	private changeResidentModels(): void {
		const registration = createRegistration(Math.floor(this.random() * FLEET.engines), 0);
		this.registry.overrideModels(registration, registration.models);
		// A change wakes every poll that is held open, and each compares its revision with the registry's.
		this.meter.measure('looks for news', () => {
			for (let i = 0; i < FLEET.hosts; i++) {
				this.registry.hasChangedSince(this.knownRevisionByHost.get(i) ?? NO_REVISION);
			}
		});
	}

	private poll(host: number): void {
		const {meter, registry, term} = this;
		const arrivals = Math.round(FLEET.requestsPerSecond * POLL_INTERVAL_MS / 1000 / FLEET.hosts);
		const report = createReport(host, this.serialByHost.get(host) ?? 0, arrivals, this.random);
		const bytes = syncMethod.req.encode({
			report, configVersion: 1, registry: this.knownRevisionByHost.get(host) ?? NO_REVISION, waitMs: 200,
		});
		this.bytes.in += bytes.length;
		const req = meter.measure('reading of polls', () => syncMethod.req.decode(bytes));
		const plan = meter.measure('plans of polls', () => term.handleReport(req.report));
		const update = meter.measure('updates of polls', () => registry.getUpdateSince(req.registry, false));
		const controls = Array.from({length: FLEET.controls}, (_, i) => ({id: `127.0.0.1:${i}`, zone: 'zone'}));
		const answer = meter.measure('writing of answers', () => syncMethod.res.encode({
			leaderId: 'c', controls, zonesOut: [], registry: update, plan,
		}));
		this.bytes.out += answer.length;
		this.knownRevisionByHost.set(host, {origin: update.origin, revision: update.revision});
		this.serialByHost.set(host, plan.rates.serial);
	}

	/** Exchanges updates in both directions with another control host that receives the same registrations. */
	private gossip(id: number): void {
		const {meter, registry, peerRegistry} = this;
		const knownRevision = this.ownRevisionAtPeers.get(id) ?? NO_REVISION;
		const answer = meter.measure('gossip sent', () => gossipMethod.res.encode({registry: registry.getUpdateSince(knownRevision, true), zone: 'zone', memberIds: []}));
		this.bytes.gossip += answer.length;
		const ownUpdate = gossipMethod.res.decode(answer).registry;
		this.ownRevisionAtPeers.set(id, {origin: ownUpdate.origin, revision: ownUpdate.revision});
		const received = gossipMethod.res.encode({registry: peerRegistry.getUpdateSince(this.knownRevisionOfPeers.get(id) ?? NO_REVISION, true), zone: 'zone', memberIds: []});
		meter.measure('gossip heard', () => {
			const {registry: update} = gossipMethod.res.decode(received);
			registry.merge(update.targets);
			this.knownRevisionOfPeers.set(id, {origin: update.origin, revision: update.revision});
		});
	}
}

/** Returns the tasks that are due in this step, of a number of periodic tasks that are spread evenly over the period. */
function pickDue(count: number, periodMs: number, nowMs: number): readonly number[] {
	return Array.from({length: count}, (_, i) => i).filter(i => {
		const offsetMs = Math.floor(i * periodMs / count / STEP_MS) * STEP_MS;
		return (nowMs + periodMs - offsetMs) % periodMs < STEP_MS;
	});
}

/** Measures the processor time and traffic that a large fleet costs the leading control host and each entry host. */
export async function runPollsBench({seed}: {readonly seed: number}): Promise<Record<string, unknown>> {
	const leader = new MeasuredLeader(createRandom(seed));
	leader.run();
	return {
		fleet: FLEET,
		seconds: SECONDS,
		leaderPerSecond: leader.meter.getPerSecond(SECONDS),
		leaderBytesPerSecond: Object.fromEntries(Object.entries(leader.bytes).map(([name, bytes]) => [name, Math.round(bytes / SECONDS)])),
		entryPerSecond: measureEntryHost(createRandom(seed)),
	};
}
