#!/usr/bin/env node
import {randomBytes} from 'node:crypto';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createConfig} from '../stand-ins/config.mjs';
import {Engine, streamEvents} from '../stand-ins/engine.mjs';
import {bounds, exchange, Fleet} from '../stand-ins/fleet.mjs';
import {runCase} from '../stand-ins/record.mjs';

const ENTRY_HOSTS = 3;
const ENGINES = 6;
const SENDS_BEFORE = 6;
const SENDS_AFTER = 18;
const SEND_INTERVAL_MS = 1500;
/** Time for which all processes of the system are down. */
const DARK_MS = 1000;
/** Time from their start until the request comes again: all machines are in touch. */
const RECOVERY_MS = 12_000;
const DOWN_MS = 2000;
const READ_MS = 30;
/** More retries than this break the rule. */
const MAX_LATER_RETRIES = 3;
const HARMFUL_BODY = 'draft of the survey notes of bridge 17';

const fleet = new Fleet({controls: 3, entries: ENTRY_HOSTS});

async function play(record, hasTrouble) {
	const crashesMs = [];
	const arrivalsMs = [];
	const run = async (req, res, body, engine) => {
		if (body !== HARMFUL_BODY) {
			await streamEvents(req, res, engine, {count: 40, intervalMs: 25});
			return;
		}

		arrivalsMs.push(performance.now());
		record.add(`engine ${engine.id} runs ${req.headers['x-attempt-id']}, the harmful request`);
		await delay(READ_MS);
		if (engine.isUp) {
			crashesMs.push(performance.now());
			record.add(`engine ${engine.id} crashes, the crash number ${crashesMs.length}`);
			engine.crash(DOWN_MS);
		}
	};

	await fleet.start();
	const controls = fleet.controls.map((_, i) => fleet.getControl(i));
	for (let i = 0; i < ENGINES; i++) {
		const engine = new Engine({
			service: 'llm', zone: ['rabat-a', 'kenitra-b', 'tanger-c'][i % 3], controls, run, models: [{name: 'm1', version: 1, adapters: []}],
		});
		fleet.engines.push(engine);
		await engine.start();
	}

	await fleet.order('/egretrill/config/put', createConfig({}));
	await fleet.waitUntilReady();
	await delay(4000);

	const send = async (index, body, agent) => {
		const id = randomBytes(8).toString('hex');
		const answer = await exchange({
			address: fleet.getFront(index),
			url: '/drafts/2f',
			body,
			agent,
			timeoutMs: 12_000,
			headers: {
				host: 'app.example',
				'x-attempt-id': id,
				'x-deadline-ms': '12000',
				authorization: 'Token k1',
				'x-model': 'm1',
				'x-token-count': '715,200',
				'x-prompt-prefix': `5c1e07a2:172,${id.slice(0, 8)}:543`,
			},
		});
		return {id, ...answer};
	};

	const stopper = new AbortController();
	const sendSound = async index => {
		const agent = new Agent({keepAlive: true});
		while (!stopper.signal.aborted) {
			await send(index, `sound draft ${randomBytes(4).toString('hex')}`, agent);
			await delay(300);
		}
	};

	const sendHarmful = async count => {
		for (let i = 0; i < count; i++) {
			const index = i % ENTRY_HOSTS;
			const {id, status} = await send(index, HARMFUL_BODY);
			record.add(`machine ${index} answers ${id} with ${status}`);
			await delay(SEND_INTERVAL_MS);
		}
	};

	const sound = Array.from({length: ENTRY_HOSTS}, async (_, i) => sendSound(i));
	await delay(3000);
	await sendHarmful(SENDS_BEFORE);
	if (hasTrouble) {
		const processes = [...fleet.controls, ...fleet.entries];
		record.add('SIGKILL to all processes of the system');
		await Promise.all(processes.map(async member => member.stop()));
		await delay(DARK_MS);
		await Promise.all(processes.map(async member => member.start()));
		record.add('all processes run again');
		await fleet.waitUntilReady();
	}

	await delay(RECOVERY_MS);
	await sendHarmful(SENDS_AFTER);
	stopper.abort();
	await Promise.all(sound);
	const thirdMs = crashesMs[2];
	const later = thirdMs === undefined ? [] : arrivalsMs.filter(ms => ms > thirdMs + bounds['contact-ms']);
	record.add(`${crashesMs.length} crashes; the request reached engines ${later.length} times later than contact-ms after the third`);
	return later.length > MAX_LATER_RETRIES;
}

process.exit(await runCase({folder: import.meta.dirname, fleet, play}));
