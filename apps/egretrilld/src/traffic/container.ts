import {randomInt} from 'node:crypto';
import 'reflect-metadata';
import {Metrics} from '@egretrill/balancer';
import {
	createLogger, createRandom, getComponentLogger, LoopWatch, MonotonicClock,
} from '@egretrill/common';
import {ControlPeers} from '@egretrill/hosts';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {Container} from 'inversify';
import type {Adapter} from './adapter.js';
import {ConnectionMetrics} from './connection-metrics.js';
import {ControlHost} from './control-host.js';
import {DutyMetrics} from './duty-metrics.js';
import {EntryHost} from './entry-host.js';
import {LoadMetrics} from './load-metrics.js';
import {LoopMetrics} from './loop-metrics.js';
import type {ControlSettings, EntrySettings, TrafficSettings} from './settings.js';
import {trafficTokens} from './tokens.js';

function bindControl(container: Container, settings: ControlSettings): void {
	container.bind(trafficTokens.control).toDynamicValue(ctx => new ControlHost({
		settings,
		clock: ctx.get(trafficTokens.clock),
		random: ctx.get(trafficTokens.random),
		logger: getComponentLogger(ctx.get(trafficTokens.logger), 'control'),
		watch: ctx.get(trafficTokens.watch),
		loadObserver: new LoadMetrics(ctx.get(trafficTokens.metrics)),
		credentials: ctx.get(trafficTokens.credentials),
		connections: new ConnectionMetrics(getComponentLogger(ctx.get(trafficTokens.logger), 'control'), ctx.get(trafficTokens.metrics)),
		decoder: ctx.get(trafficTokens.adapter).decoder,
		orders: ctx.get(trafficTokens.adapter).createOrders(),
		...(settings.provider && {
			provider: {
				settings: settings.provider, calls: ctx.get(trafficTokens.adapter).createProviderCalls(settings.provider), observer: new DutyMetrics(ctx.get(trafficTokens.metrics)),
			},
		}),
	})).inSingletonScope();
}

function bindEntry(container: Container, settings: EntrySettings): void {
	container.bind(trafficTokens.entry).toDynamicValue(ctx => new EntryHost({
		settings,
		clock: ctx.get(trafficTokens.clock),
		random: ctx.get(trafficTokens.random),
		logger: getComponentLogger(ctx.get(trafficTokens.logger), 'callers'),
		metrics: ctx.get(trafficTokens.metrics),
		watch: ctx.get(trafficTokens.watch),
		peers: new ControlPeers({
			seedIds: settings.seeds,
			clock: ctx.get(trafficTokens.clock),
			credentials: ctx.get(trafficTokens.credentials),
			observer: new ConnectionMetrics(getComponentLogger(ctx.get(trafficTokens.logger), 'callers'), ctx.get(trafficTokens.metrics)),
		}),
		dialect: ctx.get(trafficTokens.adapter).dialect,
		decoder: ctx.get(trafficTokens.adapter).decoder,
	})).inSingletonScope();
}

/** Binds the parts of a host of either role. */
export function createTrafficContainer(settings: TrafficSettings, adapter: Adapter): Container {
	const container = new Container();
	container.bind(trafficTokens.adapter).toConstantValue(adapter);
	container.bind(trafficTokens.clock).toConstantValue(new MonotonicClock());
	container.bind(trafficTokens.random).toConstantValue(createRandom(randomInt(2 ** 31)));
	container.bind(trafficTokens.logger).toConstantValue(createLogger(`egretrilld.${settings.host}`, settings.logLevel));
	container.bind(trafficTokens.metrics).toConstantValue(new Metrics());
	container.bind(trafficTokens.watch).toDynamicValue(ctx => new LoopWatch(
		ctx.get(trafficTokens.clock),
		getComponentLogger(ctx.get(trafficTokens.logger), settings.role === 'control' ? 'control' : 'callers'),
		new LoopMetrics(ctx.get(trafficTokens.metrics)),
	)).inSingletonScope();
	// The platform isolates the network between hosts and issues no certificates.
	container.bind(trafficTokens.credentials).toConstantValue({server: ServerCredentials.createInsecure(), client: credentials.createInsecure()});
	if (settings.role === 'control') {
		bindControl(container, settings);
	} else {
		bindEntry(container, settings);
	}

	return container;
}
