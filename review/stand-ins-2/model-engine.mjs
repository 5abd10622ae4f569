/* A sound model engine: it holds one model, streams events, and may fall silent for a while as a whole. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from './http-call.mjs';

const HEARTBEAT_MS = 1200;

export class ModelEngine {
	sequence = 0;
	running = 0;
	stopper = new AbortController();
	born = Date.now();
	sockets = new Set();
	/** Resolves when the present silence is over. */
	silence = undefined;

	/** Each run is added to `runs`: its request, its begin, and its end, which is when the engine stops to work on it. */
	constructor({id, service, zone, controls, slots, model, eventMs, runs, firstMs = 0}) {
		Object.assign(this, {
			id, service, zone, controls, slots, model, eventMs, runs, firstMs,
		});
		this.server = createServer({keepAliveTimeout: 30_000}, async (req, res) => this.serve(req, res));
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
			if (this.silence) {
				socket.pause();
			}
		});
	}

	async start() {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${this.server.address().port}`;
		this.registering = this.register();
	}

	stop() {
		this.stopper.abort();
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Reads and sends nothing for a while; what runs goes on, and is sent afterwards. */
	async fallSilent(ms) {
		this.silence = delay(ms);
		for (const socket of this.sockets) {
			socket.pause();
		}

		await this.silence;
		this.silence = undefined;
		for (const socket of this.sockets) {
			socket.resume();
		}
	}

	async register() {
		while (!this.stopper.signal.aborted) {
			this.sequence += 1;
			const json = {
				service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready',
				'cold-left-ms': 0, stage: 'both', models: this.getModels(), sequence: this.sequence, born: this.born,
			};
			for (let i = 0; i < this.controls.length; i++) {
				try {
					const {status} = await call(`http://${this.controls[(this.sequence + i) % this.controls.length]}/egretrill/instances/${this.id}/heartbeat`, {json, timeoutMs: 1000});
					if (status < 300) {
						break;
					}
				} catch {
					// The next control host is called.
				}
			}

			await delay(HEARTBEAT_MS);
		}
	}

	getModels() {
		return [{name: this.model, version: 1, adapters: []}];
	}

	async serve(req, res) {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		req.resume();
		try {
			await once(req, 'end');
		} catch {
			return;
		}

		if (req.url === '/egretrill/report') {
			res.setHeader('Content-Type', 'application/json');
			res.end(JSON.stringify({
				stage: 'both', models: this.getModels(), busy: false, sequence: 0, queued: 0, active: this.running, 'kv-used': 0, 'kv-total': 100_000, handles: 0,
			}));
			return;
		}

		const attemptId = req.headers['x-attempt-id'];
		if (req.url === '/egretrill/order') {
			res.writeHead(409).end();
		} else if ((req.headers['x-expect-instance'] ?? this.id) === this.id) {
			await this.run(req, res, attemptId);
		} else {
			res.writeHead(421, {'X-Attempt-Id': attemptId, 'X-Not-Executed': '1'}).end();
		}
	}

	async run(req, res, attemptId) {
		const run = {
			attemptId, engine: this.id, beginMs: performance.now(), endMs: undefined, firstId: Number(req.headers['last-event-id'] ?? 0) + 1, end: '',
		};
		this.runs.push(run);
		this.running += 1;
		const end = how => {
			run.end ||= how;
			run.endMs ??= performance.now();
		};

		res.once('close', () => {
			end('its channel was closed');
		});
		const count = Number(/-(?<count>\d+)$/v.exec(req.url)?.groups.count ?? 20);
		res.setHeader('X-Attempt-Id', attemptId);
		res.setHeader('X-Server-Seal', `seal.${this.id}`);
		res.setHeader('X-Weight-Versions', '1');
		res.setHeader('Content-Type', 'text/event-stream');
		let held = '';
		await delay(this.firstMs);
		for (let id = run.firstId; id <= count; id++) {
			await delay(this.eventMs);
			held += `id: ${id}\ndata: part ${id} of ${attemptId}\n\n`;
			if (this.silence) {
				continue;
			}

			// A channel that its caller has closed is noticed once the engine reads again.
			if (res.destroyed) {
				break;
			}

			res.write(held);
			held = '';
		}

		await this.silence;
		if (!res.destroyed) {
			end('complete');
		}

		this.running -= 1;
		res.end(held);
	}
}
