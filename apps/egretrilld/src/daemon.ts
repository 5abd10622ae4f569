import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createCallerApp, handleRequest} from '@egretrill/callers';
import {type ConfigDocument, getComponentLogger} from '@egretrill/common';
import {createTargetApp} from '@egretrill/engines';
import {
	bindFollow, bindMethod, ConfigFollower, type MethodHandler, type PeerServer, startPeerServer,
} from '@egretrill/hosts';
import {createHealthApp, type DrainReport} from '@egretrill/platform';
import {ServerCredentials} from '@grpc/grpc-js';
import type {Container} from 'inversify';
import {LocalOrigin} from './local-origin.js';
import {announceMethod, digestMethod, summaryMethod} from './methods.js';
import {tokens} from './tokens.js';

/** Addresses on which a daemon listens, with the ports that the system gave. */
export type DaemonAddresses = {readonly callers: string; readonly targets: string; readonly peers: string; readonly health: string};

/** One host of the system: its servers and its tasks. */
export class Daemon {
	private readonly stopping = new AbortController();
	private servers: Server[] = [];
	private peerServer: PeerServer | undefined;
	private tasks: ReadonlyArray<Promise<void>> = [];

	constructor(private readonly container: Container) {}

	async start(initialConfig?: ConfigDocument): Promise<DaemonAddresses> {
		const settings = this.container.get(tokens.settings);
		const logger = this.container.get(tokens.logger);
		const origin = this.container.get(tokens.origin);
		this.peerServer = await startPeerServer({
			address: settings.listen.peers, credentials: ServerCredentials.createInsecure(), logger: getComponentLogger(logger, 'hosts'), handlers: this.getHandlers(),
		});
		if (origin instanceof LocalOrigin && initialConfig) {
			origin.apply(initialConfig);
		}

		const sync = this.container.get(tokens.directorySync);
		const {signal} = this.stopping;
		this.tasks = [sync.run(signal), ...(origin instanceof ConfigFollower ? [origin.run(signal)] : [])];
		const addresses = {
			callers: await this.listen(settings.listen.callers, this.createCallers()),
			targets: await this.listen(settings.listen.targets, createTargetApp({
				logger: getComponentLogger(logger, 'targets'),
				onAnnounce(announcement) {
					void sync.acceptAnnouncement(announcement);
				},
			})),
			health: await this.listen(settings.listen.health, this.createHealth()),
			peers: settings.listen.peers,
		};
		logger.info({host: settings.host, zone: settings.zone, ...addresses}, 'Daemon started.');
		return addresses;
	}

	/** Lets begun work end, then closes everything; a second call ends the waiting. */
	async stop(reason: string): Promise<DrainReport> {
		const report = await this.container.get(tokens.drain).start(reason);
		this.stopping.abort();
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}

		this.container.get(tokens.peers).close();
		await this.peerServer?.stop();
		await Promise.all(this.tasks);
		return report;
	}

	private getHandlers(): readonly MethodHandler[] {
		const {fleet} = this.container.get(tokens.settings);
		const directory = this.container.get(tokens.directory);
		const sync = this.container.get(tokens.directorySync);
		return [
			bindFollow({
				fleet,
				clock: this.container.get(tokens.clock),
				logger: getComponentLogger(this.container.get(tokens.logger), 'hosts'),
				origin: this.container.get(tokens.origin),
				reports: this.container.get(tokens.reports),
			}),
			bindMethod(digestMethod, async ({position}) => ({digest: directory.getDigest(position)})),
			bindMethod(summaryMethod, async ({zone}) => ({summary: directory.getZoneSummary(zone)})),
			bindMethod(announceMethod, async ({announcement}) => {
				directory.recordAnnouncement(announcement);
				return {};
			}),
		];
	}

	private createCallers(): RequestListener {
		const parts = this.container.get(tokens.requestParts);
		const drain = this.container.get(tokens.drain);
		return createCallerApp({
			logger: parts.logger,
			async handle(req, reply, signal) {
				const end = drain.begin('request');
				try {
					await handleRequest(req, reply, signal, parts);
				} finally {
					end();
				}
			},
		});
	}

	private createHealth(): RequestListener {
		const origin = this.container.get(tokens.origin);
		const drain = this.container.get(tokens.drain);
		return createHealthApp({
			metrics: this.container.get(tokens.metrics),
			getUnreadyReasons() {
				const draining = drain.getUnreadyReason();
				return [
					...(draining ? [draining] : []),
					...(origin.getConfig() ? [] : [{check: 'configuration', reason: 'No configuration has been received from the other hosts.'}]),
				];
			},
		});
	}

	private async listen(address: string, listener: RequestListener): Promise<string> {
		const separator = address.lastIndexOf(':');
		const host = address.slice(0, separator);
		const server = createServer(listener);
		server.listen(Number(address.slice(separator + 1)), host);
		await once(server, 'listening');
		this.servers = [...this.servers, server];
		return `${host}:${(server.address() as AddressInfo).port}`;
	}
}
