import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createHttpServer, MonotonicClock} from '@egretrill/common';
import {expect} from 'chai';
import {CallerConnections} from '../../src/traffic/caller-connections.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const CALLERS = 20;

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
});
