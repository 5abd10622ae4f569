import {once} from 'node:events';
import {type AddressInfo, createServer, type Server} from 'node:net';
import {expect} from 'chai';
import {isConnectionRefused} from '../src/targets/probe.js';

async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('probe of a target', () => {
	it('detects a terminated target', async () => {
		const server = createServer();
		const address = await listen(server);
		server.close();
		expect(await isConnectionRefused(address)).toMatchSnapshot();
	});

	it('treats a target that keeps the connection open as alive', async () => {
		const server = createServer();
		const address = await listen(server);
		expect(await isConnectionRefused(address)).toMatchSnapshot();
		server.close();
	});

	it('detects a terminating process whose listening socket closes after its connections', async () => {
		const server = createServer(socket => {
			server.close();
			socket.resetAndDestroy();
		});
		const address = await listen(server);
		expect(await isConnectionRefused(address)).toMatchSnapshot();
	});

	it('terminates when a live target closes every connection', async () => {
		const server = createServer(socket => {
			socket.end();
		});
		const address = await listen(server);
		expect(await isConnectionRefused(address)).toMatchSnapshot();
		server.close();
	});
});
