import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Announcement, REQUEST_ID_HEADER} from '@egretrill/common';
import express, {type Express, type Request} from 'express';
import {announceUntil} from './announce.js';
import {HOLD_POLL_INTERVAL_MS, MAX_RECORDED_REQUESTS} from './constants.js';
import {getMonotonicMs} from './monotonic.js';
import {Faults, type ReceivedRequest, type TargetEvent} from './types.js';

/** An event without the fields that all events of one target have in common. */
type EventPayload = TargetEvent extends infer Event ? (Event extends TargetEvent ? Omit<Event, 'atMs' | 'targetId' | 'startId' | 'zone'> : never) : never;

/** A stand-in target that listens, announces itself and accepts faults from tests. */
export abstract class StandInTarget {
	readonly startId = `start-${randomUUID().slice(0, 8)}`;
	faults: Faults = {};
	address = '';
	/** Headers of the last request, for checks that no key reaches a target. */
	lastHeaders: Readonly<Record<string, unknown>> = {};
	/** Called with each event before its effect is visible outside the stand-in. */
	onEvent: ((event: TargetEvent) => void) | undefined;
	/** The latest requests, in order of arrival. */
	readonly received: ReceivedRequest[] = [];
	private server: Server | undefined;
	private readonly stopController = new AbortController();

	constructor(private readonly hosts: readonly string[], private readonly port = 0) {}

	/** Listens and announces itself; `getPublicAddress` returns the announced address if the target is reached through a relay. */
	async start(getPublicAddress?: (address: string) => Promise<string>): Promise<this> {
		const app = express();
		app.post('/faults', express.json(), (req, res) => {
			this.faults = Faults.parse(req.body);
			if (this.faults.leaving) {
				this.emitEvent({kind: 'leaving'});
			}

			res.status(204).end();
		});
		app.get('/books', (_req, res) => {
			res.json({...this.getRecords(), received: this.received});
		});
		this.registerRoutes(app);
		this.server = app.listen(this.port, '127.0.0.1');
		await once(this.server, 'listening');
		const address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
		this.address = await getPublicAddress?.(address) ?? address;
		void announceUntil({hosts: this.hosts, getAnnouncement: () => this.getAnnouncement()}, this.stopController.signal);
		return this;
	}

	async stop(): Promise<void> {
		this.stopController.abort();
		this.server?.closeAllConnections();
		this.server?.close();
	}

	abstract getAnnouncement(): Announcement;
	protected emitEvent(event: EventPayload): void {
		const {targetId, startId, zone} = this.getAnnouncement();
		this.onEvent?.({
			...event, atMs: getMonotonicMs(), targetId, startId, zone,
		});
	}

	protected emitRunStart(req: Request, run: Pick<Extract<EventPayload, {kind: 'run-begun'}>, 'bodyDigest' | 'resumeFrom' | 'running' | 'completed' | 'limit' | 'isCold'>): void {
		const headerValues = Object.values(req.headers).map(String);
		this.emitEvent({
			kind: 'run-begun',
			requestId: req.get(REQUEST_ID_HEADER) ?? '',
			attempt: req.get('x-attempt') ?? '',
			seesKey: ['authorization', 'x-api-key'].some(name => req.get(name) !== undefined) || headerValues.some(value => value.includes('example-key')),
			...run,
		});
	}

	protected recordRequest(req: Request): ReceivedRequest {
		const received: ReceivedRequest = {
			method: req.method, path: req.path, headers: req.headers, body: req.body, atMs: Date.now(), outcome: 'running', sentChunks: 0,
		};
		this.lastHeaders = req.headers;
		this.received.push(received);
		if (this.received.length > MAX_RECORDED_REQUESTS) {
			this.received.shift();
		}

		return received;
	}

	/** Waits until the fault that holds the work is cleared or the stand-in stops. */
	protected async waitWhileHeld(isHeld: () => boolean): Promise<void> {
		while (isHeld() && !this.stopController.signal.aborted) {
			await delay(HOLD_POLL_INTERVAL_MS);
		}
	}

	/** Returns what the stand-in has recorded of its own work. */
	protected abstract getRecords(): Record<string, unknown>;
	protected abstract registerRoutes(app: Express): void;
}
