import {once} from 'node:events';
import {type AddressInfo, connect} from 'node:net';
import express from 'express';
import {expect} from 'chai';
import {ExpressReply} from '../src/express-reply.js';

const STALL_MS = 50;
const CHUNK = new Uint8Array(65_536);

describe('answer to a caller', () => {
	// Guards against a connection that keeps its buffer and stays open after its request was cancelled.
	it('closes the connection of a caller that accepts nothing', async () => {
		const app = express();
		const failed = new Promise<string>(resolve => {
			app.get('/', async (req, res) => {
				const reply = new ExpressReply(res, new AbortController().signal, STALL_MS);
				reply.start(200, {'content-type': 'text/event-stream'});
				try {
					for (;;) {
						await reply.write(CHUNK);
					}
				} catch (err: unknown) {
					resolve(err instanceof Error ? err.name : 'unknown');
				}
			});
		});
		const server = app.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
		caller.on('error', () => undefined).pause().write('GET / HTTP/1.1\r\nhost: test\r\n\r\n');
		const [socket] = await once(server, 'connection') as [{destroyed: boolean}];
		const reason = await failed;
		expect({reason, isClosed: socket.destroyed}).toMatchSnapshot();
		caller.destroy();
		server.close();
	});
});
