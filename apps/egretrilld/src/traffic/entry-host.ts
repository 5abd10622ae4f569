import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	type Clock, createHttpServer, jitter, type Logger, type LoopWatch, MemoryBudget, type Random, setReadTimeouts, type TimeMark, type TrafficSource, TurnQueue,
} from '@egretrill/common';
import {
	BackoffPoolClient, filterServices, type ForwardDependencies, type ForwardDialect, forwardRequest, KeyLease, PlannedStop, RATE_LEASE_MS, RateAllocations, RetrySchedule, RouteDurations, RouteSizes, RouteTable, SlotQueue,
} from '@egretrill/callers';
import {Drain, type Metrics, type UnreadyReason} from '@egretrill/balancer';
import {getHostPreference, HostSpeeds, TargetTable} from '@egretrill/engines';
import type {ControlPeers} from '@egretrill/hosts';
import {UsageCounter} from '@egretrill/provider';
import {TargetSlotSource} from './target-slot-source.js';
import {ChoiceMetrics} from './choice-metrics.js';
import {CallerConnections} from './caller-connections.js';
import {ColdSendRequests} from './cold-send-requests.js';
import {
	BYTES_PER_MB, HELD_MEMORY_RATIO, IDLE_WAIT_RATIO, MAX_LEAVING_TARGETS, QUEUE_RETRY_INTERVAL_MS,
} from './constants.js';
import type {ConfigDecoder} from './config-decoder.js';
import {ControlFollower, type HostReport, SyncSink} from './control-follower.js';
import {DecisionLog} from './decision-log.js';
import {sanitizeName} from './describe-answer.js';
import {EntryObserver} from './entry-observer.js';
import {HostCrashes} from './host-crashes.js';
import {HttpSender} from './http-sender.js';
import {MemoryMetrics} from './memory-metrics.js';
import type {LeaderPlan, SyncResponse} from './methods.js';
import {NodeExchange} from './node-exchange.js';
import {QueueMetrics} from './queue-metrics.js';
import {readArrived} from './read-arrived.js';
import {createSpeedReport, fromSpeedPlan} from './speed-messages.js';
import {RetryBudgets} from './retry-budgets.js';
import type {EntrySettings, TrafficBounds} from './settings.js';

export type EntryHostOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly watch: LoopWatch;
	readonly peers: ControlPeers;
	readonly dialect: ForwardDialect;
	readonly decoder: ConfigDecoder;
};

/** A host that serves callers: it polls the control hosts and forwards requests to targets. */
export class EntryHost extends SyncSink {
	readonly server: Server;
	private readonly memory: MemoryBudget;
	private readonly memoryMetrics: MemoryMetrics;
	private readonly queueMetrics: QueueMetrics;
	private routeTable: RouteTable | undefined;
	private bounds: TrafficBounds;
	private readonly follower: ControlFollower;
	private readonly speeds: HostSpeeds;
	private readonly choiceMetrics: ChoiceMetrics;
	private readonly targets: TargetTable;
	private readonly coldSends: ColdSendRequests;
	private readonly queue: SlotQueue;
	private readonly rates: RateAllocations;
	private readonly decisionLog: DecisionLog;
	private readonly observer: EntryObserver;
	private readonly retryBudgets: RetryBudgets;
	private readonly turns = new TurnQueue();
	private readonly sender = new HttpSender(this.turns);
	private readonly drain: Drain;
	private readonly forwardDependencies: ForwardDependencies;
	private rateState = {ackedSerial: 0, standing: 0};
	private hostCount = 1;
	private readonly plannedStop: PlannedStop;
	private readonly keyLease = new KeyLease(() => this.bounds.keyLeaseMs);
	private readonly connections: CallerConnections;
	private readonly crashes: HostCrashes;
	private readonly usage: UsageCounter;

