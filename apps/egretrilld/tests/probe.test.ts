import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {runCuts} from '@egretrill/testkit';
import {expect} from 'chai';
import {isConnectionRefused} from '@egretrill/engines';

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

	// Guards against a live target that counts as terminated, so that its requests run once more elsewhere, because it cuts what it sends.
	it('treats a target that sends a part of an answer as alive, however it ends the connection', async () => {
		const endings: Readonly<Record<string, (socket: Socket) => void>> = {
			FIN(socket) {
				socket.end();
			},
			RST(socket) {
				socket.resetAndDestroy();
			},
			'held open': () => undefined,
		};
		const text = 'HTTP/1.1 503 Busy\r\n\r\n';
		const results: Record<string, unknown> = {};
		for (const [name, end] of Object.entries(endings)) {
			results[name] = await runCuts(text.length + 1, async cut => {
				const server = createServer(socket => {
					socket.on('error', () => undefined);
					socket.write(text.slice(0, cut));
					end(socket);
				});
				const isRefused = await isConnectionRefused(await listen(server));
				server.close();
				return isRefused ? 'terminated' : 'alive';
			});
		}

		expect(results).toMatchSnapshot();
	});
});
