import {randomInt, randomUUID} from 'node:crypto';
import 'reflect-metadata';
import {
	CrashExchange, CrashGate, CrashRecord, CrashReporter, CrashTracker, QueueSet, RetryBudget, ShareHolder,
} from '@egretrill/callers';
import {
	createLogger, createRandom, getComponentLogger, type Logger, MonotonicClock, partitionValid, type Settings,
} from '@egretrill/common';
import {
	type BlockHasher, ColdPermitHolder, ColdTargetDetector, CostRouting, DemandEstimator, DemandPlacement, EngineClient, FencingOrderChannel, PrefixCacheEstimate, RoundRobinRouting,
	type RoutingPolicy, sumCounts, TargetDirectory, TwoChoicesRouting, UnfencedOrderChannel, ZoneOwner,
} from '@egretrill/engines';
import {
	ConfigFollower, FleetConfigSource, FleetLog, InForceReports, MAX_OUTCOME_BODY_BYTES, type PeerCredentials, PeerDirectory, ZoneLeaseClient, zoneLeaseMethod,
} from '@egretrill/hosts';
import {PromiseCounters} from '@egretrill/monitor';
import {Drain, Metrics} from '@egretrill/balancer';
import {ReplicatedLedger, ServiceClient} from '@egretrill/services';
import {Container, type ResolutionContext} from 'inversify';
import {CrashLog} from './crash-log.js';
import {DaemonCrashTransport} from './callers/crash-transport.js';
import {DaemonObserver} from './callers/daemon-observer.js';
import {FleetCallLog} from './callers/fleet-call-log.js';
import {LiveConfig} from './callers/live-config.js';
import {GrpcShareTransport} from './callers/share-transport.js';
import {createVoter} from './hosts/voter.js';
import {DaemonView} from './monitor/daemon-view.js';
import {EvidenceHolder} from './monitor/evidence-holder.js';
import {PromiseAudit} from './monitor/promise-audit.js';
import {DaemonControl} from './operators/daemon-control.js';
import {CHAT_REQUEST_ENDS_TO_BLOCK, CRASH_REPORT_INTERVAL_MS} from './constants.js';
import {AdapterLoader} from './targets/adapter-loader.js';
import {DirectoryPool} from './targets/directory-pool.js';
import {DirectorySync} from './targets/directory-sync.js';
import {LoadPermitClient} from './targets/load-permit-client.js';
import {GrpcPermitTransport} from './targets/permit-transport.js';
import {RecordingChannel} from './targets/recording-channel.js';
import {ZoneDuties} from './targets/zone-duties.js';
import {ZoneStates} from './targets/zone-states.js';
import {tokens} from './tokens.js';

/** Dependencies that are created before the container. */
export type ContainerOptions = {
	readonly settings: Settings;
	readonly credentials: PeerCredentials;
	readonly hash: BlockHasher;
};

function getLogger(ctx: ResolutionContext, component: string): Logger {
	return getComponentLogger(ctx.get(tokens.logger), component);
}

function bindBase(container: Container, {settings}: ContainerOptions): void {
	container.bind(tokens.settings).toConstantValue(settings);
	container.bind(tokens.clock).toConstantValue(new MonotonicClock());
	container.bind(tokens.random).toConstantValue(createRandom(randomInt(2 ** 31)));
	container.bind(tokens.logger).toConstantValue(createLogger(`egretrilld.${settings.host}`, settings.logLevel));
	container.bind(tokens.metrics).toConstantValue(new Metrics());
	container.bind(tokens.promises).toConstantValue(new PromiseCounters());
	container.bind(tokens.evidence).toDynamicValue(ctx => new EvidenceHolder(settings, getLogger(ctx, 'monitor'))).inSingletonScope();
	container.bind(tokens.drain).toDynamicValue(ctx => new Drain({clock: ctx.get(tokens.clock), deadlineMs: settings.drainDeadlineMs})).inSingletonScope();
	container.bind(tokens.stopping).toConstantValue(new AbortController());
}

