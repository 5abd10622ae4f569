import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import type {CrashReport} from '@egretrill/callers';
import {
	type Clock, type Logger, type LoopWatch, type Random, type Registration,
} from '@egretrill/common';
import {type EngineOrders, type LoadObserver, TargetRegistry} from '@egretrill/engines';
import {
	bindConsensus, bindFleetLog, bindMethod, type ConnectionObserver,
	ControlPeers, FleetLog, type FleetNode, FleetState, type MethodHandler, type PeerCredentials,
} from '@egretrill/hosts';
import type {ConfigDecoder} from './config-decoder.js';
import {ConfigParts} from './config-parts.js';
import {CONTROL_CHECK_INTERVAL_MS, LOG_FAILURE_EXIT_DELAY_MS, MAX_LOGGED_FAULTS} from './constants.js';
import {ControlGossip} from './control-gossip.js';
import {createControlNode} from './control-node.js';
import {ControlService, type PutOutcome} from './control-service.js';
import {DecodedTraffic} from './decoded-traffic.js';
import {DepartureLog} from './departure-log.js';
import {Departures} from './departures.js';
import {LeaderTerm} from './leader-term.js';
import {Membership} from './membership.js';
import {
	borrowMethod, coldSendMethod, configPartMethod, crashMethod, departMethod, gossipMethod, readTrafficMethod, readZoneOrdersMethod, requestAdapterMethod, syncMethod,
} from './methods.js';
import {bindProvider, type ProviderPeer} from './provider-term.js';
import {getServedTargets, hasAppliedLog, RegistrySettling} from './registry-settling.js';
import {getReportedLeaderId} from './reported-leader.js';
import {RateLimitedLog} from './rate-limited-log.js';
import {getServedState} from './served-state.js';
import type {ControlSettings} from './settings.js';
import {TrafficConfirmation} from './traffic-confirmation.js';
import {SyncNotifier} from './sync-notifier.js';
import {ZoneOrders} from './zone-orders.js';

export type ControlHostOptions = {
	readonly settings: ControlSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly watch: LoopWatch;
	readonly loadObserver?: LoadObserver;
	readonly credentials: PeerCredentials;
	readonly connections?: ConnectionObserver;
	readonly decoder: ConfigDecoder;
	readonly orders: EngineOrders;
	readonly provider?: ProviderPeer;
};

/** A host that keeps the log, accepts registrations of targets and serves operators; the leader also divides rates and sends orders to engines. */
export class ControlHost extends ControlService {
	readonly peers: ControlPeers;
	readonly registry: TargetRegistry;
	private readonly hostId: string;
	private readonly state = new FleetState();
	private readonly configParts = new ConfigParts(() => this.state.getTraffic());
	private readonly traffic: DecodedTraffic;
	private readonly node: FleetNode;
	private readonly log: FleetLog;
	private readonly gossip: ControlGossip;
	private readonly settling: RegistrySettling;
	private readonly confirmation: TrafficConfirmation;
	private readonly departureLog: DepartureLog;
	private readonly departures: Departures;
	private readonly zoneOrders: ZoneOrders;
	private readonly membership: Membership;
	private readonly syncNotifier: SyncNotifier;
	private readonly origin = randomUUID();
	/** Aborts when this host has left the log and takes no more calls. */
	private readonly ended = new AbortController();
	private readonly invalidRegistrations: RateLimitedLog;
	private readonly failedCalls: RateLimitedLog;
	private term: LeaderTerm | undefined;