	constructor(private readonly opts: EntryHostOptions) {
		super();
		const {settings, clock, logger, metrics, peers} = opts;
		this.bounds = settings.bounds;
		this.memory = new MemoryBudget(clock, settings.memoryMb * BYTES_PER_MB * HELD_MEMORY_RATIO);
		this.memoryMetrics = new MemoryMetrics(this.memory, metrics);
		this.queueMetrics = new QueueMetrics(metrics);
		this.plannedStop = new PlannedStop(clock);
		this.drain = new Drain({clock, deadlineMs: settings.bounds.drainMs, balancerWaitMs: settings.bounds.balancerWaitMs});
		this.rates = new RateAllocations(clock);
		this.retryBudgets = new RetryBudgets(clock, () => this.getRetryLimits());
		this.speeds = new HostSpeeds(clock);
		this.choiceMetrics = new ChoiceMetrics(this.speeds, metrics);
		this.targets = this.createTargets();
		this.follower = new ControlFollower({
			hostId: settings.host, zone: settings.zone, clock, getTimeOfDayMs: () => Date.now(), random: opts.random, logger, peers, sink: this,
		});
		this.coldSends = new ColdSendRequests({
			clock,
			metrics,
			getIntervalMs: () => this.follower.getIntervalMs(),
			requestSends: async wants => this.follower.requestColdSends(wants),
			onGrant: (targetId, endMs) => {
				this.targets.grantColdSend(targetId, endMs);
			},
		});
		this.queue = new SlotQueue(clock, new TargetSlotSource({
			clock,
			targets: this.targets,
			requestColdSend: (service, targetId) => {
				this.requestColdSend(service, targetId);
			},
			onChoice: basis => {
				this.choiceMetrics.recordChoice(basis);
			},
			requestAdapter: async (service, model, adapter) => this.follower.requestAdapter(service, model, adapter),
		}), {random: opts.random, observer: this.queueMetrics});
		this.decisionLog = new DecisionLog(clock, logger);
		this.usage = new UsageCounter(clock, () => Date.now());
		this.observer = new EntryObserver(this.decisionLog, metrics, () => this.follower.getAgeMs(), this.usage);
		this.crashes = new HostCrashes({
			clock, logger, metrics, follower: this.follower, onTargetEnd: end => {
				this.observer.recordTargetEnd(end);
				this.targets.recordEnd(end);
			},
		});
		this.forwardDependencies = this.createForwardDependencies();
		this.server = this.createServer();
		this.connections = new CallerConnections(this.server, () => this.drain.trackWork('connection'));
	}

	/** Polls the control hosts and assigns waiting requests to targets until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.follower.run(signal), this.processQueue(signal), this.decisionLog.run(signal), this.crashes.run(signal), this.opts.watch.run(signal)]);
		this.sender.close();
	}

	getUnreadyReasons(): readonly UnreadyReason[] {
		const drainReason = this.drain.getUnreadyReason();
		return [
			...(drainReason ? [drainReason] : []),
			...(this.routeTable ? [] : [{check: 'configuration', reason: 'No configuration has arrived yet.'}]),
			...(this.keyLease.isValid() ? [] : [{check: 'keys', reason: 'No leader has confirmed the keys of callers for too long.'}]),
		];
	}

	/** Drains the host: requests that are expected to end in time are served, others refused, and each answer closes its connection. New connections are accepted until the balancer has stopped sending them. */
	async stop(reason: string): Promise<void> {
		const {clock, logger} = this.opts;
		const {drainMs, balancerWaitMs} = this.bounds;
		this.plannedStop.begin(drainMs, balancerWaitMs);
		const drained = this.drain.start(reason, {deadlineMs: drainMs, balancerWaitMs});
		this.queue.refuseForOtherReasons();
		this.queue.dispatch();
		await clock.sleep(Math.min(balancerWaitMs, drainMs));
		this.queue.close();
		const listenerClosed = this.connections.stopAccepting(this.plannedStop.ended);
		void this.limitIdleWait(drainMs * (1 - IDLE_WAIT_RATIO));
		const report = await drained;
		logger.info({...report}, 'The host has drained.');
		if (report.outcome === 'deadline') {
			// After a standstill of this host, the timer of the drain fires before what targets have sent meanwhile is read.
			await readArrived();
		}

		this.plannedStop.end();
		await listenerClosed;
		await this.connections.close(clock);
	}

	/** Takes current values into the metrics that are read next. */
	updateMetrics(): void {
		this.memoryMetrics.update();
		this.choiceMetrics.update();
		this.queueMetrics.updateWaiting(this.queue.getWaitingByReason());
	}

	/** Applies the settings that may change while the host runs. */
	applySettings({seeds, bounds}: Pick<EntrySettings, 'seeds' | 'bounds'>): void {
		this.opts.peers.setSeeds(seeds);
		this.bounds = bounds;
		this.retryBudgets.updateLimits();
	}

