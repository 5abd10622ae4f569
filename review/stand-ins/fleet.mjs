import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdtemp, mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const root = path.join(import.meta.dirname, '../..');
const START_TIMEOUT_MS = 20_000;

/** The bounds of the small sites, as the pages print them. */
export const bounds = {
	'seed-lag-s': 3,
	'addr-reuse-s': 2,
	'contact-ms': 3000,
	'ack-ms': 4000,
	'catch-up-s': 4,
	'drain-ms': 2000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-apply-ms': 2000,
	'rollback-slack-ms': 250,
	'max-skew-ms': 5000,
	'strict-revoke': false,
	'revoke-ms': 5000,
	'retry-ratio': 0.2,
	'retry-window-s': 10,
	'retry-slack': 56,
	'quota-window-s': 8,
	'quota-overage': 0.1,
	'quota-slack': 7400,
	'cold-overage': 1.5,
	'cold-slack': 5,
	'evacuate-ms': 5000,
	'recovery-s': 12,
	'pass-ms': 120,
	'retry-after-s': 0,
	'fencing-enforced': false,
	'lease-ms': 3000,
	'thaw-slack-ms': 300,
	'ceiling-window-s': 5,
	'load-overage': 1.1,
};

const zones = ['rabat-a', 'kenitra-b', 'tanger-c'];

/** Returns free TCP ports of the loopback interface. */
async function findPorts(count) {
	const servers = Array.from({length: count}, () => createServer());
	const ports = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		ports.push(server.address().port);
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Returns the words of the run line of a role in the deploy file. */
async function readRunLine(role) {
	const text = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(?<line>[^"]*)"$/mv.exec(section).groups.line.split(' ');
}

/** Waits until a check returns a value other than undefined. */
export async function waitFor(what, check, timeoutMs = START_TIMEOUT_MS) {
	const endMs = performance.now() + timeoutMs;
	for (;;) {
		const value = await check();
		if (value !== undefined) {
			return value;
		}

		if (performance.now() > endMs) {
			throw new Error(`Waited in vain for ${what}.`);
		}

		await delay(50);
	}
}

/** Sends one HTTP request and resolves with the answer; `status` is 0 if there was none. */
export async function exchange({
	address, method = 'POST', url, headers = {}, body = '', agent, timeoutMs = 5000, onChunk,
}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const result = {
			status: 0, headers: {}, body: '', isComplete: false, error: undefined,
		};
		const req = request({
			host, port, method, path: url, headers: {'content-length': String(body.length), ...headers}, agent: agent ?? false,
		});
		const timer = setTimeout(() => req.destroy(new Error('timeout')), timeoutMs);
		const end = () => {
			clearTimeout(timer);
			resolve(result);
		};

		req.on('error', err => {
			result.error ??= err.code ?? err.message;
			end();
		});
		req.on('response', res => {
			result.status = res.statusCode;
			result.headers = res.headers;
			res.setEncoding('latin1');
			res.on('data', chunk => {
				result.body += chunk;
				onChunk?.(chunk);
			});
			res.on('error', err => {
				result.error ??= err.code ?? err.message;
			});
			res.on('close', () => {
				result.isComplete = res.complete;
				end();
			});
		});
		req.end(body);
	});
}

/** One process of the system, started with the command of the deploy file. */
class FleetProcess {
	log = '';

	constructor(name, ip, runLine, settingsFile) {
		Object.assign(this, {
			name, ip, runLine, settingsFile,
		});
	}

	async start() {
		if (this.child !== undefined) {
			await this.endFirstStart();
		}

		const [command, ...args] = this.runLine;
		const from = this.log.length;
		this.child = spawn(command, args, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {
				PATH: process.env.PATH, HOME: process.env.HOME ?? '', LANG: 'C.UTF-8', EGRETRILL_CONFIG: this.settingsFile,
			},
		});
		this.startedMs = performance.now();
		for (const stream of [this.child.stdout, this.child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				this.log += text;
			});
		}

		this.child.once('exit', (code, signal) => {
			this.ended = {code, signal, atMs: performance.now()};
		});
		await waitFor(`the start of ${this.name}`, () => {
			if (this.child.exitCode !== null) {
				throw new Error(`${this.name} ended: ${this.log}`);
			}

			return this.log.slice(from).includes('Host started.') ? true : undefined;
		});
	}

	/** Changes the settings as the platform does after the first start of the whole system. */
	async endFirstStart() {
		const settings = JSON.parse(await readFile(this.settingsFile, 'utf8'));
		await writeFile(this.settingsFile, JSON.stringify({...settings, bootstrap: false}));
	}

	isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		if (this.isRunning()) {
			this.child.kill(name);
		}
	}

	async stop(name = 'SIGKILL') {
		if (this.isRunning()) {
			this.child.kill(name);
			await once(this.child, 'exit');
		}
	}
}