	constructor(private readonly opts: ControlHostOptions) {
		super();
		// The tasks for all members and all calls listen to this signal, which exceeds Node's default limit for listener leaks.
		setMaxListeners(0, this.ended.signal);
		const {settings, clock, random, logger, credentials} = opts;
		this.hostId = settings.listen.peers;
		this.traffic = new DecodedTraffic(opts.decoder, this.state);
		this.invalidRegistrations = new RateLimitedLog(clock, logger, 'A registration describes no usable target.');
		this.failedCalls = new RateLimitedLog(clock, logger, 'A call of a target or operator failed.');
		this.peers = new ControlPeers({
			selfId: this.hostId, seedIds: settings.seeds, clock, credentials, observer: opts.connections,
		});
		this.registry = new TargetRegistry(clock, this.origin, service => this.traffic.namesService(service), registration => this.departureLog.hasLeft(registration));
		this.syncNotifier = new SyncNotifier({
			clock, registry: this.registry, getConfigVersion: () => this.state.getTraffic()?.version ?? 0, hasCrashesSince: known => this.getTerm()?.hasCrashesSince(known) ?? false,
		});
		this.node = createControlNode({
			settings, clock, random, logger, peers: this.peers, state: this.state,
		});
		this.log = new FleetLog({
			hostId: this.hostId,
			clock,
			peers: this.peers,
			node: this.node,
			getLeaderId: () => this.getLeaderId(),
			// The age is used only for at-most-once records, which forwarded requests do not have.
			getAgeMs: () => 0,
			ended: this.ended.signal,
		});
		this.confirmation = new TrafficConfirmation({
			clock, getTimeOfDayMs: () => Date.now(), node: this.node, state: this.state,
		});
		this.settling = new RegistrySettling(clock, () => hasAppliedLog(this.node));
		this.departureLog = new DepartureLog({
			log: this.log, state: this.state, logger, getTimeOfDayMs: () => Date.now(),
		});
		const {hostId, node, log, registry, peers, settling, departureLog, confirmation} = this;
		this.gossip = new ControlGossip({
			hostId, zone: settings.zone, clock, random, logger, node, peers, registry, settling, confirmation,
		});
		this.departures = new Departures({peers, registry, departureLog});
		this.zoneOrders = new ZoneOrders({
			hostId, clock, node, log, peers, state: this.state, getLeaderId: () => this.getLeaderId(),
		});
		this.membership = new Membership({
			hostId, settings, clock, logger, node, log, gossip: this.gossip, isRemovalRequested: () => this.state.getDesiredMemberships().get(hostId) === 'absent',
		});
	}

	/** Handlers of the RPC methods for other hosts. */
	getHandlers(): readonly MethodHandler[] {
		return [
			...bindConsensus(this.node),
			bindFleetLog(this.node),
			bindMethod(syncMethod, async ({report, configVersion, receivesParts, registry, waitMs}) => {
				const firstTerm = this.getTerm();
				this.joinCrashes(firstTerm, report.crashes);
				firstTerm?.recordTime(report);
				await this.syncNotifier.wait({configVersion, registry, crashes: report.crashes?.known}, waitMs);
				const leaderId = this.getLeaderId();
				const term = this.getTerm();
				if (term !== firstTerm) {
					this.joinCrashes(term, report.crashes);
				}

				const crashes = report.crashes && await term?.answerCrashes(report.crashes);
				const plan = term?.handleReport(report);
				const confirmed = this.confirmation.get();
				return {
					...(leaderId !== undefined && {leaderId}),
					controls: this.getControlHosts(),
					...getServedState({node: this.node, state: this.state, getTimeOfDayMs: () => Date.now()}, {configVersion, receivesParts}),
					registry: getServedTargets({registry: this.registry, settling: this.settling, departureLog: this.departureLog}, registry),
					entryHostCount: this.state.getEntryHosts().length,
					...(confirmed && {confirmed}),
					...(plan && {plan: {...plan, ...(crashes && {crashes})}}),
				};
			}),
			bindMethod(configPartMethod, async req => {
				const part = this.node.hasReplayed() ? this.configParts.getPart(req) : undefined;
				return {...(part && {part})};
			}),
			bindMethod(requestAdapterMethod, async req => {
				const term = this.getTerm();
				const targetId = await term?.engines.ensureAdapter(req, term.signal);
				return {...(targetId !== undefined && {targetId})};
			}),
			bindMethod(crashMethod, async report => {
				const term = this.getTerm();
				this.joinCrashes(term, report);
				return {...(term && {answer: await term.answerCrashes(report)})};
			}),
			bindMethod(borrowMethod, async ({loans}) => {
				const rates = this.getTerm()?.rates;
				return {...(rates && {answers: loans.map(({customer, cost}) => rates.borrow(customer, cost))})};
			}),
			bindMethod(coldSendMethod, async ({wants}) => ({grantedIds: [...this.getTerm()?.coldGrants.grant(wants) ?? []]})),
			bindMethod(gossipMethod, async ({hostId, zone, registry, readsDuties}) => {
				this.gossip.recordContact(hostId, zone, readsDuties);
				const leaderId = this.getLeaderId();
				const confirmedVersion = this.confirmation.getOwnVersion();
				return {
					registry: this.registry.getUpdateSince(registry, true),
					...(confirmedVersion !== undefined && {confirmedVersion}),
					isRegistrySettled: this.settling.isSettled(),
					zone: this.opts.settings.zone,
					readsDuties: true,
					memberIds: this.node.status().members.map(({id}) => id),
					...(leaderId !== undefined && {leaderId}),
				};
			}),
			bindMethod(readZoneOrdersMethod, async ({zone}) => this.zoneOrders.handleRead(zone)),
			bindMethod(departMethod, async req => this.departures.handle(req)),
			bindMethod(readTrafficMethod, async () => {
				const isCurrent = this.node.isLeaderWithLease();
				const traffic = this.state.getTraffic();
				return {isCurrent, ...(isCurrent && traffic && {traffic})};
			}),
		];
	}

