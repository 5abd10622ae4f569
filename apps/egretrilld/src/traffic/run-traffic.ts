import {once} from 'node:events';
import type {RequestListener, Server} from 'node:http';
import process from 'node:process';
import {createHealthApp, type HealthAppOptions} from '@egretrill/balancer';
import {createHttpServer} from '@egretrill/common';
import {startPeerServer} from '@egretrill/hosts';
import type {Container} from 'inversify';
import {ControlCalls} from '../control-calls.js';
import type {Adapter} from './adapter.js';
import {createTrafficContainer} from './container.js';
import {ReloadRequests} from './reload-requests.js';
import type {TrafficSettings} from './settings.js';
import {trafficTokens} from './tokens.js';

/** Source of a host's settings, which may change while it runs. */
export abstract class SettingsSource {
	abstract read(): Promise<TrafficSettings>;
}

/** What the tasks of a process have in common. */
type Process = {readonly container: Container; readonly source: SettingsSource; readonly adapter: Adapter; readonly reloads: ReloadRequests};

async function listen(server: Server, address: string): Promise<void> {
	const separator = address.lastIndexOf(':');
	server.listen(Number(address.slice(separator + 1)), address.slice(0, separator));
	await once(server, 'listening');
}

async function serveMetrics(container: Container, settings: TrafficSettings, app: Omit<HealthAppOptions, 'metrics'>): Promise<Server | undefined> {
	if (settings.metrics === undefined) {
		return undefined;
	}

	const server = createHttpServer(createHealthApp({metrics: container.get(trafficTokens.metrics), ...app}) as RequestListener);
	await listen(server, settings.metrics);
	return server;
}

/** Re-reads the settings on SIGHUP and periodically, and applies changed ones. */
async function watchSettings({container, source, reloads}: Process, initialSettings: TrafficSettings, apply: (settings: TrafficSettings) => void, signal: AbortSignal): Promise<void> {
	const clock = container.get(trafficTokens.clock);
	const logger = container.get(trafficTokens.logger);
	let appliedSerialized = JSON.stringify(initialSettings);
	while (!signal.aborted) {
		await reloads.wait(clock, signal);
		try {
			const settings = await source.read();
			const serialized = JSON.stringify(settings);
			if (serialized !== appliedSerialized) {
				appliedSerialized = serialized;
				apply(settings);
				logger.info({seeds: settings.seeds, bounds: settings.bounds}, 'The settings were reloaded.');
			}
		} catch (err: unknown) {
			logger.error({err}, 'The settings cannot be read; the previous ones stay in force.');
		}
	}
}

async function runControl(running: Process, settings: TrafficSettings & {role: 'control'}, signal: AbortSignal): Promise<void> {
	const {container, adapter} = running;
	const control = container.get(trafficTokens.control);
	const logger = container.get(trafficTokens.logger);
	const peerServer = await startPeerServer({
		address: settings.listen.peers, credentials: container.get(trafficTokens.credentials), handlers: control.getHandlers(), logger,
	});
	const hostTask = control.run(signal);
	const server = createHttpServer(adapter.createControlApp(control));
	const calls = new ControlCalls(server, container.get(trafficTokens.clock));
	await listen(server, settings.listen.control);
	const metrics = await serveMetrics(container, settings, {getUnreadyReasons: () => []});
	logger.info({
		role: settings.role, ...settings.listen, seeds: settings.seeds, isFirstStart: settings.isFirstStart,
	}, 'Host started.');
	void watchSettings(running, settings, changed => {
		control.updateSeeds(changed.seeds);
	}, signal);
	try {
		await hostTask;
	} finally {
		await calls.end();
		metrics?.close();
		await peerServer.stop();
	}
}

async function runEntry(running: Process, settings: TrafficSettings & {role: 'entry'}, stop: AbortSignal): Promise<void> {
	const {container, adapter} = running;
	const entry = container.get(trafficTokens.entry);
	const logger = container.get(trafficTokens.logger);
	const ended = new AbortController();
	const hostTask = entry.run(ended.signal);
	const readyServer = createHttpServer(adapter.createReadyApp(() => entry.getUnreadyReasons()));
	await listen(readyServer, settings.listen.health);
	await listen(entry.server, settings.listen.callers);
	const metrics = await serveMetrics(container, settings, {
		getUnreadyReasons: () => entry.getUnreadyReasons(),
		onScrape() {
			entry.updateMetrics();
		},
	});
	logger.info({role: settings.role, ...settings.listen, seeds: settings.seeds}, 'Host started.');
	void watchSettings(running, settings, changed => {
		entry.applySettings(changed);
	}, ended.signal);
	if (!stop.aborted) {
		await once(stop, 'abort');
	}

	await entry.stop(String(stop.reason));
	ended.abort();
	await hostTask;
	for (const server of [readyServer, metrics]) {
		server?.close();
		server?.closeAllConnections();
	}
}

/** Runs a host until a signal stops it. */
export async function runTraffic(source: SettingsSource, adapter: Adapter): Promise<void> {
	const reloads = new ReloadRequests();
	const settings = await source.read();
	const container = createTrafficContainer(settings, adapter);
	const logger = container.get(trafficTokens.logger);
	const stopper = new AbortController();
	for (const name of ['SIGTERM', 'SIGINT'] as const) {
		process.on(name, () => {
			logger.info({signal: name}, 'The host stops.');
			stopper.abort(name);
		});
	}

	const running = {
		container, source, adapter, reloads,
	};
	await (settings.role === 'control'
		? runControl(running, settings, stopper.signal)
		: runEntry(running, settings, stopper.signal));
	logger.info('Host stopped.');
}
