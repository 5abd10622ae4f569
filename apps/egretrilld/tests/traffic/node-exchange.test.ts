import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {
	createHttpServer, MemoryBudget, MonotonicClock, refuse, TurnQueue,
} from '@egretrill/common';
import {expect} from 'chai';
import {NodeExchange} from '../../src/traffic/node-exchange.js';
import {callRaw} from './support/raw-caller.js';

/** A status that Node does not send. */
const UNSENDABLE_STATUS = 1000;

describe('NodeExchange', () => {
	// Guards against a refusal that cannot be written but counts as sent, so that its connection stays open without an answer.
	it('has not ended when its refusal could not be written', async () => {
		const ends: boolean[] = [];
		const server = createHttpServer((req, res) => {
			const exchange = new NodeExchange(req, res, {memory: new MemoryBudget(new MonotonicClock(), Number.POSITIVE_INFINITY), turns: new TurnQueue(), isStopping: () => false});
			try {
				exchange.refuse(refuse(UNSENDABLE_STATUS, 'code', 'The reason.'));
			} catch {
				ends.push(exchange.hasEnded());
			}

			exchange.abort();
			ends.push(exchange.hasEnded());
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {head} = await callRaw((server.address() as AddressInfo).port);
		server.close();
		expect({ends, head}).to.deep.equal({ends: [false, true], head: ''});
	});
});