	override createReport(): HostReport {
		const speeds = createSpeedReport(this.speeds);
		return {
			running: this.targets.getOwnRequests().map(([id, count]) => [id, count]),
			adapters: this.targets.getAdapterUses().map(([id, model, adapter, count]) => [id, model, adapter, count]),
			arrivals: this.observer.collectArrivals(),
			waiting: this.queue.getWaitingByModel().map(({service, model = '', waiting, crowded}) => [service, model, waiting, crowded]),
			rates: {...this.rateState, demand: [...this.rates.getDemand()]},
			crashes: this.crashes.exchange.createReport(),
			leaving: this.targets.getLeaving().slice(-MAX_LEAVING_TARGETS),
			...(speeds && {speeds}),
			usage: this.usage.createReport(),
			// Services whose targets do not report their current speed are queued for in each host alone, as before.
			queue: filterServices(this.queue.createReport(), service => this.speeds.isActive(service)),
		};
	}

	override getKnownVersions(): {readonly configVersion: number; readonly registry: {readonly origin: string; readonly revision: number}} {
		return {configVersion: this.routeTable?.config.version ?? 0, registry: this.targets.getFollowedRevision()};
	}

	override applyCrashes(records: NonNullable<SyncResponse['crashes']>): void {
		this.crashes.tracker.mergeShared(records);
	}

	override applyConfig({version, source}: TrafficSource): void {
		const {clock, decoder, logger} = this.opts;
		const startedMs = clock.now();
		const decoded = decoder.decode(source);
		const decodeMs = Math.round(clock.now() - startedMs);
		if (decoded.isErr || version <= (this.routeTable?.config.version ?? 0)) {
			logger.error({version, faults: decoded.isErr ? decoded.error.slice(0, 3) : []}, 'A configuration cannot be put into force.');
			return;
		}

		this.routeTable = new RouteTable(decoded.value);
		this.rates.setCustomers(decoded.value.customers ?? []);
		const {headerTimeoutMs, idleTimeoutMs} = decoded.value.limits;
		// A request that takes longer to arrive than the longest timeout of any route cannot be served.
		setReadTimeouts(this.server, {headMs: headerTimeoutMs, requestMs: headerTimeoutMs + Math.max(0, ...decoded.value.routes.map(({timeoutMs}) => timeoutMs))});
		this.server.keepAliveTimeout = idleTimeoutMs;
		logger.info({
			version, routes: decoded.value.routes.length, services: decoded.value.services.length, decodeMs,
		}, 'A configuration is in force.');
	}

	override applyTargets(update: SyncResponse['registry'], zonesOut: readonly string[]): void {
		this.targets.setZonesOutOfService(zonesOut);
		if (update.isWhole || update.targets.length > 0 || update.skippedIds) {
			this.targets.update(update);
		}
	}

	override applyHostCount(count: number): void {
		this.hostCount = Math.max(1, count);
		this.retryBudgets.updateLimits();
	}

	override applyConfirmation({version, ageMs}: NonNullable<SyncResponse['confirmed']>, mark: TimeMark): void {
		if ((this.routeTable?.config.version ?? 0) >= version) {
			this.keyLease.renew(mark, ageMs);
		}
	}

	override applyPlan({others, expected, rates, crashes, leaving = [], speeds, usage, shortage}: LeaderPlan, sentMs: number): void {
		this.usage.follow(usage);
		if (shortage) {
			this.queue.applyFigures(shortage);
		}

		if (crashes) {
			this.crashes.exchange.applyAnswer(crashes);
		}

		if (speeds) {
			this.speeds.apply(fromSpeedPlan(speeds));
		}

		this.speeds.recordPlan();

		this.targets.setExpectedModels(expected);
		this.targets.setLeavingHints(leaving);
		this.targets.setOtherHostsRequests(others);
		this.hostCount = Math.max(1, rates.hostCount);
		this.rateState = {ackedSerial: rates.serial, standing: rates.standing};
		const leased = new Map(rates.leased);
		for (const {name} of this.routeTable?.config.customers ?? []) {
			this.rates.setAllocation(name, {standing: rates.standing, leased: leased.get(name) ?? 0, leaseEndsMs: sentMs + RATE_LEASE_MS});
		}

		this.retryBudgets.updateLimits();
	}

