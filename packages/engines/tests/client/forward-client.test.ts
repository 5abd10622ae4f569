import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type Server, type Socket, type AddressInfo,
} from 'node:net';
import {expect} from 'chai';
import {ForwardClient} from '../../src/client/index.js';

describe('ForwardClient', () => {
	let server: Server;
	let client: ForwardClient;
	let serve: (socket: Socket) => void;
	let connections = 0;

	beforeEach(async () => {
		connections = 0;
		client = new ForwardClient();
		server = createServer(socket => {
			connections += 1;
			socket.on('error', () => undefined);
			socket.on('data', () => {
				serve(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	async function send(mayReuse = true): Promise<unknown> {
		const sent = await client.send({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', url: '/', headers: ['Host', 'a'], body: new Uint8Array(), mayReuse,
		}, new AbortController().signal);
		if (sent.isErr) {
			return {accepted: sent.error.accepted};
		}

		const chunks: Uint8Array[] = [];
		let isBroken = false;
		try {
			for await (const chunk of sent.value.body) {
				chunks.push(chunk);
			}
		} catch {
			isBroken = true;
		}

		return {status: sent.value.status, body: Buffer.concat(chunks).toString(), isComplete: !isBroken && sent.value.isComplete()};
	}

	// Guards against half an answer that looks complete because it has no length.
	it('tells an answer that ends with its connection from one that is reset', async () => {
		serve = socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		};

		const whole = await send();
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		};

		const half = await send();
		serve = socket => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
		};

		expect({whole, half, short: await send()}).toMatchSnapshot();
	});

	// Guards against half an answer that looks complete because its bytes and the reset are read at once, which the library reports as the end.
	it('tells a reset that arrives together with the last bytes', async () => {
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
			socket.resetAndDestroy();
		};

		expect([await send(), await send()]).toMatchSnapshot();
	});

	// Guards against an answer that belongs to no request and is taken for the next one.
	it('closes a kept connection on which bytes arrive unasked', async () => {
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		};

		const answers = [await send(), await send()];
		const keptConnections = connections;
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra');
			}, 20);
		};

		answers.push(await send());
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown');
		};

		answers.push(await send());
		expect({answers, keptConnections, connections}).toMatchSnapshot();
	});

	// Guards against a request that is sent twice because a refused connection counts as sent, or the other way round.
	it('knows whether a request was written', async () => {
		serve = socket => {
			socket.destroy();
		};

		const closed = await send(false);
		const {port} = server.address() as AddressInfo;
		server.close();
		await once(server, 'close');
		const refused = await client.send({
			address: `127.0.0.1:${port}`, method: 'GET', url: '/', headers: ['Host', 'a'], body: new Uint8Array(), mayReuse: true,
		}, new AbortController().signal);
		expect({closed, refused: refused.isErr && refused.error.accepted}).toMatchSnapshot();
	});
});
