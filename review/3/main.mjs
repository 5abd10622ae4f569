#!/usr/bin/env node
import {randomBytes} from 'node:crypto';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createConfig} from '../stand-ins/config.mjs';
import {Engine, streamEvents} from '../stand-ins/engine.mjs';
import {bounds, exchange, Fleet} from '../stand-ins/fleet.mjs';
import {runCase} from '../stand-ins/record.mjs';

const EVENT_INTERVAL_MS = 25;
const TOKENS_PER_EVENT = 5;
const SHORT_TOKENS = 50;
const LONG_TOKENS = 1000;
const CHANNELS = 10;
const REQUESTS_PER_CHANNEL = 10;
/** Channels on which one of the requests before the stop is a long one: 4 of 100 requests are. */
const LONG_CHANNELS = 4;
const TIME_LIMIT_MS = 12_000;
/** When the long requests are sent, counted from the SIGTERM: later than the 3 s that the rule excuses. */
const SEND_TIMES_MS = [3300, 3600, 3900];
const EXCUSED_MS = 3000;

const config = createConfig({'max-attempts': 2, resumable: true});

const fleet = new Fleet({controls: 3, entries: 3});

async function play(record, hasTrouble) {
	const run = async (req, res, body, engine) => {
		const id = req.headers['x-attempt-id'];
		const tokensOut = Number(req.headers['x-token-count'].split(',')[1]);
		const startMs = performance.now();
		record.add(`engine ${engine.id} runs ${id} from event ${req.headers['last-event-id'] ?? 0}`);
		res.once('close', () => {
			record.add(`engine ${engine.id} ${res.writableFinished ? 'has completed' : 'saw its channel close during'} ${id} after ${Math.round(performance.now() - startMs)} ms`);
		});
		await streamEvents(req, res, engine, {count: tokensOut / TOKENS_PER_EVENT, intervalMs: EVENT_INTERVAL_MS});
	};

	await fleet.start();
	const controls = fleet.controls.map((_, i) => fleet.getControl(i));
	for (let i = 0; i < 3; i++) {
		const engine = new Engine({
			service: 'llm', zone: ['rabat-a', 'kenitra-b', 'tanger-c'][i], controls, run, models: [{name: 'm1', version: 1, adapters: []}],
		});
		fleet.engines.push(engine);
		await engine.start();
	}

	await fleet.order('/egretrill/config/put', config);
	await fleet.waitUntilReady();
	await delay(4000);

	const send = async (agent, tokensOut) => {
		const id = randomBytes(8).toString('hex');
		const sentMs = performance.now();
		record.add(`a consumer sends ${id} with ${tokensOut} tokens at the most`);
		const answer = await exchange({
			address: fleet.getFront(0), url: '/drafts/2f', body: `draft ${id}`, agent, timeoutMs: TIME_LIMIT_MS, headers: {
				host: 'app.example',
				'x-attempt-id': id,
				'x-deadline-ms': String(TIME_LIMIT_MS),
				authorization: 'Token k1',
				'x-model': 'm1',
				'x-token-count': `715,${tokensOut}`,
				'x-prompt-prefix': `5c1e07a2:172,${id.slice(0, 8)}:543`,
			},
		});
		const tookMs = Math.round(performance.now() - sentMs);
		const events = answer.body.split('\n\n').length - 1;
		record.add(`${id} got ${answer.status}, ${events} events, ${answer.isComplete ? 'complete' : 'cut off'}, after ${tookMs} ms${answer.error ? ` (${answer.error})` : ''}`);
		return {
			...answer, sentMs, tookMs, events,
		};
	};

	const keptChannels = Array.from({length: CHANNELS}, () => new Agent({keepAlive: true, maxSockets: 1}));
	await Promise.all(keptChannels.map(async (agent, channel) => {
		for (let i = 0; i < REQUESTS_PER_CHANNEL; i++) {
			await send(agent, i === 0 && channel < LONG_CHANNELS ? LONG_TOKENS : SHORT_TOKENS);
		}
	}));

	const stopMs = performance.now();
	if (hasTrouble) {
		record.add('SIGTERM to the machine entry-0');
		fleet.entries[0].signal('SIGTERM');
	}

	const answers = await Promise.all(SEND_TIMES_MS.map(async (ms, i) => {
		await delay(ms);
		return send(keptChannels[i], LONG_TOKENS);
	}));
	const {ended} = fleet.entries[0];
	record.add(`the process of entry-0 ${ended ? `ended ${Math.round(ended.atMs - stopMs)} ms after the SIGTERM` : 'runs'}`);
	const lost = answers.filter(({status, isComplete, events, sentMs, tookMs}) => {
		const sentAfterMs = sentMs - stopMs;
		const isCounted = sentAfterMs > EXCUSED_MS && sentAfterMs + tookMs < (bounds['grace-s'] * 1000) + 1000 && tookMs < TIME_LIMIT_MS;
		return isCounted && status === 200 && events > 0 && !isComplete;
	});
	record.add(`${lost.length} of ${answers.length} requests that were passed on to an engine ended without a complete answer`);
	return lost.length > 0;
}

process.exit(await runCase({folder: import.meta.dirname, fleet, play}));
