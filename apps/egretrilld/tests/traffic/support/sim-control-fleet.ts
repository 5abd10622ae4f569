import {createLogger, type Registration} from '@egretrill/common';
import {TargetRegistry} from '@egretrill/engines';
import {
	type ControlHost, type ControlPeers, type FleetCommand, FleetLog, type Method, PeerCaller, type PeerCallError, proposeMethod,
} from '@egretrill/hosts';
import {type Process, SimCluster} from '@egretrill/hosts/testing';
import {Result} from 'true-myth';
import {ControlGossip} from '../../../src/traffic/control-gossip.js';
import {departMethod} from '../../../src/traffic/methods.js';
import {type ConfirmedVersion, TrafficConfirmation} from '../../../src/traffic/traffic-confirmation.js';
import {DepartureLog} from '../../../src/traffic/departure-log.js';
import {getServedTargets, hasAppliedLog, RegistrySettling} from '../../../src/traffic/registry-settling.js';
import {
	type Departure, Departures, gossipMethod, Membership,
} from '../../../src/traffic/index.js';

const SEED_COUNT = 3;
/** Time from the start of a process until it takes part. */
const STARTUP_MS = 700;
/** An operator turns to another host after this time without an answer. */
const OPERATOR_PATIENCE_MS = 1000;
const OPERATOR_RETRY_MS = 100;
const CALL_TIMEOUT_MS = 1000;

const logger = createLogger('test', 'fatal');

/** Calls between the simulated control hosts. */
class SimPeers extends PeerCaller {
	private readonly seedIds: readonly string[];
	private knownIds: readonly string[];

	constructor(private readonly fleet: SimControlFleet, private readonly selfId: string) {
		super();
		this.seedIds = fleet.seedIds;
		this.knownIds = this.seedIds;
	}

	setKnownHosts(hosts: readonly ControlHost[]): void {
		this.knownIds = [...new Set([...hosts.map(({id}) => id), ...this.seedIds])];
	}

	getOthers(): readonly ControlHost[] {
		return this.knownIds.filter(id => id !== this.selfId).map(id => ({id}));
	}

	override getVoterIds(): readonly string[] {
		return this.knownIds;
	}

	override async call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs = CALL_TIMEOUT_MS): Promise<Result<Res, PeerCallError>> {
		const {cluster} = this.fleet;
		const expire = async (): Promise<never> => {
			await cluster.clock.sleep(deadlineMs);
			throw new Error('timeout');
		};

		try {
			const answer = await Promise.race([cluster.send(this.selfId, hostId, async process => this.fleet.handle(process, method, req)), expire()]);
			return Result.ok(answer as Res);
		} catch (err: unknown) {
			const message = err instanceof Error ? err.message : String(err);
			return Result.err({code: message.includes('ECONNREFUSED') ? 'unreachable' : 'timeout', message} as PeerCallError);
		}
	}
}

type SimControl = {
	readonly process: Process;
	readonly log: FleetLog;
	readonly registry: TargetRegistry;
	readonly settling: RegistrySettling;
	readonly departureLog: DepartureLog;
	readonly departures: Departures;
	readonly confirmation: TrafficConfirmation;
	readonly gossip: ControlGossip;
	readonly membership: Membership;
	readonly stopping: AbortController;
	readonly ended: AbortController;
};

export type SimControlFleetOptions = {readonly seed: number; readonly hostIds: readonly string[]; readonly machines: number};

/** Control hosts with the real log and membership on a simulated network, clock and disks. */
export class SimControlFleet {
	readonly cluster: SimCluster;
	/** Hosts that started last, as the operators list them. */
	seedIds: readonly string[];
	private readonly controls = new Map<string, SimControl>();
	private hasStarted = false;

	constructor(private readonly opts: SimControlFleetOptions) {
		this.seedIds = opts.hostIds.slice(0, SEED_COUNT);
		this.cluster = new SimCluster({seed: opts.seed, initialMembers: this.seedIds, minVoters: this.minVoters});
	}

	get minVoters(): number {
		return (2 * this.opts.machines) + 1;
	}

	get runningIds(): readonly string[] {
		return [...this.controls.keys()];
	}

	/** Id of the leader, or an empty text. */
	getLeaderId(): string {
		return this.cluster.getLeader()?.node.status().memberId ?? '';
	}

	getFollowerIds(): readonly string[] {
		return this.runningIds.filter(id => id !== this.getLeaderId());
	}

	/** Starts all hosts for the first time and waits until a change is acknowledged. */
	async startAll(): Promise<void> {
		for (const id of this.opts.hostIds) {
			void this.start(id);
		}

		await this.cluster.runUntilSettled(this.put(1));
		this.hasStarted = true;
	}

	/** Starts a host after the usual startup time. */
	async start(id: string): Promise<void> {
		await this.cluster.clock.sleep(STARTUP_MS);
		this.cluster.start(id, this.hasStarted ? [] : this.seedIds);
		const process = this.cluster.processes.get(id);
		if (this.hasStarted) {
			this.seedIds = [...this.seedIds.filter(seedId => seedId !== id), id].slice(-SEED_COUNT);
		}

		if (process) {
			const control = this.createControl(id, process);
			this.controls.set(id, control);
			void this.run(control);
		}
	}

	/** Ends a host at once: by a kill, a loss of power, or a loss of power with its disk. */
	lose(id: string, how: 'kill' | 'crash' | 'wipe'): void {
		this.controls.get(id)?.stopping.abort();
		this.controls.get(id)?.ended.abort();
		this.controls.delete(id);
		this.cluster[how](id);
	}

