import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {exchange} from './fleet.mjs';

const HEARTBEAT_MS = 1200;
const LOAD_MS = 400;

/** A server of the platform: it announces itself, takes orders and runs requests with `run(req, res, body, engine)`. */
export class Engine {
	boots = 0;
	isUp = false;
	hasEnded = false;
	state = 'ready';
	outstanding = 0;

	constructor({
		service, zone, controls, run, models, slots = 64, host = '127.0.0.1', port = 0,
	}) {
		Object.assign(this, {
			service, zone, controls, run, slots, host, port,
		});
		this.firstModels = models;
	}

	async start() {
		this.boots += 1;
		this.id = `i-${randomBytes(4).toString('hex')}`;
		this.born = Date.now();
		this.sequence = 0;
		this.orders = 0;
		this.isBusy = false;
		// An engine restarts empty.
		this.models = this.boots === 1 ? this.firstModels : this.firstModels && [];
		this.server = createServer({keepAliveTimeout: 15_000}, (req, res) => {
			this.serve(req, res);
		});
		this.server.listen(this.port, this.host);
		await once(this.server, 'listening');
		this.port = this.server.address().port;
		this.isUp = true;
		this.sendHeartbeats(this.id);
	}

	get address() {
		return `${this.host}:${this.port}`;
	}

	/** Ends the process of the engine with all its connections; it starts again after a while. */
	async crash(downMs) {
		if (!this.isUp) {
			return;
		}

		this.isUp = false;
		this.server.close();
		this.server.closeAllConnections();
		await delay(downMs);
		if (!this.hasEnded) {
			await this.start();
		}
	}

	end() {
		this.hasEnded = true;
		this.isUp = false;
		this.server?.close();
		this.server?.closeAllConnections();
	}

	describe() {
		return {...(this.models && {stage: 'both', models: this.models})};
	}

	async sendHeartbeats(id) {
		for (let i = 0; this.isUp && this.id === id; i++) {
			await this.sendHeartbeat(i);
			await delay(HEARTBEAT_MS);
		}
	}

	/** Reports to one control host after the other until one acknowledges. */
	async sendHeartbeat(first = 0) {
		this.sequence += 1;
		const body = JSON.stringify({
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, 'cold-left-ms': 0, ...this.describe(), sequence: this.sequence, born: this.born,
		});
		for (let i = 0; i < this.controls.length; i++) {
			const {status} = await exchange({
				address: this.controls[(first + i) % this.controls.length], url: `/egretrill/instances/${this.id}/heartbeat`, body, headers: {'content-type': 'application/json'}, timeoutMs: 1000,
			});
			if (status >= 200 && status < 300) {
				return performance.now();
			}
		}

		return undefined;
	}

	async serve(req, res) {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const body = chunks.map(String).join('');
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			this.sendJson(res, 421, {}, {'X-Not-Executed': '1'});
			return;
		}

		if (req.url === '/egretrill/report') {
			this.sendJson(res, 200, {
				stage: 'both', models: this.models ?? [], busy: this.isBusy, sequence: this.orders, queued: 0, active: this.outstanding, 'kv-used': 0, 'kv-total': 122_637, handles: 0,
			});
			return;
		}

		if (req.url === '/egretrill/order') {
			this.takeOrder(JSON.parse(body), res);
			return;
		}

		await this.serveRequest(req, res, body);
	}

	/** Sets the headers of an answer to a request. */
	sign(req, res) {
		res.setHeader('X-Attempt-Id', req.headers['x-attempt-id'] ?? '');
		res.setHeader('X-Server-Seal', `3e1b.${this.id}`);
		res.setHeader('X-Server-Load', `${this.outstanding},0,${this.slots}`);
	}

	async serveRequest(req, res, body) {
		const model = req.headers['x-model']?.split('/')[0];
		if (this.models && model !== undefined && !this.models.some(({name}) => name === model)) {
			this.sendJson(res, 421, {}, {'X-Attempt-Id': req.headers['x-attempt-id'] ?? '', 'X-Not-Executed': '1'});
			return;
		}

		this.outstanding += 1;
		try {
			await this.run(req, res, body, this);
		} finally {
			this.outstanding -= 1;
		}
	}

	takeOrder(order, res) {
		const {operation, model, expect} = order;
		const isHeld = this.models.some(({name}) => name === model);
		if (this.isBusy || (expect !== undefined && expect !== this.orders)) {
			this.sendJson(res, 409, {});
			return;
		}

		if (isHeld === (operation === 'load')) {
			this.sendJson(res, 200, {});
			return;
		}

		this.orders += 1;
		this.isBusy = true;
		this.sendJson(res, 202, {});
		const {id} = this;
		setTimeout(() => {
			if (this.id === id && this.isUp) {
				this.isBusy = false;
				this.models = operation === 'load' ? [...this.models, {name: model, version: 1, adapters: []}] : this.models.filter(({name}) => name !== model);
				this.sendHeartbeat();
			}
		}, LOAD_MS);
	}

	sendJson(res, status, value, headers = {}) {
		res.writeHead(status, {'Content-Type': 'application/json', ...headers});
		res.end(JSON.stringify(value));
	}
}

/** Sends a stream of events with increasing ids, as fast as an engine generates them. */
export async function streamEvents(req, res, engine, {count, intervalMs, firstMs = 30, onEvent}) {
	let isClosed = false;
	res.once('close', () => {
		isClosed = true;
	});
	await delay(firstMs);
	if (isClosed) {
		return;
	}

	engine.sign(req, res);
	res.writeHead(200, {'Content-Type': 'text/event-stream'});
	const from = Number(req.headers['last-event-id'] ?? 0);
	for (let id = from + 1; id <= count; id++) {
		res.write(`id: ${id}\ndata: piece ${id} of ${req.headers['x-attempt-id']}\n\n`);
		onEvent?.(id);
		await delay(intervalMs);
		if (isClosed) {
			return;
		}
	}

	res.end();
}
