/* A sound engine: it registers, and answers each request after its work, in as many places as it has. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from './http-call.mjs';

const HEARTBEAT_MS = 1200;

export class Engine {
	sequence = 0;
	state = 'ready';
	running = 0;
	waiting = [];
	stopper = new AbortController();
	sockets = new Set();
	isDown = false;
	starts = 0;
	born = Date.now();

	/** `onRun(req, body)` is called when a request begins to run; `answer(res, req, body)` may replace the usual answer. */
	constructor({id, service, zone, controls, slots = 16, workMs = 40, onRun = () => undefined, answer}) {
		Object.assign(this, {
			id, service, zone, controls, slots, workMs, onRun, customAnswer: answer,
		});
		this.server = this.createServer();
	}

	async start() {
		await this.listen();
		this.registering = this.register();
	}

	stop() {
		this.stopper.abort();
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Ends at once, with all its channels, and starts again after a while with another id and address. */
	async crash(downMs) {
		this.isDown = true;
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		await delay(downMs);
		this.starts += 1;
		this.id = `${this.id.split('+', 1)[0]}+${this.starts}`;
		this.sequence = 0;
		this.running = 0;
		this.waiting = [];
		this.born = Date.now();
		this.server = this.createServer();
		await this.listen();
		this.isDown = false;
	}

	createServer() {
		const server = createServer({keepAliveTimeout: 30_000, maxHeaderSize: 262_144}, async (req, res) => this.serve(req, res));
		server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		return server;
	}

	async listen() {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${this.server.address().port}`;
	}

	async register() {
		while (!this.stopper.signal.aborted) {
			if (!this.isDown) {
				await this.sendHeartbeat();
			}

			await delay(HEARTBEAT_MS);
		}
	}

	/** Sends a heartbeat to one control host after the other until one acknowledges it. */
	async sendHeartbeat() {
		this.sequence += 1;
		const json = {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state,
			'cold-left-ms': 0, stage: 'both', models: [], sequence: this.sequence, born: this.born,
		};
		for (let i = 0; i < this.controls.length; i++) {
			try {
				const {status} = await call(`http://${this.controls[(this.sequence + i) % this.controls.length]}/egretrill/instances/${this.id}/heartbeat`, {json, timeoutMs: 1000});
				if (status < 300) {
					return true;
				}
			} catch {
				// The next control host is called.
			}
		}

		return false;
	}

	async serve(req, res) {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		const chunks = [];
		req.on('data', chunk => chunks.push(chunk));
		try {
			await once(req, 'end');
		} catch {
			return;
		}

		const attemptId = req.headers['x-attempt-id'];
		if ((req.headers['x-expect-instance'] ?? this.id) !== this.id) {
			res.writeHead(421, {'X-Attempt-Id': attemptId, 'X-Not-Executed': '1'}).end();
			return;
		}

		const mayRun = await this.takeSlot(res);
		if (!mayRun) {
			this.releaseSlot();
			return;
		}

		const body = Buffer.concat(chunks);
		this.onRun(req, body);
		const {server} = this;
		try {
			await (this.customAnswer ? this.customAnswer(res, req, body) : this.answer(res, attemptId));
		} finally {
			// What ran before a crash holds no place afterwards.
			if (server === this.server) {
				this.releaseSlot();
			}
		}
	}

	async answer(res, attemptId) {
		await delay(this.workMs);
		res.writeHead(200, {'X-Attempt-Id': attemptId, 'X-Server-Seal': `seal.${this.id}`, 'X-Server-Load': `${this.running},${this.waiting.length},${this.slots}`});
		res.end(`answer to ${attemptId}`);
	}

	/** Resolves with whether the caller is still there when the request gets its place. */
	async takeSlot(res) {
		if (this.running >= this.slots) {
			await new Promise(resolve => {
				this.waiting.push(resolve);
			});
		} else {
			this.running += 1;
		}

		return !res.destroyed;
	}

	releaseSlot() {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.running -= 1;
		}
	}
}
