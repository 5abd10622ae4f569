import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Announcement} from '@egretrill/common';
import express, {type Express} from 'express';
import {announceUntil} from './announce.js';
import {Faults} from './types.js';

/** A stand-in that listens, announces itself and takes faults from tests. */
export abstract class StandInTarget {
	readonly startId = `start-${randomUUID().slice(0, 8)}`;
	faults: Faults = {};
	address = '';
	/** Headers of the last request, for checks that no key reaches a target. */
	lastHeaders: Readonly<Record<string, unknown>> = {};
	private server: Server | undefined;
	private readonly stopping = new AbortController();

	constructor(private readonly hosts: readonly string[], private readonly port = 0) {}

	async start(): Promise<this> {
		const app = express();
		app.post('/faults', express.json(), (req, res) => {
			this.faults = Faults.parse(req.body);
			res.status(204).end();
		});
		app.get('/books', (_req, res) => {
			res.json(this.getBooks());
		});
		this.mount(app);
		this.server = app.listen(this.port, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
		void announceUntil({hosts: this.hosts, getAnnouncement: () => this.getAnnouncement()}, this.stopping.signal);
		return this;
	}

	async stop(): Promise<void> {
		this.stopping.abort();
		this.server?.closeAllConnections();
		this.server?.close();
	}

	abstract getAnnouncement(): Announcement;
	/** What the stand-in itself knows to have happened. */
	protected abstract getBooks(): Record<string, unknown>;
	protected abstract mount(app: Express): void;
}