function bindHosts(container: Container, {settings, credentials}: ContainerOptions): void {
	container.bind(tokens.reports).toConstantValue(new InForceReports());
	container.bind(tokens.peers).toDynamicValue(ctx => new PeerDirectory(settings, ctx.get(tokens.clock), credentials, getLogger(ctx, 'hosts'))).inSingletonScope();
	container.bind(tokens.voter).toDynamicValue(ctx => createVoter({
		settings, clock: ctx.get(tokens.clock), random: ctx.get(tokens.random), logger: getLogger(ctx, 'log'), peers: ctx.get(tokens.peers), reports: ctx.get(tokens.reports),
	})).inSingletonScope();
	container.bind(tokens.follower).toDynamicValue(ctx => new ConfigFollower({
		hostId: settings.host,
		fleet: settings.fleet,
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		logger: getLogger(ctx, 'hosts'),
		reports: ctx.get(tokens.reports),
		joinCrashes: records => ctx.get(tokens.crashes).mergeShared(partitionValid(CrashRecord, records).valid),
		getParents() {
			const node = ctx.get(tokens.voter)?.node;
			return node?.isLeaderWithLease() ? [] : ctx.get(tokens.peers).getParents(node?.status().leaderId);
		},
	})).inSingletonScope();
	container.bind(tokens.versionedConfig).toDynamicValue(ctx => {
		const voter = ctx.get(tokens.voter);
		const follower = ctx.get(tokens.follower);
		return voter
			? new FleetConfigSource({
				clock: ctx.get(tokens.clock), node: voter.node, state: voter.state, follower,
			})
			: follower;
	}).inSingletonScope();
	container.bind(tokens.log).toDynamicValue(ctx => new FleetLog({
		hostId: settings.host,
		clock: ctx.get(tokens.clock),
		peers: ctx.get(tokens.peers),
		node: ctx.get(tokens.voter)?.node,
		getLeaderId: () => ctx.get(tokens.versionedConfig).getLeaderId(),
		getAgeMs: () => ctx.get(tokens.versionedConfig).getAgeMs(),
		ended: ctx.get(tokens.stopping).signal,
	})).inSingletonScope();
	container.bind(tokens.lease).toDynamicValue(ctx => new ZoneLeaseClient({
		hostId: settings.host,
		zone: settings.zone,
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		isCandidate: () => ctx.get(tokens.peers).getDirectoryHosts(settings.zone).some(peer => peer.id === settings.host),
		async requestLease(zone, host) {
			const leaderId = ctx.get(tokens.versionedConfig).getLeaderId();
			const answer = leaderId === undefined ? undefined : await ctx.get(tokens.peers).call(leaderId, zoneLeaseMethod, {zone, host});
			return answer?.isOk ? answer.value : undefined;
		},
	})).inSingletonScope();
	container.bind(tokens.config).toDynamicValue(ctx => new LiveConfig(ctx.get(tokens.versionedConfig))).inSingletonScope();
	container.bind(tokens.zones).toDynamicValue(ctx => new ZoneStates(ctx.get(tokens.clock), ctx.get(tokens.config), settings)).inSingletonScope();
}

function createPolicy(name: Settings['routingPolicy'], prefixCache: PrefixCacheEstimate): RoutingPolicy {
	switch (name) {
		case 'cost': {
			return new CostRouting(prefixCache);
		}

		case 'two-choices': {
			return new TwoChoicesRouting();
		}

		case 'round-robin': {
			return new RoundRobinRouting();
		}
	}
}