	/** Stops a host as on SIGTERM. */
	async stop(id: string): Promise<void> {
		const control = this.controls.get(id);
		control?.stopping.abort();
		await control?.membership.leave();
		// A process that was lost meanwhile may have been started again.
		if (this.controls.get(id) === control) {
			this.lose(id, 'kill');
		}
	}

	/** Puts a configuration as an operator does: to another host after a second without an acknowledgement. */
	async put(version: number): Promise<void> {
		await this.propose({kind: 'putTraffic', traffic: {version, source: '{}'}});
	}

	async setZoneService(zone: string, isInService: boolean): Promise<void> {
		await this.propose({kind: 'setZoneService', zone, isInService});
	}

	/** Registers a target at one host. */
	register(id: string, registration: Registration): void {
		this.controls.get(id)?.registry.accept(registration);
	}

	/** Deregisters a target as its process does: at another host after a second without an acknowledgement. */
	async depart(targetId: string): Promise<void> {
		await this.callUntilAcknowledged(async ({departures, ended}) => departures.announce(targetId, ended.signal));
	}

	/** Targets that a host names to an entry host without any; none if it does not run. */
	getServedIds(id: string): readonly string[] {
		const control = this.controls.get(id);
		const targets = control ? getServedTargets(control, {origin: '', revision: 0}).targets : [];
		return targets.filter(({hasEnded}) => !hasEnded).map(({registration}) => registration.targetId);
	}

	/** What a host tells an entry host of the configuration: its version, and what the leader has confirmed of it. */
	getConfirmed(id: string): {readonly version: number; readonly confirmed: ConfirmedVersion | undefined} | undefined {
		const control = this.controls.get(id);
		return control && {version: control.process.state.getTraffic()?.version ?? 0, confirmed: control.confirmation.get()};
	}

	async handle(process: Process, method: {readonly path: string}, req: unknown): Promise<unknown> {
		const {node} = process;
		if (method.path === proposeMethod.path) {
			return node.propose((req as {command: FleetCommand}).command);
		}

		const control = [...this.controls.values()].find(other => other.process === process);
		if (control && method.path === departMethod.path) {
			return control.departures.handle(req as Departure);
		}

		if (!control || method.path !== gossipMethod.path) {
			throw new Error(`connect ECONNREFUSED ${method.path}`);
		}

		const {hostId, zone, registry} = req as {hostId: string; zone: string; registry: {origin: string; revision: number}};
		control.gossip.recordContact(hostId, zone);
		const {members, leaderId} = node.status();
		const confirmedVersion = control.confirmation.getOwnVersion();
		return {
			registry: control.registry.getUpdateSince(registry, true),
			isRegistrySettled: control.settling.isSettled(),
			...(confirmedVersion !== undefined && {confirmedVersion}),
			zone: 'z',
			memberIds: members.map(({id}) => id),
			...(leaderId !== undefined && (leaderId !== node.status().memberId || node.isLeaderWithLease()) && {leaderId}),
		};
	}

	private createControl(id: string, process: Process): SimControl {
		const {node, clock, state} = process;
		const {cluster, minVoters} = this;
		const peers = new SimPeers(this, id);
		const settling = new RegistrySettling(clock, () => hasAppliedLog(node));
		const confirmation = new TrafficConfirmation({
			clock, getTimeOfDayMs: () => cluster.clock.now(), node, state,
		});
		const registry: TargetRegistry = new TargetRegistry(clock, `${id} from ${cluster.clock.now()}`, undefined, registration => departureLog.hasLeft(registration));
		const gossip = new ControlGossip({
			hostId: id, zone: 'z', clock, random: cluster.random, logger, node, peers: peers as unknown as ControlPeers, registry, settling, confirmation,
		});
		const log = new FleetLog({
			hostId: id, clock, peers, node, getLeaderId: () => node.status().leaderId ?? gossip.leaderHint, getAgeMs: () => 0,
		});
		const departureLog = new DepartureLog({
			log, state, logger, getTimeOfDayMs: () => Math.floor(cluster.clock.now()),
		});
		const departures = new Departures({peers, registry, departureLog});
		const membership = new Membership({
			hostId: id,
			settings: {
				host: id, zone: 'z', minVoters, maxVoters: minVoters + 2,
			},
			clock,
			logger,
			node,
			log,
			gossip,
			isRemovalRequested: () => state.getDesiredMemberships().get(id) === 'absent',
		});
		return {
			process, log, registry, settling, confirmation, departureLog, departures, gossip, membership, stopping: new AbortController(), ended: new AbortController(),
		};
	}

	private async run({gossip, membership, stopping, ended}: SimControl): Promise<void> {
		await Promise.all([gossip.run(ended.signal), membership.join(stopping.signal), membership.removeUnresponsive(ended.signal)]);
	}

	private async propose(command: FleetCommand): Promise<void> {
		await this.callUntilAcknowledged(async ({log}) => {
			const outcome = await log.propose(command);
			return outcome.kind === 'committed';
		});
	}

	/** Calls one host after the other until one acknowledges the call within the caller's patience. */
	private async callUntilAcknowledged(call: (control: SimControl) => Promise<boolean>): Promise<void> {
		const {clock, random} = this.cluster;
		let isAcknowledged = false;
		while (!isAcknowledged) {
			const controls = [...this.controls.values()];
			const control = controls[Math.floor(random() * controls.length)];
			const wait = async (): Promise<boolean> => {
				await clock.sleep(control ? OPERATOR_PATIENCE_MS : OPERATOR_RETRY_MS);
				return false;
			};

			const isAnswered = await Promise.race([control ? call(control) : false, wait()]);
			isAcknowledged = isAnswered && control?.ended.signal.aborted === false;
			await clock.sleep(isAcknowledged ? 0 : OPERATOR_RETRY_MS);
		}
	}
}
