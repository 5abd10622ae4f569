import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Drain} from '@egretrill/balancer';
import {createHttpServer, MonotonicClock} from '@egretrill/common';
import {expect} from 'chai';
import {CallerConnections} from '../../src/traffic/caller-connections.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const CALLERS = 20;
/** More than the buffers of a loopback connection take. */
const UNREAD_BYTES = 16_777_216;

describe('CallerConnections', () => {
	// Guards against the reset of connections that have arrived when the listening socket is closed, but are not accepted yet.
	it('accepts all connections that have arrived before it stops accepting', async () => {
		const server = createHttpServer((_req, res) => {
			res.end('answer');
		});
		const connections = new CallerConnections(server, () => () => undefined);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const callers = await Promise.all(Array.from({length: CALLERS}, async () => CallerSocket.open(port)));
		for (const caller of callers) {
			caller.write(REQUEST);
		}

		await connections.stopAccepting(new AbortController().signal);
		await connections.close(new MonotonicClock());
		const answers = await Promise.all(callers.map(async caller => describeAnswers(await caller.readToEnd())));
		expect([...new Set(answers)]).to.deep.equal(['200, keep-alive, "answer"']);
	});

	// Guards against an answer that is cut off before the end of a stop, because its caller has read only a part of it and its connection counts as idle.
	it('goes on tracking a connection until its caller has read the answer', async () => {
		const server = createHttpServer((_req, res) => {
			res.end('a'.repeat(UNREAD_BYTES));
		});
		const drain = new Drain({clock: new MonotonicClock(), deadlineMs: 0});
		const connections = new CallerConnections(server, () => drain.trackWork('connection'));
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const [reader, idle] = [await CallerSocket.open(port), await CallerSocket.open(port)];
		reader.write(REQUEST.replace('Host', 'Connection: close\r\nHost'));
		await reader.waitForText('200');
		reader.socket.pause();
		connections.stopTrackingIdle();
		const whileUnread = drain.getWorkCount();
		reader.socket.resume();
		const {text} = await reader.readToEnd();
		await setImmediate();
		expect({whileUnread, afterwards: drain.getWorkCount(), isWhole: text.length > UNREAD_BYTES}).to.deep.equal({whileUnread: 1, afterwards: 0, isWhole: true});
		idle.socket.destroy();
		await connections.close(new MonotonicClock());
	});
});