function bindDirectory(container: Container, {settings, hash}: ContainerOptions): void {
	container.bind(tokens.directory).toDynamicValue(ctx => new TargetDirectory({clock: ctx.get(tokens.clock), epoch: randomUUID()})).inSingletonScope();
	container.bind(tokens.prefixCache).toDynamicValue(ctx => new PrefixCacheEstimate({clock: ctx.get(tokens.clock), hash})).inSingletonScope();
	container.bind(tokens.policy).toDynamicValue(ctx => createPolicy(settings.routingPolicy, ctx.get(tokens.prefixCache))).inSingletonScope();
	container.bind(tokens.demand).toDynamicValue(ctx => new DemandEstimator(ctx.get(tokens.clock).now())).inSingletonScope();
	container.bind(tokens.directorySync).toDynamicValue(ctx => new DirectorySync({
		settings,
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		logger: getLogger(ctx, 'targets'),
		peers: ctx.get(tokens.peers),
		directory: ctx.get(tokens.directory),
		prefixCache: ctx.get(tokens.prefixCache),
		demand: ctx.get(tokens.demand),
		getWaiting: () => sumCounts(ctx.get(tokens.queues).getWaitingByModel(), ctx.get(tokens.pool).getWaitingByModel()),
		getOwnLeaseHolder: () => ctx.get(tokens.lease).getHolder(),
	})).inSingletonScope();
	container.bind(tokens.permits).toDynamicValue(ctx => new ColdPermitHolder({
		hostId: settings.host,
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		directory: ctx.get(tokens.directory),
		transport: new GrpcPermitTransport(ctx.get(tokens.peers), zone => ctx.get(tokens.directorySync).getZoneOwner(zone)),
	})).inSingletonScope();
	container.bind(tokens.pool).toDynamicValue(ctx => new DirectoryPool({
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		logger: getLogger(ctx, 'routing'),
		hostZone: settings.zone,
		directory: ctx.get(tokens.directory),
		policy: ctx.get(tokens.policy),
		permits: ctx.get(tokens.permits),
		collapses: new ColdTargetDetector(ctx.get(tokens.clock)),
		prefixCache: ctx.get(tokens.prefixCache),
		config: ctx.get(tokens.config),
		getZoneConditions: () => ctx.get(tokens.zones).getConditions(),
		adapters: new AdapterLoader({
			clock: ctx.get(tokens.clock),
			logger: getLogger(ctx, 'placement'),
			peers: ctx.get(tokens.peers),
			getZoneOwner: zone => ctx.get(tokens.directorySync).getZoneOwner(zone),
		}),
	})).inSingletonScope();
}

function bindPlacement(container: Container, {settings}: ContainerOptions): void {
	container.bind(tokens.owner).toDynamicValue(ctx => {
		const logger = getLogger(ctx, 'placement');
		const getEvidence = () => ctx.get(tokens.evidence).get();
		const fencing = new RecordingChannel(new FencingOrderChannel(), logger, getEvidence);
		const unfenced = new RecordingChannel(new UnfencedOrderChannel(), logger, getEvidence);
		return new ZoneOwner({
			zone: settings.zone,
			clock: ctx.get(tokens.clock),
			lease: ctx.get(tokens.lease),
			policy: new DemandPlacement(),
			permits: new LoadPermitClient({
				hostId: settings.host, clock: ctx.get(tokens.clock), peers: ctx.get(tokens.peers), getLeaderId: () => ctx.get(tokens.versionedConfig).getLeaderId(),
			}),
			getChannel: ({honoursFencing}) => honoursFencing ? fencing : unfenced,
		});
	}).inSingletonScope();
	container.bind(tokens.zoneDuties).toDynamicValue(ctx => new ZoneDuties({
		zone: settings.zone,
		clock: ctx.get(tokens.clock),
		logger: getLogger(ctx, 'placement'),
		lease: ctx.get(tokens.lease),
		directory: ctx.get(tokens.directory),
		config: ctx.get(tokens.config),
		owner: ctx.get(tokens.owner),
	})).inSingletonScope();
}

