import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {MonotonicClock, StreamBrokenError} from '@egretrill/common';
import {expect} from 'chai';
import {EngineClient, STREAM_END_DEADLINE_MS} from '../../src/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const ANSWER = 'data: {"id":"req-1","egretrill":{"seq":0},"choices":[{"delta":{"content":"The"},"finish_reason":null}]}\n\ndata: [DONE]\n\n';
const DEADLINE_MS = 30_000;

/** Writes comments as fast as the client reads, until the connection closes. */
function writeComments(socket: Socket): void {
	while (!socket.destroyed) {
		if (!socket.write(': more\n\n'.repeat(1024))) {
			socket.once('drain', () => {
				writeComments(socket);
			});
			return;
		}
	}
}

describe('bytes after the end marker of a stream', () => {
	// Guards against a finished request that occupies its task, its slot at the engine and the CPU until its deadline.
	it('ends a stream whose connection continues to send after its end marker', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(HEAD + ANSWER);
				writeComments(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const target = {targetId: 'engine-1', startId: 'start-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
		const client = new EngineClient(new MonotonicClock());
		const kinds: string[] = [];
		const startMs = performance.now();
		let failure: unknown;
		try {
			for await (const items of client.stream(target, {
				requestId: 'req-1', method: 'POST', path: '/', headers: {}, body: new TextEncoder().encode('{}'), deadlineMs: DEADLINE_MS,
			}, new AbortController().signal)) {
				kinds.push(...items.map(({kind}) => kind));
			}
		} catch (err: unknown) {
			failure = err instanceof StreamBrokenError ? err.failure.code : err;
		}

		const isInTime = performance.now() - startMs < 10 * STREAM_END_DEADLINE_MS;
		client.close();
		server.close();
		expect({kinds, failure, isInTime}).toMatchSnapshot();
	});
});
