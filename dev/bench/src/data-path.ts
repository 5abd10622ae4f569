import {Buffer} from 'node:buffer';
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {
	Agent, createServer, type IncomingMessage, request, type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const kinds = ['node-http', 'express-got'] as const;
const ROUNDS = 3;
const REQUESTS = 3000;
const STREAMS = 300;
const EVENTS = 56;
const EVENT_GAP_MS = 2;
const CONCURRENCY = 20;
const ANSWER = Buffer.alloc(800, 'x');

type Kind = (typeof kinds)[number];
type Forwarder = {readonly process: ChildProcess; readonly port: number};
type Cost = {readonly requestMs: number; readonly eventMs: number};

/** Starts a server that answers short requests at once and streams with an event every few milliseconds. */
async function startTarget(): Promise<Server> {
	const server = createServer(async (req, res) => {
		req.resume();
		if (req.url !== '/stream') {
			res.writeHead(200, {'Content-Length': String(ANSWER.length)}).end(ANSWER);
			return;
		}

		res.writeHead(200, {'Content-Type': 'text/event-stream'});
		for (let id = 1; id <= EVENTS; id++) {
			res.write(`id: ${id}\ndata: ${'x'.repeat(40)}\n\n`);
			await sleep(EVENT_GAP_MS);
		}

		res.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

async function startForwarder(kind: Kind, target: string): Promise<Forwarder> {
	const child = fork(new URL('data-path-forwarder.ts', import.meta.url), [kind, target]);
	const [{port}] = await once(child, 'message') as [{port: number}];
	return {process: child, port};
}

async function getCpuMs({process: child}: Forwarder): Promise<number> {
	child.send('usage');
	const [{cpuMs}] = await once(child, 'message') as [{cpuMs: number}];
	return cpuMs;
}

async function sendRequest(port: number, path: string, agent: Agent): Promise<void> {
	const req = request({
		host: '127.0.0.1', port, path, method: 'POST', agent,
	});
	req.end('a question');
	const [res] = await once(req, 'response') as [IncomingMessage];
	res.resume();
	await once(res, 'end');
}

async function sendRequests(port: number, path: string, count: number): Promise<void> {
	const agent = new Agent({keepAlive: true});
	let remaining = count;
	await Promise.all(Array.from({length: CONCURRENCY}, async () => {
		while (remaining > 0) {
			remaining -= 1;
			await sendRequest(port, path, agent);
		}
	}));
	agent.destroy();
}

async function measure(forwarder: Forwarder): Promise<Cost> {
	const startMs = await getCpuMs(forwarder);
	await sendRequests(forwarder.port, '/short', REQUESTS);
	const shortMs = await getCpuMs(forwarder);
	await sendRequests(forwarder.port, '/stream', STREAMS);
	const endMs = await getCpuMs(forwarder);
	return {requestMs: (shortMs - startMs) / REQUESTS, eventMs: (endMs - shortMs) / (STREAMS * EVENTS)};
}

function getMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Measures the processor time of forwarding one request and one event, with node:http and with express and got. The forwarders alternate, so that changes in the machine's load affect both. */
export async function runDataPathBench(): Promise<Record<string, unknown>> {
	const target = await startTarget();
	const address = `127.0.0.1:${(target.address() as AddressInfo).port}`;
	const forwarders = new Map<Kind, Forwarder>();
	const costs = new Map<Kind, readonly Cost[]>();
	for (const kind of kinds) {
		forwarders.set(kind, await startForwarder(kind, address));
	}

	// The first round warms up the processes and is discarded.
	for (let round = 0; round <= ROUNDS; round++) {
		for (const [kind, forwarder] of forwarders) {
			const cost = await measure(forwarder);
			costs.set(kind, round === 0 ? [] : [...costs.get(kind) ?? [], cost]);
		}
	}

	for (const {process: child} of forwarders.values()) {
		child.kill();
	}

	target.close();
	return Object.fromEntries([...costs].map(([kind, all]) => {
		const requestMs = getMedian(all.map(cost => cost.requestMs));
		const eventMs = getMedian(all.map(cost => cost.eventMs));
		return [kind, {
			requestMs, eventMs, requestsPerCoreS: Math.round(1000 / requestMs), eventsPerCoreS: Math.round(1000 / eventMs),
		}];
	}));
}
