import {once, setMaxListeners} from 'node:events';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createCallerApp, handleRequest, sendRefusal} from '@egretrill/callers';
import {
	type ConfigDocument, createHttpServer, getComponentLogger, isVerdictError,
} from '@egretrill/common';
import {NoSpaceError} from '@egretrill/disk';
import {createTargetApp} from '@egretrill/engines';
import {
	FleetConfigSource, getDocumentDigest, type PeerCredentials, type PeerServer, startPeerServer,
} from '@egretrill/hosts';
import {createMonitorApp, EvidenceError} from '@egretrill/monitor';
import {createAdminApp} from '@egretrill/operators';
import {createHealthApp, type DrainReport, type UnreadyReason} from '@egretrill/balancer';
import type {Container} from 'inversify';
import {
	CONFIG_SYNC_INTERVAL_MS, FINAL_FLUSH_MS, INITIAL_CONFIG_RETRY_MS, PLACEMENT_AUDIT_INTERVAL_MS, PROMISE_RECORD_INTERVAL_MS, REQUEST_END_TIMEOUT_MS,
} from './constants.js';
import {ControlCalls} from './control-calls.js';
import {createHandlers} from './handlers.js';
import {tokens} from './tokens.js';
import {readArrived} from './traffic/read-arrived.js';

/** Addresses on which a daemon listens, with the ports that the operating system assigned. */
export type DaemonAddresses = {
	readonly callers: string; readonly targets: string; readonly peers: string; readonly admin: string; readonly monitor: string; readonly health: string;
};

/** One host of the system: its servers and its tasks. */
export class Daemon {
	private readonly stopping: AbortController;
	private readonly drainRequests = new AbortController();
	/** Aborts the requests that are in flight at the end of the drain. */
	private readonly requestAbort = new AbortController();
	private servers: readonly Server[] = [];
	private controlCalls: readonly ControlCalls[] = [];
	private peerServer: PeerServer | undefined;
	private tasks: ReadonlyArray<Promise<void>> = [];

	constructor(private readonly container: Container, private readonly credentials: PeerCredentials) {
		this.stopping = container.get(tokens.stopping);
		// All tasks of the daemon listen to this signal, which exceeds Node's default limit for listener leaks.
		setMaxListeners(0, this.stopping.signal, this.requestAbort.signal);
	}

	/** Aborts when an operator requests a drain of this host. */
	get drainRequested(): AbortSignal {
		return this.drainRequests.signal;
	}

	async start(initialConfig?: ConfigDocument, signal?: AbortSignal): Promise<DaemonAddresses> {
		const {listen, host, zone} = this.container.get(tokens.settings);
		const logger = this.container.get(tokens.logger);
		await this.container.get(tokens.evidence).open();
		this.peerServer = await startPeerServer({
			address: listen.peers,
			credentials: this.credentials,
			logger: getComponentLogger(logger, 'hosts'),
			handlers: createHandlers(this.container, author => {
				logger.info({author}, 'An operator requested a drain of this host.');
				this.drainRequests.abort();
			}, () => this.getUnreadyReasons().map(({reason}) => reason)),
		});
		await this.container.get(tokens.voter)?.node.start(signal);
		this.tasks = this.startTasks(initialConfig);
		const addresses = {
			callers: await this.listen(listen.callers, createHttpServer(this.createCallers())),
			targets: await this.listenForControl(listen.targets, this.createTargets()),
			admin: await this.listenForControl(listen.admin, this.createAdmin()),
			monitor: await this.listenForControl(listen.monitor, this.createMonitor()),
			health: await this.listen(listen.health, createHttpServer(this.createHealth())),
			peers: listen.peers,
		};
		logger.info({host, zone, ...addresses}, 'Daemon started.');
		return addresses;
	}

	/** Waits for in-flight work to finish, answers what is left, then closes all servers and connections; a second call stops waiting. */
	async stop(reason: string): Promise<DrainReport> {
		const report = await this.container.get(tokens.drain).start(reason);
		if (report.outcome === 'deadline') {
			// After a standstill of this host, the timer of the drain fires before what targets have sent meanwhile is read.
			await readArrived();
		}

		await this.endRequests();
		const isFirst = !this.stopping.signal.aborted;
		this.stopping.abort();
		await Promise.all(this.controlCalls.map(async calls => calls.end()));
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}