/** Control and entry hosts as processes with loopback addresses of their own. */
export class Fleet {
	controls = [];
	entries = [];
	engines = [];

	constructor({controls = 3, entries = 3, changes = {}} = {}) {
		this.counts = {controls, entries};
		this.changes = changes;
		this.network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
	}

	/** Starts all processes; those after the first control host may start later by `laterMs`. */
	async start(laterMs = 0) {
		const [control, front, ready, peers] = await findPorts(4);
		this.ports = {
			control, front, ready, peers,
		};
		this.folder = await mkdtemp(path.join(tmpdir(), 'review-'));
		for (let i = 0; i < this.counts.controls; i++) {
			this.controls.push(await this.create('control', i));
		}

		for (let i = 0; i < this.counts.entries; i++) {
			this.entries.push(await this.create('entry', i));
		}

		const [first, ...others] = [...this.controls, ...this.entries];
		await Promise.all([first.start(), ...others.map(async member => {
			await delay(laterMs);
			await member.start();
		})]);
	}

	/** Ends all processes of the fleet and its engines. */
	async end() {
		for (const engine of this.engines) {
			engine.end();
		}

		for (const member of [...this.controls, ...this.entries]) {
			member.signal('SIGCONT');
		}

		await Promise.all([...this.controls, ...this.entries].map(async member => member.stop()));
		if (this.folder !== undefined) {
			await rm(this.folder, {recursive: true, force: true});
		}
	}

	getControl(index) {
		return `${this.getIp('control', index)}:${this.ports.control}`;
	}

	getFront(index) {
		return `${this.getIp('entry', index)}:${this.ports.front}`;
	}

	/** Calls the operator's API until some control host accepts. */
	async order(url, body) {
		return waitFor(`the acknowledgement of ${url}`, async () => {
			for (let i = 0; i < this.counts.controls; i++) {
				const {status} = await exchange({
					address: this.getControl(i), url, body: body === undefined ? '' : JSON.stringify(body), headers: {'content-type': 'application/json'}, timeoutMs: 1000,
				});
				if (status === 200) {
					return performance.now();
				}
			}

			return undefined;
		});
	}

	async waitUntilReady() {
		await Promise.all(this.entries.map(async ({ip, name}) => waitFor(`the readiness of ${name}`, async () => {
			const {status} = await exchange({
				address: `${ip}:${this.ports.ready}`, method: 'GET', url: '/egretrill/ready', timeoutMs: 1000,
			});
			return status === 200 ? true : undefined;
		})));
	}

	getIp(role, index) {
		return `${this.network}.${(role === 'control' ? 1 : 101) + index}`;
	}

	async create(role, index) {
		const {
			control, front, ready, peers,
		} = this.ports;
		const ip = this.getIp(role, index);
		const dataDir = path.join(this.folder, `${role}-${index}`);
		await mkdir(dataDir);
		const isControl = role === 'control';
		const settings = {
			'node-name': `${role}-${index}`,
			role,
			'node-class': isControl ? 'core' : 'front',
			serves: [isControl ? 'control' : 'front'],
			ip,
			zone: zones[index % zones.length],
			region: 'ma-nord',
			'port-range': [peers, peers],
			seeds: Array.from({length: Math.min(3, this.counts.controls)}, (_, i) => `${this.getIp('control', i)}:${control}`),
			bootstrap: true,
			'fault-counted': isControl,
			discovery: 'registry',
			entry: 'vip',
			'heartbeat-ms': 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'tenants', 'quota', 'places'],
			'config-mode': 'highest',
			zones: Object.fromEntries(zones.map(zone => [zone, 'ma-nord'])),
			listen: isControl ? {control: `${ip}:${control}`} : {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
			'data-dir': isControl ? dataDir : null,
			limits: {
				'cpu-share': isControl ? 0.81 : 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': isControl ? 128 : 0,
			},
			'fault-tolerance': {machines: 1, zones: 1, regions: 0},
			bounds: {...bounds, ...this.changes},
		};
		const file = path.join(this.folder, `${role}-${index}.json`);
		await writeFile(file, JSON.stringify(settings));
		return new FleetProcess(`${role}-${index}`, ip, await readRunLine(role), file);
	}
}
