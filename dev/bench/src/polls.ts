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
/** Time between two polls of a host while several changes happen in a second. */
const POLL_MS = 100;
const GOSSIP_MS = 150;
/** Time between two changes that entry hosts must hear of, such as the load of an adapter. */
const CHANGE_MS = 100;
/** Time between two adapters that are asked for and have no place yet. */
const WANT_MS = 50;

const status: ConsensusStatus = {
	memberId: 'c', identity: 'c', role: 'leader', term: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1, snapshotIndex: 0, members: [],
};

class SilentOrders extends EngineOrders {
	override async send(): Promise<LoadOrderOutcome> {
		return 'not-sent';
	}

	override async getReport(): Promise<EngineReport> {
		return {models: [], isBusy: false, orderCount: 0};
	}
}

type Known = {readonly origin: string; readonly revision: number};
const NOTHING_KNOWN: Known = {origin: '', revision: 0};

/** The leader's work for the polls, registrations and gossip of a large fleet, without plans and without connections. */
class MeasuredLeader {
	readonly meter = new CpuMeter();
	readonly bytes = {in: 0, out: 0, gossip: 0};
	private readonly clock = new ManualClock();
	private readonly registry = new TargetRegistry(this.clock, 'origin');
	private readonly peer = new TargetRegistry(this.clock, 'peer');
	private readonly term: LeaderTerm;
	private readonly known = new Map<number, Known>();
	private readonly serials = new Map<number, number>();
	/** What each other control host knows of this one, and this one of each other. */
	private readonly peersKnow = new Map<number, Known>();
	private readonly peersKnown = new Map<number, Known>();
	private sequence = 0;

	constructor(private readonly random: Random) {
		this.term = new LeaderTerm({
			clock: this.clock,
			random,
			logger: createLogger('bench', 'fatal'),
			watch: {recordPlan: () => undefined},
			node: {isLeaderWithLease: () => true, status: () => status},
			registry: this.registry,
			orders: new SilentOrders(),
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

	play(): void {
		for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs += STEP_MS) {
			this.clock.advance(STEP_MS);
			for (const engine of pickDue(FLEET.engines, 1000, nowMs)) {
				this.register(engine);
			}

			for (const _change of pickDue(1, CHANGE_MS, nowMs)) {
				this.change();
			}

			for (const host of pickDue(FLEET.hosts, POLL_MS, nowMs)) {
				this.poll(host);
			}

			for (const peer of pickDue(FLEET.controls - 1, GOSSIP_MS, nowMs)) {
				this.gossip(peer);
			}

			for (const _want of pickDue(1, WANT_MS, nowMs)) {
				const want = {service: SERVICE, model: `model-${Math.floor(this.random() * FLEET.models)}`, adapter: `new-${nowMs}`};
				void this.meter.measure('adapter wants', async () => this.term.engines.ensureAdapter(want, this.term.signal));
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
		this.peer.accept(registration);
	}

	private change(): void {
		const registration = createRegistration(Math.floor(this.random() * FLEET.engines), 0);
		this.registry.overrideModels(registration.targetId, registration.models);
		// Each poll that is held open looks for news when it is woken.
		this.meter.measure('looks for news', () => {
			for (let i = 0; i < FLEET.hosts; i++) {
				this.registry.hasChangedSince(this.known.get(i) ?? NOTHING_KNOWN);
			}
		});
	}

	private poll(host: number): void {
		const {meter, registry, term} = this;
		const arrivals = Math.round(FLEET.requestsPerSecond * POLL_MS / 1000 / FLEET.hosts);
		const report = createReport(host, this.serials.get(host) ?? 0, arrivals, this.random);
		const bytes = syncMethod.req.encode({
			report, configVersion: 1, registry: this.known.get(host) ?? NOTHING_KNOWN, waitMs: 200,
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
		this.known.set(host, {origin: update.origin, revision: update.revision});
		this.serials.set(host, plan.rates.serial);
	}

	/** One exchange in each direction with another control host that hears the same registrations. */
	private gossip(id: number): void {
		const {meter, registry, peer} = this;
		const known = this.peersKnow.get(id) ?? NOTHING_KNOWN;
		const answer = meter.measure('gossip sent', () => gossipMethod.res.encode({registry: registry.getUpdateSince(known, true), zone: 'zone', memberIds: []}));
		this.bytes.gossip += answer.length;
		const own = gossipMethod.res.decode(answer).registry;
		this.peersKnow.set(id, {origin: own.origin, revision: own.revision});
		const heard = gossipMethod.res.encode({registry: peer.getUpdateSince(this.peersKnown.get(id) ?? NOTHING_KNOWN, true), zone: 'zone', memberIds: []});
		meter.measure('gossip heard', () => {
			const {registry: update} = gossipMethod.res.decode(heard);
			registry.merge(update.targets);
			this.peersKnown.set(id, {origin: update.origin, revision: update.revision});
		});
	}
}

/** Those of a number of tasks with a period that are due in this step, spread evenly over the period. */
function pickDue(count: number, periodMs: number, nowMs: number): readonly number[] {
	return Array.from({length: count}, (_, i) => i).filter(i => {
		const offsetMs = Math.floor(i * periodMs / count / STEP_MS) * STEP_MS;
		return (nowMs + periodMs - offsetMs) % periodMs < STEP_MS;
	});
}

/** Measures what a large fleet costs the leading control host and each entry host. */
export async function runPollsBench({seed}: {readonly seed: number}): Promise<Record<string, unknown>> {
	const leader = new MeasuredLeader(createRandom(seed));
	leader.play();
	return {
		fleet: FLEET,
		seconds: SECONDS,
		leaderPerSecond: leader.meter.getPerSecond(SECONDS),
		leaderBytesPerSecond: Object.fromEntries(Object.entries(leader.bytes).map(([name, bytes]) => [name, Math.round(bytes / SECONDS)])),
		entryPerSecond: measureEntryHost(createRandom(seed)),
	};
}
