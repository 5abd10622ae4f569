import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {MonotonicClock, StreamBrokenError} from '@egretrill/common';
import {expect} from 'chai';
import {EngineClient, STREAM_HEARTBEAT_DEADLINE_MS} from '../../src/index.js';

/** A pause that a sound engine may make. */
const PAUSE_MS = 1600;
const HEARTBEAT_INTERVAL_MS = 1000;
const HEARTBEAT = ': heartbeat\n\n';
const CHUNK = 'data: {"id":"req-1","egretrill":{"seq":0},"choices":[{"delta":{"content":"The"},"finish_reason":null}]}\n\n';
const DONE = 'data: [DONE]\n\n';

type EngineScript = (res: ServerResponse) => Promise<void>;

async function startEngine(script: EngineScript): Promise<Server> {
	const server = createServer((req, res) => {
		req.resume();
		void script(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

/** Streams one answer of an engine and returns the items that arrived, and why the stream broke off if it did. */
async function streamFrom(script: EngineScript): Promise<string> {
	const server = await startEngine(script);
	const client = new EngineClient(new MonotonicClock());
	const items: string[] = [];
	const target = {targetId: 'engine-1', startId: 'start-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
	const req = {
		requestId: 'req-1', method: 'POST', path: '/v1/chat/completions', headers: {}, body: new TextEncoder().encode('{}'), deadlineMs: 30_000,
	};
	try {
		for await (const batch of client.stream(target, req, new AbortController().signal)) {
			items.push(...batch.map(({kind}) => kind));
		}
	} catch (err: unknown) {
		items.push(err instanceof StreamBrokenError ? err.failure.code : String(err));
	} finally {
		client.close();
		server.close();
		server.closeAllConnections();
	}

	return items.join(' ');
}

function sendHead(res: ServerResponse): void {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.flushHeaders();
}

describe('a stream of the engine protocol', () => {
	// Guards against an answer that is ended because a sound engine pauses.
	it('outlasts the pauses of a sound engine', async () => {
		const [betweenChunks, betweenHeartbeats, aroundHead, beforeEnd, forGood] = await Promise.all([
			streamFrom(async res => {
				sendHead(res);
				res.write(CHUNK);
				await delay(PAUSE_MS);
				res.end(DONE);
			}),
			streamFrom(async res => {
				sendHead(res);
				res.write(HEARTBEAT);
				await delay(HEARTBEAT_INTERVAL_MS + PAUSE_MS);
				res.end(CHUNK + DONE);
			}),
			streamFrom(async res => {
				await delay(PAUSE_MS);
				sendHead(res);
				await delay(HEARTBEAT_INTERVAL_MS + PAUSE_MS);
				res.end(CHUNK + DONE);
			}),
			streamFrom(async res => {
				sendHead(res);
				res.write(CHUNK + DONE);
				await delay(PAUSE_MS);
				res.end();
			}),
			streamFrom(async res => {
				sendHead(res);
				res.write(CHUNK);
			}),
		]);
		expect({
			betweenChunks, betweenHeartbeats, aroundHead, beforeEnd, forGood,
		}).toMatchSnapshot();
	});

	// Guards against the streams of a host being given up after it stood still, although their bytes have arrived meanwhile.
	it('outlasts a standstill of the host itself', async () => {
		const items = await streamFrom(async res => {
			sendHead(res);
			res.write(HEARTBEAT);
			await delay(100);
			res.write(CHUNK);
			// Blocks the event loop that the client shares, without using the processor.
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STREAM_HEARTBEAT_DEADLINE_MS + 500);
			await delay(100);
			res.end(DONE);
		});
		expect(items).to.equal('heartbeat chunk done');
	});
});
