#!/usr/bin/env node
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {createConfig} from '../stand-ins/config.mjs';
import {Engine, streamEvents} from '../stand-ins/engine.mjs';
import {exchange, Fleet} from '../stand-ins/fleet.mjs';
import {runCase} from '../stand-ins/record.mjs';

const STREAMS_PER_SECOND = 10;
const LOOKUPS_PER_SECOND = 10;
const LENGTH_MS = 40_000;
/** Of the answers of the faulty engine, one in so many goes on without end. */
const EVERY_NTH = 50;
const LOOKUP_TIMEOUT_MS = 800;
const LOOKUP_LIMIT_MS = 1500;
const ANSWER_SLACK_MS = 500;
const MIN_LATE = 8;

const base = createConfig({});
const config = {
	...base,
	routes: [...base.routes, {
		name: 'r-lookups', host: 'app.example', 'path-prefix': '/lookups/', kind: 'idempotent', 'timeout-ms': LOOKUP_TIMEOUT_MS, 'target-latency-ms': 193, priority: 2, service: 'desk', 'max-attempts': 2, public: false,
	}],
	services: [...base.services, {
		name: 'desk', 'health-path': '/healthz', 'max-connections': 110, protocol: 'h1', tls: false, 'cold-start-s': 0, 'cold-per-s': 0,
	}],
};

const fleet = new Fleet({controls: 3, entries: 2});

/** Starts the faulty engine as a process. */
async function startFaultyEngine(record, everyNth) {
	const controls = fleet.controls.map((_, i) => fleet.getControl(i));
	const child = spawn(process.execPath, [path.join(import.meta.dirname, 'faulty-engine.mjs'), JSON.stringify({controls, zone: 'rabat-a', everyNth})], {stdio: ['ignore', 'pipe', 'inherit']});
	fleet.engines.push({
		end() {
			child.kill('SIGKILL');
		},
	});
	const lines = createInterface({input: child.stdout});
	lines.on('line', line => {
		record.add(line);
	});
	await once(lines, 'line');
}

async function play(record, hasTrouble) {
	await fleet.start();
	const controls = fleet.controls.map((_, i) => fleet.getControl(i));
	for (const zone of ['kenitra-b', 'tanger-c']) {
		const engine = new Engine({
			service: 'llm', zone, controls, models: [{name: 'm1', version: 1, adapters: []}], async run(req, res, body, self) {
				await streamEvents(req, res, self, {count: 56, intervalMs: 25});
			},
		});
		fleet.engines.push(engine);
		await engine.start();
	}

	for (const zone of ['rabat-a', 'kenitra-b', 'tanger-c']) {
		const engine = new Engine({
			service: 'desk', zone, controls, slots: 6, async run(req, res, body, self) {
				await delay(30);
				self.sign(req, res);
				res.end(`mark of ${req.headers['x-attempt-id']}`);
			},
		});
		fleet.engines.push(engine);
		await engine.start();
	}

	await startFaultyEngine(record, hasTrouble ? EVERY_NTH : 0);
	await fleet.order('/egretrill/config/put', config);
	await fleet.waitUntilReady();
	await delay(4000);

	const agent = new Agent({keepAlive: true});
	const send = async (index, url, timeoutMs, headers) => {
		const id = randomBytes(8).toString('hex');
		const sentMs = performance.now();
		const answer = await exchange({
			address: fleet.getFront(index), url, agent, timeoutMs, headers: {
				host: 'app.example', 'x-attempt-id': id, 'x-deadline-ms': String(timeoutMs), authorization: 'Token k1', ...headers,
			},
		});
		return {id, ...answer, tookMs: performance.now() - sentMs};
	};

	const endMs = performance.now() + LENGTH_MS;
	const lookups = [[], []];
	const streams = {complete: 0, other: 0};
	const sendStreams = async () => {
		const pending = [];
		while (performance.now() < endMs) {
			pending.push((async () => {
				const {status, isComplete} = await send(0, '/drafts/2f', 12_000, {'x-model': 'm1', 'x-token-count': '715,280', 'x-prompt-prefix': `5c1e07a2:172,${randomBytes(4).toString('hex')}:543`});
				streams[status === 200 && isComplete ? 'complete' : 'other'] += 1;
			})());
			await delay(1000 / STREAMS_PER_SECOND);
		}

		await Promise.all(pending);
	};

	const sendLookups = async index => {
		const pending = [];
		while (performance.now() < endMs) {
			pending.push((async () => {
				const {id, status, tookMs, error} = await send(index, '/lookups/2f', LOOKUP_LIMIT_MS, {});
				lookups[index].push({status, tookMs});
				record.add(`lookup ${id} at entry-${index} got ${status} after ${Math.round(tookMs)} ms${error ? ` (${error})` : ''}`);
			})());
			await delay(1000 / LOOKUPS_PER_SECOND);
		}

		await Promise.all(pending);
	};

	await Promise.all([sendStreams(), sendLookups(0), sendLookups(1)]);
	record.add(`streams at entry-0: ${streams.complete} complete, ${streams.other} others`);
	const [disturbed, other] = lookups.map((list, index) => {
		const unanswered = list.filter(({status, tookMs}) => status === 0 || tookMs > LOOKUP_TIMEOUT_MS);
		const late = unanswered.filter(({status, tookMs}) => status === 0 || tookMs > LOOKUP_TIMEOUT_MS + ANSWER_SLACK_MS);
		record.add(`of ${list.length} lookups at entry-${index} ${unanswered.length} had no answer at the timeout of their route, ${late.length} of them none 0.5 s later`);
		return {unanswered, late};
	});
	for (const {name, log} of fleet.entries) {
		record.add(`${name} has logged ${log.split('The event loop was blocked.').length - 1} times that its event loop was blocked`);
	}

	if (other.late.length >= MIN_LATE) {
		throw new Error('The machine without a faulty answer is late as well: the stand-ins are too slow here.');
	}

	return disturbed.late.length >= MIN_LATE && disturbed.late.length > disturbed.unanswered.length / 2;
}

process.exit(await runCase({folder: import.meta.dirname, fleet, play}));