	/**
	 * Runs the log member, the gossip with other control hosts and, while this host is the leader, the leader's term, until the
	 * signal aborts and this host has left the log. Throws the error that stopped the log member, if any.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {ended} = this;
		await this.node.start(signal);
		const logEnded = new AbortController();
		const watching = this.watchLog(logEnded);
		const tasks = Promise.all([
			this.opts.watch.run(ended.signal), this.followLog(ended.signal), this.followRegistry(ended.signal), this.gossip.run(ended.signal), this.membership.removeUnresponsive(ended.signal),
		]);
		await this.membership.join(AbortSignal.any([signal, logEnded.signal]));
		if (!logEnded.signal.aborted) {
			await this.membership.leave();
		}

		ended.abort();
		await tasks;
		this.term?.end();
		await this.node.stop();
		const failure = await watching;
		this.peers.close();
		if (failure) {
			throw failure;
		}
	}

	override acceptRegistration(registration: Registration): boolean {
		if (this.ended.signal.aborted) {
			// The other hosts would not hear of it.
			return false;
		}

		const isNew = this.registry.getRegistered(registration.targetId)?.startedAtMs !== registration.startedAtMs;
		const isAccepted = this.registry.accept(registration);
		if (isAccepted && (isNew || registration.isLeaving)) {
			const {targetId, service, zone, startedAtMs, sequence, isLeaving, coldForMs} = registration;
			this.opts.logger.info({
				targetId, service, zone, startedAtMs, sequence, isLeaving, coldForMs,
			}, 'A target has registered.');
		}

		return !this.registry.ignoresLeaving(registration);
	}

	override recordInvalidRegistration(targetId: string, faults: readonly string[]): void {
		this.invalidRegistrations.warn({targetId, faults: faults.slice(0, MAX_LOGGED_FAULTS).join('; ')});
	}

	override recordFailedCall(err: Error): void {
		this.failedCalls.warn({reason: err.message});
	}

	override async removeTarget(targetId: string, signal: AbortSignal): Promise<void> {
		if (await this.departures.announce(targetId, signal)) {
			this.opts.logger.info({targetId}, 'A target has left.');
		}
	}

	override async putTraffic(source: string): Promise<PutOutcome> {
		const decoded = this.opts.decoder.decode(source);
		if (decoded.isErr) {
			this.opts.logger.info({faults: decoded.error.slice(0, 3)}, 'A configuration was refused.');
			return {kind: 'invalid', faults: decoded.error};
		}

		const {version} = decoded.value;
		const outcome = await this.log.propose({kind: 'putTraffic', traffic: {version, source}});
		this.opts.logger.info({version, outcome: outcome.kind, ...('reason' in outcome && {reason: outcome.reason})}, 'A configuration was put.');
		return outcome.kind === 'committed' ? {kind: 'accepted', version} : {kind: 'unavailable', reason: outcome.reason};
	}

	override async readTraffic(): Promise<string | undefined> {
		if (this.node.isLeaderWithLease()) {
			return this.state.getTraffic()?.source;
		}

		const leaderId = this.getLeaderId();
		if (leaderId === undefined || leaderId === this.hostId) {
			return undefined;
		}

		const answer = await this.peers.call(leaderId, readTrafficMethod, {});
		return answer.isOk && answer.value.isCurrent ? answer.value.traffic?.source : undefined;
	}

	override async setZoneService(zone: string, isInService: boolean, signal: AbortSignal): Promise<boolean> {
		const outcome = await this.zoneOrders.order(zone, isInService, signal);
		this.opts.logger.info({zone, isInService, outcome}, 'A change of the service of a zone was ordered.');
		return outcome === 'applied';
	}

	/** Applies the seeds of changed settings. */
	updateSeeds(seeds: readonly string[]): void {
		this.peers.setSeeds(seeds);
	}

