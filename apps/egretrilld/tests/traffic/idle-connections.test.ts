import {once} from 'node:events';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {createHttpServer} from '@egretrill/common';
import {expect} from 'chai';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';

const SHORT_IDLE_MS = 100;
const LONG_IDLE_MS = 3000;
/** Callers use a connection that was idle for up to four fifths of the configured time. */
const LONG_USE_MS = 2400;
/** Node closes an idle connection this much later than the configured time. */
const NODE_BUFFER_MS = 1000;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** Keeps this process from running anything else. */
function blockEventLoop(durationMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

async function listen(idleMs: number, listener: RequestListener): Promise<Server> {
	const server = createHttpServer(listener);
	server.keepAliveTimeout = idleMs;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

/** Sends a request, waits for the end of its answer, and after a pause sends another one. */
async function callTwice(server: Server, pause: (caller: CallerSocket) => Promise<void>): Promise<string> {
	const caller = await CallerSocket.open((server.address() as AddressInfo).port);
	caller.write(REQUEST);
	await caller.waitForText('answer');
	await pause(caller);
	caller.write(REQUEST.replace('Host', 'Connection: close\r\nHost'));
	const received = await caller.readToEnd();
	server.closeAllConnections();
	server.close();
	return describeAnswers(received);
}

describe('an idle connection', () => {
	// Guards against a next request on a connection that is closed before its announced time, which was shortened before the answer ended.
	it('stays open for the announced time', async () => {
		const server = await listen(LONG_IDLE_MS, (_req, res) => {
			res.writeHead(200, {'Content-Length': 6});
			res.flushHeaders();
			server.keepAliveTimeout = SHORT_IDLE_MS;
			res.end('answer');
		});
		expect(await callTwice(server, async () => setTimeout(LONG_USE_MS))).toMatchSnapshot();
	});

	// Guards against a next request on a connection that is closed before the configured time, which was lengthened while the connection was idle.
	it('stays open for a time that was lengthened meanwhile', async () => {
		const server = await listen(SHORT_IDLE_MS, (_req, res) => {
			res.end('answer');
		});
		expect(await callTwice(server, async () => {
			server.keepAliveTimeout = LONG_IDLE_MS;
			await setTimeout(LONG_USE_MS);
		})).toMatchSnapshot();
	});

	// Guards against a request that has arrived but is not read, because the timer of the idle connection runs first after a standstill of this process.
	it('is not closed when a request has arrived before the timer runs', async () => {
		const server = await listen(SHORT_IDLE_MS, (_req, res) => {
			res.end('answer');
		});
		expect(await callTwice(server, async caller => {
			await setTimeout(SHORT_IDLE_MS);
			caller.write(REQUEST);
			blockEventLoop(2 * NODE_BUFFER_MS);
			await setTimeout(SHORT_IDLE_MS);
		})).toMatchSnapshot();
	});

	// Guards against connections that are never closed.
	it('is closed after the configured time', async () => {
		const server = await listen(SHORT_IDLE_MS, (_req, res) => {
			res.end('answer');
		});
		const caller = await CallerSocket.open((server.address() as AddressInfo).port);
		caller.write(REQUEST);
		expect(describeAnswers(await caller.readToEnd())).toMatchSnapshot();
		server.close();
	});
});