		await this.container.get(tokens.shares).stop();
		await this.container.get(tokens.voter)?.node.stop();
		this.container.get(tokens.peers).close();
		await this.peerServer?.stop();
		await Promise.all(this.tasks);
		if (isFirst) {
			this.container.get(tokens.audit).checkStop(report);
			await this.recordPromises();
		}

		return report;
	}

	/** Ends the requests in flight with a verdict, and waits until their answers are sent. */
	private async endRequests(): Promise<void> {
		this.requestAbort.abort();
		await this.container.get(tokens.drain).waitUntilEnded(REQUEST_END_TIMEOUT_MS);
		await this.container.get(tokens.clock).sleep(FINAL_FLUSH_MS);
	}

	private startTasks(initialConfig: ConfigDocument | undefined): ReadonlyArray<Promise<void>> {
		const {signal} = this.stopping;
		const source = this.container.get(tokens.versionedConfig);
		const voter = this.container.get(tokens.voter);
		const crashLog = this.container.get(tokens.crashLog);
		return [
			this.container.get(tokens.follower).run(signal),
			...(source instanceof FleetConfigSource ? [source.run(signal)] : []),
			...(voter ? [voter.duties.run(signal), this.reportLogFailure()] : []),
			this.container.get(tokens.lease).run(signal),
			this.container.get(tokens.directorySync).run(signal),
			this.container.get(tokens.permits).run(signal),
			this.container.get(tokens.zoneDuties).run(signal),
			this.container.get(tokens.queues).run(signal),
			this.container.get(tokens.crashReporter).run(signal),
			...(crashLog ? [crashLog.run(signal)] : []),
			this.followConfig(signal),
			this.auditPromises(signal),
			...(initialConfig ? [this.proposeInitialConfig(initialConfig, signal)] : []),
		];
	}

	/** Applies each new configuration to the parts that keep a copy, and logs changes of the blocked requests. */
	private async followConfig(signal: AbortSignal): Promise<void> {
		const clock = this.container.get(tokens.clock);
		const source = this.container.get(tokens.versionedConfig);
		let appliedVersion = 0;
		const crashes = this.container.get(tokens.crashes);
		let blockedCount = 0;
		while (!signal.aborted) {
			const config = source.getConfig();
			if (config && config.version !== appliedVersion) {
				appliedVersion = config.version;
				this.container.get(tokens.audit).checkVersion(appliedVersion);
				this.container.get(tokens.shares).setCustomers(config.document.customers);
			}

			const blocked = crashes.listBlocked();
			if (blocked.length !== blockedCount) {
				blockedCount = blocked.length;
				this.container.get(tokens.logger).warn({count: blocked.length}, 'Blocked requests changed.');
			}

			await source.changed.wait(clock, CONFIG_SYNC_INTERVAL_MS, signal);
		}
	}

	/** Audits the zone's placement while this host owns the zone, and appends the counters of all promises to the evidence log. */
	private async auditPromises(signal: AbortSignal): Promise<void> {
		const clock = this.container.get(tokens.clock);
		const {zone} = this.container.get(tokens.settings);
		let lastRecordedMs = clock.now();
		while (!signal.aborted) {
			await clock.sleep(PLACEMENT_AUDIT_INTERVAL_MS, signal);
			if (this.container.get(tokens.lease).remainingMs() > 0) {
				this.container.get(tokens.audit).checkPlacement(zone);
			}

			if (clock.now() - lastRecordedMs >= PROMISE_RECORD_INTERVAL_MS) {
				lastRecordedMs = clock.now();
				await this.recordPromises();
			}
		}
	}

	/** Appends the counters of all promises to the evidence; on a full disk the next record contains them. */
	private async recordPromises(): Promise<void> {
		try {
			await this.container.get(tokens.evidence).get()?.append({kind: 'promises', counters: [...this.container.get(tokens.promises).getCounts()]});
		} catch (err: unknown) {
			if (!(err instanceof EvidenceError && err.cause instanceof NoSpaceError)) {
				throw err;
			}

			this.container.get(tokens.logger).warn({err}, 'The counters of promises were not recorded, since the disk is full.');
		}
	}

	/** Proposes the first configuration of a new fleet; a fleet that already has one rejects it as a conflict. */
	private async proposeInitialConfig(document: ConfigDocument, signal: AbortSignal): Promise<void> {
		const clock = this.container.get(tokens.clock);
		const source = this.container.get(tokens.versionedConfig);
		const digest = getDocumentDigest(document);
		while (!signal.aborted && !source.getConfig()) {
			await this.container.get(tokens.log).propose({
				kind: 'apply', document, follows: 0, digest, requestId: `initial-${digest.slice(0, 32)}`, author: 'initial-config',
			});
			await source.changed.wait(clock, INITIAL_CONFIG_RETRY_MS, signal);
		}
	}

	/** Logs the failure that stopped this host's log member, for instance a failed fsync. */
	private async reportLogFailure(): Promise<void> {
		const failure = await this.container.get(tokens.voter)?.node.waitUntilStopped();
		if (failure) {
			this.container.get(tokens.logger).error({err: failure}, 'This host no longer takes part in the log.');
		}
	}

	private getUnreadyReasons(): readonly UnreadyReason[] {
		const source = this.container.get(tokens.versionedConfig);
		const drainReason = this.container.get(tokens.drain).getUnreadyReason();
		const hasConfirmedConfig = source.getConfig() !== undefined && Number.isFinite(source.getAgeMs());
		return [
			...(drainReason ? [drainReason] : []),
			...(hasConfirmedConfig ? [] : [{check: 'configuration', reason: 'The leader has not confirmed the configuration since this host started; it may be cut off.'}]),
		];
	}

	private createCallers(): RequestListener {
		const deps = this.container.get(tokens.requestDependencies);
		const drain = this.container.get(tokens.drain);
		const {signal: stopping} = this.requestAbort;
		return createCallerApp({
			logger: deps.logger,
			stopping,
			async handle(req, reply, disconnected) {
				let end: () => void;
				try {
					end = drain.startWork('request');
				} catch (err: unknown) {
					if (!isVerdictError(err)) {
						throw err;
					}

					await sendRefusal(reply, err.verdict);
					return;
				}

				try {
					await handleRequest(req, reply, {disconnected, stopping}, deps);
				} finally {
					end();
				}
			},
		});
	}

	private createTargets(): RequestListener {
		const sync = this.container.get(tokens.directorySync);
		return createTargetApp({
			logger: getComponentLogger(this.container.get(tokens.logger), 'targets'),
			onAnnounce(announcement) {
				void sync.acceptAnnouncement(announcement);
			},
		});
	}

	private createAdmin(): RequestListener {
		return createAdminApp({
			control: this.container.get(tokens.control),
			adminKeyDigest: this.container.get(tokens.settings).adminKeyDigest ?? '',
			logger: getComponentLogger(this.container.get(tokens.logger), 'operators'),
		});
	}

	private createMonitor(): RequestListener {
		return createMonitorApp({
			view: this.container.get(tokens.view),
			promises: this.container.get(tokens.promises),
			evidence: this.container.get(tokens.evidence).get(),
			monitorKeyDigest: this.container.get(tokens.settings).monitorKeyDigest ?? '',
			logger: getComponentLogger(this.container.get(tokens.logger), 'monitor'),
		});
	}

	private createHealth(): RequestListener {
		const metrics = this.container.get(tokens.metrics);
		const queues = this.container.get(tokens.queues);
		const waiting = metrics.createGauge({name: 'egretrill_waiting_requests', help: 'Requests that wait in the fair queues.'});
		return createHealthApp({
			metrics,
			onScrape() {
				waiting.set(queues.getWaitingCount());
			},
			getUnreadyReasons: () => this.getUnreadyReasons(),
		});
	}

	/** Serves targets, operators or the monitor, whose calls are answered at the end of this host. */
	private async listenForControl(address: string, listener: RequestListener): Promise<string> {
		const server = createHttpServer(listener);
		this.controlCalls = [...this.controlCalls, new ControlCalls(server, this.container.get(tokens.clock))];
		return this.listen(address, server);
	}

	private async listen(address: string, server: Server): Promise<string> {
		const separator = address.lastIndexOf(':');
		const host = address.slice(0, separator);
		server.listen(Number(address.slice(separator + 1)), host);
		await once(server, 'listening');
		this.servers = [...this.servers, server];
		return `${host}:${(server.address() as AddressInfo).port}`;
	}
}
