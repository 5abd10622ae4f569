/* A small deployment: control and entry hosts as separate processes, each at a loopback address of its own. */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdir, mkdtemp, open, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from './http-call.mjs';

const root = path.join(import.meta.dirname, '../..');
/** The command of both roles in the deploy file. */
const PROGRAM = ['--max-old-space-size=160', '--max-semi-space-size=2', 'target/egretrilld.mjs'];
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** Settings that the pages show for a small installation. */
const bounds = {
	'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000,
	'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'rollback-slack-ms': 250, 'max-skew-ms': 5000,
	'strict-revoke': false, 'revoke-ms': 5000, 'retry-ratio': 0.2, 'retry-window-s': 10, 'retry-slack': 56,
	'quota-window-s': 8, 'quota-overage': 0.1, 'quota-slack': 7400, 'cold-overage': 1.5, 'cold-slack': 5,
	'evacuate-ms': 5000, 'recovery-s': 12, 'pass-ms': 120, 'retry-after-s': 0, 'fencing-enforced': false,
	'lease-ms': 3000, 'thaw-slack-ms': 300, 'ceiling-window-s': 5, 'load-overage': 1.1,
};

async function findPort(ip) {
	const server = createServer();
	server.listen(0, ip);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

/** One process of the system. */
class Host {
	child;
	startCount = 0;

	constructor(name, ip, {settingsFile, logFile}) {
		this.name = name;
		this.ip = ip;
		this.settingsFile = settingsFile;
		this.logFile = logFile;
	}

	async start() {
		const log = await open(this.logFile, 'a');
		this.startCount += 1;
		const {PATH, HOME} = process.env;
		this.child = spawn(process.execPath, PROGRAM, {
			cwd: root, stdio: ['ignore', log.fd, log.fd], env: {PATH, HOME, EGRETRILL_CONFIG: this.settingsFile},
		});
		await log.close();
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		this.child?.kill(name);
	}

	async stop(name = 'SIGKILL') {
		if (this.isRunning) {
			const ended = once(this.child, 'exit');
			this.child.kill(name);
			await ended;
		}
	}
}

/** Starts hosts, and sends configurations as the operator. */
export class Fleet {
	controls = [];
	entries = [];

	constructor({controls = 3, entries, extraBounds = {}}) {
		this.sizes = {control: controls, entry: entries};
		this.bounds = {...bounds, ...extraBounds};
		this.network = `127.${randomInt(20, 240)}.${randomInt(1, 250)}`;
	}

	async start() {
		this.folder = await mkdtemp(path.join(tmpdir(), 'egretrill-review-'));
		this.ports = [];
		while (this.ports.length < 4) {
			const port = await findPort(this.getIp('control', 0));
			if (!this.ports.includes(port)) {
				this.ports.push(port);
			}
		}

		for (const role of ['control', 'entry']) {
			for (let i = 0; i < this.sizes[role]; i++) {
				this[role === 'control' ? 'controls' : 'entries'].push(await this.createHost(role, i));
			}
		}

		await Promise.all([...this.controls, ...this.entries].map(async host => host.start()));
	}

	getIp(role, index) {
		return `${this.network}.${(role === 'control' ? 1 : 101) + index}`;
	}

	getControl(index) {
		return `${this.getIp('control', index)}:${this.ports[0]}`;
	}

	getEntry(index) {
		return `${this.getIp('entry', index)}:${this.ports[1]}`;
	}

	async isReady(index) {
		try {
			const {status} = await call(`http://${this.getIp('entry', index)}:${this.ports[2]}/egretrill/ready`, {timeoutMs: 1000});
			return status === 200;
		} catch {
			return false;
		}
	}

	async waitUntilReady() {
		const endMs = performance.now() + READY_TIMEOUT_MS;
		for (let i = 0; i < this.sizes.entry; i++) {
			while (!await this.isReady(i)) {
				if (performance.now() > endMs) {
					throw new Error(`The entry host ${i} does not become ready.`);
				}

				await delay(POLL_MS);
			}
		}
	}

	/** Sends a configuration, as the operator does: to another host after each failure, until it is acknowledged. */
	async put(config) {
		const endMs = performance.now() + READY_TIMEOUT_MS;
		for (let i = 0; performance.now() < endMs; i++) {
			try {
				const {status} = await call(`http://${this.getControl(i % this.sizes.control)}/egretrill/config/put`, {json: config, timeoutMs: 1000});
				if (status === 200) {
					return;
				}
			} catch {
				// The next host is called.
			}

			await delay(POLL_MS);
		}

		throw new Error('The configuration is not acknowledged.');
	}

	async stop() {
		await Promise.all([...this.controls, ...this.entries].map(async host => host.stop()));
		if (this.folder && !process.env.KEEP_LOGS) {
			await rm(this.folder, {recursive: true, force: true});
		}
	}

	async createHost(role, index) {
		const [control, front, ready, peers] = this.ports;
		const ip = this.getIp(role, index);
		const name = `${role}-${index}`;
		const dataDir = path.join(this.folder, name);
		await mkdir(dataDir);
		const settings = {
			'node-name': name,
			role,
			'node-class': role === 'control' ? 'core' : 'front',
			serves: [role === 'control' ? 'control' : 'front'],
			ip,
			zone: `z${index % 3}`,
			region: 'north',
			'port-range': [peers, peers + 15],
			seeds: Array.from({length: Math.min(3, this.sizes.control)}, (_, i) => this.getControl(i)),
			bootstrap: true,
			'fault-counted': role === 'control',
			discovery: 'registry',
			entry: 'vip',
			'heartbeat-ms': 1200,
			'config-mode': 'highest',
			zones: {z0: 'north', z1: 'north', z2: 'north'},
			...(role === 'control' && {'data-dir': dataDir}),
			listen: role === 'control' ? {control: `${ip}:${control}`} : {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
			limits: {
				'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': role === 'control' ? 128 : 0,
			},
			'fault-tolerance': {machines: 1, zones: 1, regions: 0},
			bounds: this.bounds,
		};
		const settingsFile = path.join(this.folder, `${name}.json`);
		await writeFile(settingsFile, JSON.stringify(settings));
		return new Host(name, ip, {settingsFile, logFile: path.join(this.folder, `${name}.log`)});
	}
}
