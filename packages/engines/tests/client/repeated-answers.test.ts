import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {MonotonicClock, StreamBrokenError, type TargetRequest} from '@egretrill/common';
import {expect} from 'chai';
import {EngineClient} from '../../src/index.js';

function createRequest(requestId: string): TargetRequest {
	return {
		requestId, method: 'POST', path: '/v1/chat/completions', headers: {}, body: new TextEncoder().encode('{}'), deadlineMs: 5000,
	};
}

function formatAnswer(status: string, body: string): string {
	return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

type FaultyEngine = {readonly address: string; readonly connections: Socket[]; readonly close: () => void};

/** Starts an engine that writes `first` for the first request, and for the second one `first` again before its true answer if both come on one connection. */
async function startFaultyEngine(first: string, second: string): Promise<FaultyEngine> {
	const connections: Socket[] = [];
	let requests = 0;
	const server = createServer(socket => {
		connections.push(socket);
		let isUsed = false;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			requests += 1;
			if (requests > 1 && isUsed) {
				socket.write(first);
			}

			socket.write(requests === 1 ? first : second);
			isUsed = true;
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		connections,
		close() {
			server.close();
			for (const socket of connections) {
				socket.destroy();
			}
		},
	};
}

type EngineRun = {readonly answer: string; readonly connections: number};

/** Sends two requests and describes the answer to the second one. */
async function runTwice(first: string, second: string, read: (client: EngineClient, address: string, requestId: string) => Promise<string>): Promise<EngineRun> {
	const engine = await startFaultyEngine(first, second);
	const client = new EngineClient(new MonotonicClock());
	await read(client, engine.address, 'req-1');
	const answer = await read(client, engine.address, 'req-2');
	client.close();
	engine.close();
	return {answer, connections: engine.connections.length};
}

async function readCompletion(client: EngineClient, address: string, requestId: string): Promise<string> {
	const sent = await client.complete({targetId: 'engine-1', startId: 'start-1', address}, createRequest(requestId), new AbortController().signal);
	if (sent.isErr) {
		return `failed: ${sent.error.code}`;
	}

	const chunks: Uint8Array[] = [];
	for await (const chunk of sent.value.body) {
		chunks.push(chunk);
	}

	return `${sent.value.status} ${Buffer.concat(chunks).toString()}`;
}

async function readStream(client: EngineClient, address: string, requestId: string): Promise<string> {
	const kinds: string[] = [];
	try {
		for await (const items of client.stream({targetId: 'engine-1', startId: 'start-1', address}, createRequest(requestId), new AbortController().signal)) {
			kinds.push(...items.map(({kind}) => kind));
		}

		return `${kinds.join(', ')} whole`;
	} catch (err: unknown) {
		return `${kinds.join(', ')} ${err instanceof StreamBrokenError ? err.failure.code : String(err)}`;
	}
}

describe('an answer that an engine repeats on a kept connection', () => {
	// Guards against an earlier refusal that is taken as the answer to a completion: only the body of an answer with status 200 names its request.
	it('never becomes the answer to the next completion', async () => {
		const own = formatAnswer('200 OK', '{"id":"req-2"}');
		expect({
			429: await runTwice(formatAnswer('429 Too Many Requests', 'busy'), own, readCompletion),
			404: await runTwice(formatAnswer('404 Not Found', 'no model'), own, readCompletion),
			503: await runTwice(formatAnswer('503 Service Unavailable', 'busy'), own, readCompletion),
			200: await runTwice(formatAnswer('200 OK', '{"id":"req-1"}'), own, readCompletion),
		}).toMatchSnapshot();
	});

	// Guards against a repeated refusal that counts as "not run", and against a repeated stream or end marker that ends the next stream as complete.
	it('never becomes the answer to the next stream', async () => {
		const formatChunk = (id: string): string => `data: {"id":"${id}","egretrill":{"seq":0},"choices":[]}\n\n`;
		const done = 'data: [DONE]\n\n';
		const own = formatAnswer('200 OK', `${formatChunk('req-2')}${done}`);
		expect({
			429: await runTwice(formatAnswer('429 Too Many Requests', 'busy'), own, readStream),
			503: await runTwice(formatAnswer('503 Service Unavailable', 'busy'), own, readStream),
			200: await runTwice(formatAnswer('200 OK', `${formatChunk('req-1')}${done}`), own, readStream),
			'an end marker alone': await runTwice(formatAnswer('200 OK', done), own, readStream),
		}).toMatchSnapshot();
	});
});
