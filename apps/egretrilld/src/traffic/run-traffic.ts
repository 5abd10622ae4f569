import {once} from 'node:events';
import type {RequestListener, Server} from 'node:http';
import process from 'node:process';
import {createHealthApp, type HealthAppOptions} from '@egretrill/balancer';
import {createHttpServer} from '@egretrill/common';
import {startPeerServer} from '@egretrill/hosts';
import type {Container} from 'inversify';
import type {Adapter} from './adapter.js';
import {SETTINGS_POLL_INTERVAL_MS} from './constants.js';
import {createTrafficContainer} from './container.js';
import type {TrafficSettings} from './settings.js';
import {trafficTokens} from './tokens.js';

/** Source of a host's settings, which may change while it runs. */
export abstract class SettingsSource {
	abstract read(): Promise<TrafficSettings>;
}

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
async function watchSettings(container: Container, source: SettingsSource, initialSettings: TrafficSettings, apply: (settings: TrafficSettings) => void, signal: AbortSignal): Promise<void> {
	const clock = container.get(trafficTokens.clock);
	const logger = container.get(trafficTokens.logger);
	let appliedSerialized = JSON.stringify(initialSettings);
	let reload = new AbortController();
	process.on('SIGHUP', () => {
		reload.abort();
	});
	while (!signal.aborted) {
		await clock.sleep(SETTINGS_POLL_INTERVAL_MS, AbortSignal.any([signal, reload.signal]));
		reload = new AbortController();
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

async function runControl(container: Container, source: SettingsSource, settings: TrafficSettings & {role: 'control'}, adapter: Adapter, signal: AbortSignal): Promise<void> {
	const control = container.get(trafficTokens.control);
	const logger = container.get(trafficTokens.logger);
	const peerServer = await startPeerServer({
		address: settings.listen.peers, credentials: container.get(trafficTokens.credentials), handlers: control.getHandlers(), logger,
	});
	const running = control.run(signal);
	const server = createHttpServer(adapter.createControlApp(control));
	await listen(server, settings.listen.control);
	const metrics = await serveMetrics(container, settings, {getUnreadyReasons: () => []});
	logger.info({
		role: settings.role, ...settings.listen, seeds: settings.seeds, isFirstStart: settings.isFirstStart,
	}, 'Host started.');
	void watchSettings(container, source, settings, changed => {
		control.updateSeeds(changed.seeds);
	}, signal);
	await running;
	server.close();
	server.closeAllConnections();
	metrics?.close();
	await peerServer.stop();
}

async function runEntry(container: Container, source: SettingsSource, settings: TrafficSettings & {role: 'entry'}, adapter: Adapter, stop: AbortSignal): Promise<void> {
	const entry = container.get(trafficTokens.entry);
	const logger = container.get(trafficTokens.logger);
	const ended = new AbortController();
	const running = entry.run(ended.signal);
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
	void watchSettings(container, source, settings, changed => {
		entry.applySettings(changed);
	}, ended.signal);
	if (!stop.aborted) {
		await once(stop, 'abort');
	}

	await entry.stop(String(stop.reason));
	ended.abort();
	await running;
	for (const server of [readyServer, metrics]) {
		server?.close();
		server?.closeAllConnections();
	}
}

/** Runs a host until a signal stops it. */
export async function runTraffic(source: SettingsSource, adapter: Adapter): Promise<void> {
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

	await (settings.role === 'control'
		? runControl(container, source, settings, adapter, stopper.signal)
		: runEntry(container, source, settings, adapter, stopper.signal));
	logger.info('Host stopped.');
}
