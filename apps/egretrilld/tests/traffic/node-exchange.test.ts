import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createHttpServer, MemoryBudget, MonotonicClock, refuse, TurnQueue,
} from '@egretrill/common';
import {expect} from 'chai';
import {NodeExchange} from '../../src/traffic/node-exchange.js';
import {callRaw} from './support/raw-caller.js';

const EVENTS = 3;

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

	// Guards against several buffers for each event, whose joint write costs more than the relay of the event.
	it('writes each event to the connection in one piece', async () => {
		const pieces: number[] = [];
		const server = createHttpServer(async (req, res) => {
			const exchange = new NodeExchange(req, res, {memory: new MemoryBudget(new MonotonicClock(), Number.POSITIVE_INFINITY), turns: new TurnQueue(), isStopping: () => false});
			exchange.start(200, ['x-target', 'yes']);
			const {socket} = req;
			const writeMany = socket._writev?.bind(socket);
			socket._writev = (chunks, callback) => {
				pieces.push(chunks.length);
				writeMany?.(chunks, callback);
			};

			for (let id = 1; id <= EVENTS; id += 1) {
				await exchange.write(new TextEncoder().encode(`id: ${id}\n\n`));
				await nextTurn();
			}

			// Node may join the end of an answer with its last chunk.
			socket._writev = writeMany;
			exchange.end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {content, isWhole} = await callRaw((server.address() as AddressInfo).port);
		server.close();
		expect({content, isWhole, pieces}).to.deep.equal({content: 'id: 1\n\nid: 2\n\nid: 3\n\n', isWhole: true, pieces: []});
	});
});
