import {randomInt, randomUUID} from 'node:crypto';
import 'reflect-metadata';
import {
	createLogger, createRandom, getComponentLogger, MonotonicClock, type Settings,
} from '@egretrill/common';
import {
	CostRouting, EngineClient, RoundRobinRouting, type RoutingPolicy, TargetDirectory, TwoChoicesRouting,
} from '@egretrill/engines';
import {ConfigFollower, InForceReports} from '@egretrill/hosts';
import {Drain, Metrics} from '@egretrill/platform';
import {ServiceClient} from '@egretrill/services';
import {credentials as grpcCredentials} from '@grpc/grpc-js';
import {Container, type ResolutionContext} from 'inversify';
import {DirectoryPool} from './directory-pool.js';
import {DirectorySync} from './directory-sync.js';
import {LiveConfig} from './live-config.js';
import {LocalOrigin} from './local-origin.js';
import {PeerDirectory} from './peer-directory.js';
import {tokens} from './tokens.js';
import {UnavailableLedger} from './unavailable-ledger.js';
import {ZoneStates} from './zone-conditions.js';

function createPolicy(name: Settings['routingPolicy']): RoutingPolicy {
	switch (name) {
		case 'cost': {
			return new CostRouting();
		}

		case 'two-choices': {
			return new TwoChoicesRouting();
		}

		case 'round-robin': {
			return new RoundRobinRouting();
		}
	}
}

function bindBase(container: Container, settings: Settings): void {
	container.bind(tokens.settings).toConstantValue(settings);
	container.bind(tokens.clock).toConstantValue(new MonotonicClock());
	container.bind(tokens.random).toConstantValue(createRandom(randomInt(2 ** 31)));
	container.bind(tokens.logger).toConstantValue(createLogger(`egretrilld.${settings.host}`, settings.logLevel));
	container.bind(tokens.metrics).toDynamicValue(() => new Metrics()).inSingletonScope();
	container.bind(tokens.drain).toDynamicValue(ctx => new Drain({clock: ctx.get(tokens.clock), deadlineMs: settings.drainDeadlineMs})).inSingletonScope();
}

function getLogger(ctx: ResolutionContext, component: string) {
	return getComponentLogger(ctx.get(tokens.logger), component);
}

function bindHosts(container: Container, settings: Settings): void {
	container.bind(tokens.reports).toDynamicValue(() => new InForceReports()).inSingletonScope();
	container.bind(tokens.peers).toDynamicValue(ctx => new PeerDirectory(settings, ctx.get(tokens.clock), grpcCredentials.createInsecure())).inSingletonScope();
	container.bind(tokens.origin).toDynamicValue(ctx => {
		const leader = settings.peers.find(peer => peer.voter);
		return leader?.id === settings.host
			? new LocalOrigin(settings.host)
			: new ConfigFollower({
				hostId: settings.host,
				fleet: settings.fleet,
				clock: ctx.get(tokens.clock),
				random: ctx.get(tokens.random),
				logger: getLogger(ctx, 'hosts'),
				reports: ctx.get(tokens.reports),
				getParents: () => [leader && ctx.get(tokens.peers).getClient(leader.id)].filter(client => client !== undefined),
			});
	}).inSingletonScope();
	container.bind(tokens.config).toDynamicValue(ctx => new LiveConfig(ctx.get(tokens.origin))).inSingletonScope();
	container.bind(tokens.zones).toDynamicValue(ctx => new ZoneStates(ctx.get(tokens.clock), ctx.get(tokens.config))).inSingletonScope();
}

function bindTargets(container: Container, settings: Settings): void {
	container.bind(tokens.directory).toDynamicValue(ctx => new TargetDirectory({clock: ctx.get(tokens.clock), epoch: randomUUID()})).inSingletonScope();
	container.bind(tokens.policy).toDynamicValue(() => createPolicy(settings.routingPolicy)).inSingletonScope();
	container.bind(tokens.engines).toDynamicValue(ctx => new EngineClient(ctx.get(tokens.clock))).inSingletonScope();
	container.bind(tokens.directorySync).toDynamicValue(ctx => new DirectorySync({
		settings,
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		logger: getLogger(ctx, 'targets'),
		peers: ctx.get(tokens.peers),
		directory: ctx.get(tokens.directory),
	})).inSingletonScope();
	container.bind(tokens.pool).toDynamicValue(ctx => new DirectoryPool({
		clock: ctx.get(tokens.clock),
		random: ctx.get(tokens.random),
		logger: getLogger(ctx, 'routing'),
		hostZone: settings.zone,
		directory: ctx.get(tokens.directory),
		policy: ctx.get(tokens.policy),
		config: ctx.get(tokens.config),
		getZoneConditions: () => ctx.get(tokens.zones).getConditions(),
	})).inSingletonScope();
}

function bindCallers(container: Container, settings: Settings): void {
	container.bind(tokens.requestParts).toDynamicValue(ctx => ({
		hostId: settings.host,
		clock: ctx.get(tokens.clock),
		logger: getLogger(ctx, 'callers'),
		config: ctx.get(tokens.config),
		targets: ctx.get(tokens.pool),
		engines: ctx.get(tokens.engines),
		services: new ServiceClient(),
		ledger: new UnavailableLedger(),
		takeRetry: () => true,
	})).inSingletonScope();
}

/** Wires the daemon; the only place that knows which class serves which part. */
export function createContainer(settings: Settings): Container {
	const container = new Container();
	bindBase(container, settings);
	bindHosts(container, settings);
	bindTargets(container, settings);
	bindCallers(container, settings);
	return container;
}