function bindCallers(container: Container, {settings}: ContainerOptions): void {
	container.bind(tokens.engines).toDynamicValue(ctx => new EngineClient(ctx.get(tokens.clock))).inSingletonScope();
	container.bind(tokens.crashes).toDynamicValue(ctx => new CrashTracker(ctx.get(tokens.clock), randomUUID(), CHAT_REQUEST_ENDS_TO_BLOCK)).inSingletonScope();
	container.bind(tokens.crashLog).toDynamicValue(ctx => {
		const voter = ctx.get(tokens.voter);
		return voter && new CrashLog({
			clock: ctx.get(tokens.clock), logger: getLogger(ctx, 'log'), tracker: ctx.get(tokens.crashes), node: voter.node, state: voter.state, getTimeOfDayMs: () => Date.now(),
		});
	}).inSingletonScope();
	container.bind(tokens.crashGate).toDynamicValue(ctx => new CrashGate(ctx.get(tokens.clock), ctx.get(tokens.crashes))).inSingletonScope();
	container.bind(tokens.crashReporter).toDynamicValue(ctx => new CrashReporter({
		clock: ctx.get(tokens.clock),
		crashes: ctx.get(tokens.crashes),
		exchange: new CrashExchange(ctx.get(tokens.crashes), ctx.get(tokens.crashGate)),
		transport: new DaemonCrashTransport({
			hostId: settings.host,
			crashes: ctx.get(tokens.crashes),
			getCrashLog: () => ctx.get(tokens.crashLog),
			peers: ctx.get(tokens.peers),
			getLeaderId: () => ctx.get(tokens.versionedConfig).getLeaderId(),
			notifyFollowers() {
				ctx.get(tokens.versionedConfig).changed.notify();
			},
		}),
		getIntervalMs: () => CRASH_REPORT_INTERVAL_MS,
	})).inSingletonScope();
	container.bind(tokens.queues).toDynamicValue(ctx => new QueueSet({clock: ctx.get(tokens.clock), getFreeSlots: model => ctx.get(tokens.pool).getFreeSlots(model)})).inSingletonScope();
	container.bind(tokens.shares).toDynamicValue(ctx => new ShareHolder({
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		hostId: settings.host,
		startId: randomUUID(),
		transport: new GrpcShareTransport(ctx.get(tokens.peers), () => ctx.get(tokens.versionedConfig).getLeaderId()),
		customers: [],
		getOwnerId: () => 'leader',
	})).inSingletonScope();
	container.bind(tokens.requestDependencies).toDynamicValue(ctx => ({
		hostId: settings.host,
		clock: ctx.get(tokens.clock),
		logger: getLogger(ctx, 'callers'),
		config: ctx.get(tokens.config),
		shares: ctx.get(tokens.shares),
		queues: ctx.get(tokens.queues),
		crashGate: ctx.get(tokens.crashGate),
		retries: new RetryBudget(ctx.get(tokens.clock)),
		targets: ctx.get(tokens.pool),
		engines: ctx.get(tokens.engines),
		services: new ServiceClient(),
		ledger: new ReplicatedLedger(new FleetCallLog(ctx.get(tokens.log), getLogger(ctx, 'services')), MAX_OUTCOME_BODY_BYTES),
		observer: new DaemonObserver({
			clock: ctx.get(tokens.clock),
			metrics: ctx.get(tokens.metrics),
			demand: ctx.get(tokens.demand),
			audit: ctx.get(tokens.audit),
			crashes: ctx.get(tokens.crashReporter),
		}),
	})).inSingletonScope();
}

function bindOperators(container: Container, {settings}: ContainerOptions): void {
	container.bind(tokens.control).toDynamicValue(ctx => new DaemonControl({
		settings,
		source: ctx.get(tokens.versionedConfig),
		config: ctx.get(tokens.config),
		log: ctx.get(tokens.log),
		peers: ctx.get(tokens.peers),
		directory: ctx.get(tokens.directory),
		owner: ctx.get(tokens.owner),
		getZoneOwner: () => ctx.get(tokens.directorySync).getZoneOwner(settings.zone),
		getEvidence: () => ctx.get(tokens.evidence).get(),
		getTerm: () => ctx.get(tokens.voter)?.node.status().term ?? 0,
	})).inSingletonScope();
	container.bind(tokens.audit).toDynamicValue(ctx => new PromiseAudit({
		counters: ctx.get(tokens.promises), config: ctx.get(tokens.config), directory: ctx.get(tokens.directory),
	})).inSingletonScope();
	container.bind(tokens.view).toDynamicValue(ctx => new DaemonView(ctx.get(tokens.versionedConfig), ctx.get(tokens.directory), ctx.get(tokens.control))).inSingletonScope();
}

/** Binds each part of the daemon to its implementation; no other module chooses implementations. */
export function createContainer(opts: ContainerOptions): Container {
	const container = new Container();
	for (const bind of [bindBase, bindHosts, bindDirectory, bindPlacement, bindCallers, bindOperators]) {
		bind(container, opts);
	}

	return container;
}