	private createServer(): Server {
		return createHttpServer((req, res) => {
			void this.serve(req, res);
		}, {memory: this.memory});
	}

	private createTargets(): TargetTable {
		const {settings, clock, random} = this.opts;
		return new TargetTable({
			clock,
			random,
			zone: settings.zone,
			getColdRate: service => this.getColdRate(service),
			getBatchSlots: service => this.routeTable?.services.get(service)?.engine?.batchSlots,
			pricing: {
				speeds: this.speeds,
				getPreference: targetId => getHostPreference(settings.host, targetId),
				hasIdleConnection: address => this.sender.hasIdleConnection(address),
			},
			promptMemory: {
				getMemoryTokens: service => this.speeds.isActive(service) ? this.routeTable?.services.get(service)?.engine?.memoryTokens : undefined,
				getHostCount: () => this.hostCount,
				onSend: prefix => {
					this.choiceMetrics.recordPrefix(prefix);
				},
			},
			onColdSends: (basis, count) => {
				this.observer.recordColdSends(basis, count);
			},
		});
	}

	private createForwardDependencies(): ForwardDependencies {
		const {clock, random, dialect} = this.opts;
		return {
			clock,
			memory: this.memory,
			turns: this.turns,
			random,
			dialect,
			queue: this.queue,
			rates: this.rates,
			poolClient: new BackoffPoolClient(clock, this.follower),
			retrySchedule: new RetrySchedule(clock),
			sender: this.sender,
			observer: this.observer,
			getTable: () => this.routeTable,
			stop: this.plannedStop,
			keyLease: this.keyLease,
			crashes: this.crashes.tracker,
			crashGate: this.crashes.gate,
			targetEnds: this.crashes.targetEnds,
			durations: new RouteDurations(),
			sizes: new RouteSizes(),
			getRetries: service => this.retryBudgets.get(service),
		};
	}

	/** Lets the drain end the given time before its deadline if only idle connections are left. */
	private async limitIdleWait(beforeEndMs: number): Promise<void> {
		await this.opts.clock.sleep((this.plannedStop.getTimeLeftMs() ?? 0) - beforeEndMs, this.plannedStop.ended);
		this.connections.stopTrackingIdle();
	}

	private getRetryLimits(): {ratio: number; reserve: number} {
		return {ratio: this.bounds.retryRatio, reserve: this.bounds.retryReserve / this.hostCount};
	}

	/** Requests per second that all hosts together may send to a cold target of a service. */
	private getFleetColdRate(service: string): number {
		return (this.routeTable?.services.get(service)?.coldRequestsPerSecond ?? 0) * this.bounds.coldExcessRatio;
	}

	private getColdRate(service: string): number {
		return this.getFleetColdRate(service) / this.hostCount;
	}

	private requestColdSend(service: string, targetId: string): void {
		if (this.getColdRate(service) < 1) {
			void this.coldSends.request({targetId, perSecond: this.getFleetColdRate(service)});
		}
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const exchange = new NodeExchange(req, res, {memory: this.memory, turns: this.turns, isStopping: () => this.plannedStop.hasBegun()});
		const endWork = this.drain.trackWork('request');
		try {
			await forwardRequest(exchange, this.forwardDependencies);
		} catch (err: unknown) {
			this.logFailedRequest(exchange, err);
			// The request has been ended already, unless that failed too.
			if (!exchange.hasEnded()) {
				exchange.abort();
			}
		} finally {
			endWork();
		}
	}

	private logFailedRequest({head}: NodeExchange, err: unknown): void {
		let requestId = '';
		try {
			requestId = sanitizeName(this.opts.dialect.readCall(head)?.attemptId ?? '');
		} catch {
			// The failure to be logged may be that the head cannot be parsed.
		}

		this.opts.logger.error({err, requestId, url: sanitizeName(head.url)}, 'A request failed unexpectedly.');
	}

	private async processQueue(signal: AbortSignal): Promise<void> {
		const {clock} = this.opts;
		while (!signal.aborted) {
			await this.targets.changed.wait(clock, jitter(QUEUE_RETRY_INTERVAL_MS, this.opts.random), signal);
			this.queue.dispatch();
		}
	}
}