	/** Joins the evidence of an entry host and wakes the polls of the others if it is new. */
	private joinCrashes(term: LeaderTerm | undefined, report: CrashReport | undefined): void {
		if (term?.joinCrashes(report)) {
			this.syncNotifier.notify();
		}
	}

	private async putEntryHosts(hostIds: readonly string[]): Promise<boolean> {
		const outcome = await this.log.propose({kind: 'setEntryHosts', hostIds: [...hostIds]});
		return outcome.kind === 'committed';
	}

	private getLeaderId(): string | undefined {
		const {leaderId, members} = this.node.status();
		const isMember = this.gossip.leaderMemberIds?.includes(this.hostId) ?? members.some(({id}) => id === this.hostId);
		return getReportedLeaderId({
			hostId: this.hostId, isMember, isLeading: this.node.isLeaderWithLease(), logLeaderId: leaderId, hintedLeaderId: this.gossip.leaderHint,
		});
	}

	private getTerm(): LeaderTerm | undefined {
		return this.node.isLeaderWithLease() && this.term?.term === this.node.status().term ? this.term : undefined;
	}

	private getControlHosts(): Array<{id: string; zone?: string}> {
		const ids = new Set([this.hostId, ...this.node.status().members.map(({id}) => id), ...this.peers.getVoterIds()]);
		return [...ids].map(id => {
			const zone = this.gossip.getZone(id);
			return {id, ...(zone !== undefined && {zone})};
		});
	}

	private async followLog(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.node.changed.wait(this.opts.clock, CONTROL_CHECK_INTERVAL_MS, signal);
			this.updateTerm();
			this.departureLog.endTargets(this.registry);
			this.syncNotifier.notifyIfChanged();
		}
	}

	private async followRegistry(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.registry.changed.wait(this.opts.clock, CONTROL_CHECK_INTERVAL_MS, signal);
			this.registry.sweep();
			this.syncNotifier.notifyIfChanged();
		}
	}

	/** Starts or ends a term when this host gains or loses the leadership. */
	private updateTerm(): void {
		const {role, term, leaderId} = this.node.status();
		const {clock, random, loadObserver, logger, orders, settings, watch} = this.opts;
		if (role === 'leader' && this.term?.term !== term) {
			this.term?.end();
			logger.info({term}, 'This host leads.');
			this.term = new LeaderTerm({
				clock,
				random,
				logger,
				orders,
				term,
				watch,
				...(loadObserver && {loadObserver}),
				node: this.node,
				state: this.state,
				getTimeOfDayMs: () => Date.now(),
				registry: this.registry,
				hostId: settings.host,
				orderLeaseMs: settings.bounds.orderLeaseMs,
				provider: bindProvider(this.opts.provider, {state: this.state, traffic: this.traffic, gossip: this.gossip}),
				getZonesOut: () => [...this.state.getZonesOut()],
				getClasses: () => this.traffic.getClasses(),
				getCustomers: () => this.traffic.getCustomers(),
				getEntryHosts: () => this.state.getEntryHosts(),
				putEntryHosts: async hostIds => this.putEntryHosts(hostIds),
			});
			void this.term.run();
		} else if (role !== 'leader' && this.term) {
			logger.info({term, leaderId}, 'This host no longer leads.');
			this.term.end();
			this.term = undefined;
		}
	}

	/** Aborts `logEnded` some time after the log member stopped by itself; returns the error that stopped it, if any. */
	private async watchLog(logEnded: AbortController): Promise<Error | undefined> {
		const failure = await this.node.waitUntilStopped();
		if (failure) {
			this.opts.logger.error({err: failure}, 'This host no longer takes part in the log; it ends to be started again.');
			await this.opts.clock.sleep(LOG_FAILURE_EXIT_DELAY_MS);
			logEnded.abort();
		}

		return failure;
	}
}
