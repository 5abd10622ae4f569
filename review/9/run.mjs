#!/usr/bin/env node
/* The three engines of a service crash together while they run the same popular lookup, and are back after some seconds. */
import {randomInt} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Engine} from '../stand-ins-2/engine.mjs';
import {Fleet} from '../stand-ins-2/fleet.mjs';
import {call} from '../stand-ins-2/http-call.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ENTRIES = 2;
const ENGINES = 3;
const WORK_MS = 43;
const LOOKUPS_PER_S = 120;
/** Every so many-th request is a lookup that nobody else makes. */
const OTHER_EVERY = 6;
const CALM_MS = 8000;
/** Time for which the engines are down, and the time that is observed from the crash on. */
const DOWN_MS = 4500;
const OBSERVED_MS = 20_000;
/** Bound of the rule DENIED: a number of requests, and a part of all. */
const MAX_DENIED = 5;
const MAX_DENIED_RATIO = 1 / 500;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;
const excusedStatuses = new Set([408, 421, 429]);

const config = {
	version: 7,
	routes: [{
		name: 'r-lookup', host: 'app.example', 'path-prefix': '/marks/', kind: 'idempotent',
		'timeout-ms': 1500, 'target-latency-ms': 193, priority: 2, service: 'desk', 'max-attempts': 2, public: false, sticky: false, resumable: false,
	}],
	services: [{
		name: 'desk', 'health-path': '/healthz', 'max-connections': 110, protocol: 'h1', tls: false, 'cold-start-s': 0, 'cold-per-s': 0,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [{name: 'hule', 'api-keys': ['k1'], priority: 1}],
};

const fleet = new Fleet({entries: ENTRIES});
const answers = [];
let runCount = 0;

/** Most callers ask for the same mark, as many do after a flood. */
async function lookUp(number, startMs) {
	const index = number % ENTRIES;
	const isOther = number % OTHER_EVERY === 1;
	const sentMs = performance.now() - startMs;
	let status;
	try {
		({status} = await call(`http://${fleet.getEntry(index)}/marks/${isOther ? `other-${number}` : 7}`, {
			timeoutMs: 2000, headers: {
				host: 'app.example', 'x-attempt-id': `a${randomInt(2 ** 40).toString(16)}`, 'x-deadline-ms': '1500', authorization: 'Token k1',
			},
		}));
	} catch {
		status = 'no answer';
	}

	answers.push({sentMs, status, isOther});
}

async function load(ms, startMs) {
	const sends = [];
	const beganMs = performance.now();
	for (let sent = 0; performance.now() - beganMs < ms;) {
		const due = Math.floor((performance.now() - beganMs) * LOOKUPS_PER_S / 1000);
		for (; sent < due; sent++) {
			sends.push(lookUp(sent, startMs));
		}

		await delay(2);
	}

	await Promise.all(sends);
}

function countBy(list) {
	const counts = {};
	for (const {status} of list) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return JSON.stringify(counts);
}

async function main() {
	await fleet.start();
	const controls = Array.from({length: 3}, (_, i) => fleet.getControl(i));
	const engines = Array.from({length: ENGINES}, (_, i) => new Engine({
		id: `i-${i}`, service: 'desk', zone: `z${i % 3}`, controls, slots: 6, workMs: WORK_MS, onRun() {
			runCount += 1;
		},
	}));
	await Promise.all(engines.map(async engine => engine.start()));
	await fleet.put(config);
	await fleet.waitUntilReady();
	await delay(3000);
	const startMs = performance.now();
	const loading = load(CALM_MS + OBSERVED_MS, startMs);
	await delay(CALM_MS);
	const crashMs = performance.now() - startMs;
	if (hasTrouble) {
		await Promise.all(engines.map(async engine => engine.crash(DOWN_MS)));
	}

	await loading;
	for (const engine of engines) {
		engine.stop();
	}

	const denied = answers.filter(({status}) => status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR && !excusedStatuses.has(status));
	const allowed = MAX_DENIED + (answers.length * MAX_DENIED_RATIO);
	const isBroken = denied.length > allowed;
	const lines = [
		`trouble: ${hasTrouble}`,
		`requests sent: ${answers.length}, answers: ${countBy(answers)}, runs begun: ${runCount}`,
		`proper requests that were ended with a 4xx of the system: ${denied.length}, allowed: ${allowed.toFixed(1)}`,
		`DENIED ${isBroken ? 'broken' : 'held'}`,
	];
	for (let second = 0; second < (CALM_MS + OBSERVED_MS) / 1000; second++) {
		const fromMs = second * 1000;
		const note = hasTrouble && crashMs >= fromMs && crashMs < fromMs + 1000 ? `, the engines crash at ${crashMs.toFixed(0)} ms and are back ${DOWN_MS} ms later` : '';
		const sent = answers.filter(({sentMs}) => sentMs >= fromMs && sentMs < fromMs + 1000);
		lines.push(`sent in second ${second}: the popular lookup ${countBy(sent.filter(({isOther}) => !isOther))}, others ${countBy(sent.filter(({isOther}) => isOther))}${note}`);
	}

	await writeFile(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`);
	console.log(lines.slice(0, 4).join('\n'));
	return isBroken ? 1 : 0;
}

let code = 2;
try {
	code = await main();
} catch (err) {
	console.error(err);
} finally {
	await fleet.stop();
}

process.exit(code);
