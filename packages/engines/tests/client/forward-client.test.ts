import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type Server, type Socket, type AddressInfo,
} from 'node:net';
import {expect} from 'chai';
import type {OutgoingMessage} from '@egretrill/common';
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

	function createMessage(mayReuse: boolean): OutgoingMessage {
		return {
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', url: '/', headers: ['Host', 'a'], body: new Uint8Array(), mayReuse,
		};
	}

	/** Runs the event loop until both ends of the loopback connection have read what was written. */
	async function runEventLoop(): Promise<void> {
		for (let turns = 0; turns < 20; turns += 1) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	async function send(mayReuse = true): Promise<unknown> {
		const sent = await client.send(createMessage(mayReuse), new AbortController().signal);
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

	// Guards against a target that is preferred for a connection that is in use, closed or not there.
	it('knows the targets to which it has an idle connection', async () => {
		const {address} = createMessage(true);
		const states = [client.hasIdleConnection(address)];
		serve = socket => {
			states.push(client.hasIdleConnection(address));
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
		};

		await send(false);
		await runEventLoop();
		states.push(client.hasIdleConnection(address));
		await send();
		await runEventLoop();
		states.push(client.hasIdleConnection(address));
		expect(states).to.deep.equal([false, false, false, false, true]);
	});

	// Guards against a truncated answer that looks complete because it has no length.
	it('distinguishes an answer that ends with its connection from one that is reset', async () => {
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

	// Guards against a truncated answer that looks complete: if its bytes and the reset are read together, Node reports a normal end.
	it('detects a reset that arrives together with the last bytes', async () => {
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
			socket.resetAndDestroy();
		};

		expect([await send(), await send()]).toMatchSnapshot();
	});

	// Guards against unsolicited bytes on an idle connection that are parsed as the answer to the next request.
	it('closes an idle connection on which unsolicited bytes arrive', async () => {
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

	// Guards against a lost retry because a refused connection counts as sent, and against a duplicate request because a sent one counts as unsent.
	it('reports whether a request may have been sent', async () => {
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

	// Guards against the rest of an unsolicited second answer being parsed as the answer to the next request. This happens if its start arrives before the first answer has been read completely.
	it('closes a connection on which extra bytes arrive before the answer has been read', async () => {
		let peer: Socket | undefined;
		const long = 'x'.repeat(40_000);
		serve = socket => {
			peer = socket;
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${long.length}\r\n\r\n${long}`);
		};

		const first = await client.send(createMessage(true), new AbortController().signal);
		// The body of the second answer looks like an answer itself and arrives later than its head.
		peer?.write('HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n');
		await runEventLoop();
		const chunks: Uint8Array[] = [];
		for await (const chunk of first.isOk ? first.value.body : []) {
			chunks.push(chunk);
		}

		await runEventLoop();
		serve = socket => {
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${socket === peer ? 'other' : 'right'}`);
		};

		const isComplete = first.isOk && first.value.isComplete() && Buffer.concat(chunks).length === long.length;
		expect({isComplete, next: await send(), connections}).toMatchSnapshot();
	});

	// Guards against a connection for each stream, and against targets preferred for a connection that cannot be used.
	it('sends ten streams over one connection and reports when it is idle', async () => {
		const idle: boolean[] = [];
		const getAddress = (): string => createMessage(true).address;
		serve = socket => {
			socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n');
			idle.push(client.hasIdleConnection(getAddress()));
			socket.write('0\r\n\r\n');
		};

		const before = client.hasIdleConnection(getAddress());
		for (let sent = 0; sent < 10; sent += 1) {
			await send();
			await runEventLoop();
		}

		const after = client.hasIdleConnection(getAddress());
		serve = socket => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		};

		await send();
		await runEventLoop();
		expect({
			connections, before, during: idle.includes(true), after, closed: client.hasIdleConnection(getAddress()), invalid: client.hasIdleConnection('odd'),
		}).to.deep.equal({
			connections: 1, before: false, during: false, after: true, closed: false, invalid: false,
		});
	});

	// Guards against a new connection after each short refusal, and against a connection that stays busy with a long one.
	it('reuses the connection of a short answer that is discarded', async () => {
		const seen = [];
		for (const length of [100, 200_000]) {
			serve = socket => {
				socket.write(`HTTP/1.1 421 Misdirected Request\r\nContent-Length: ${length}\r\n\r\n${'x'.repeat(length)}`);
			};

			const dropped = await client.send(createMessage(true), new AbortController().signal);
			if (dropped.isOk) {
				dropped.value.discard();
			}

			await runEventLoop();
			serve = socket => {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown');
			};

			seen.push({length, next: await send(), connections});
		}

		expect(seen).toMatchSnapshot();
	});

	// Guards against reading the remote address too early: Node caches it, and a reset that arrives with the last bytes then counts as a normal end.
	it('detects a reset on a reused connection', async () => {
		const seen = [];
		for (const isReset of [false, false, true]) {
			serve = socket => {
				socket.write(isReset ? 'HTTP/1.1 200 OK\r\n\r\nhalf' : 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
				if (isReset) {
					socket.resetAndDestroy();
				}
			};

			seen.push(await send());
			await runEventLoop();
		}

		expect({seen, connections}).toMatchSnapshot();
	});

	// Guards against an entry of a target with an unusable address or name that closes its caller's connection, and against a refusal that says "may have run" although nothing was written.
	it('resolves with a failure before the target was reached whatever is wrong with the request', async () => {
		const faults: Readonly<Record<string, Partial<OutgoingMessage>>> = {
			'port out of range': {address: '127.0.0.1:99999'},
			'port 0': {address: '127.0.0.1:0'},
			'no port': {address: '127.0.0.1'},
			'negative port': {address: '127.0.0.1:-1'},
			'fractional port': {address: '127.0.0.1:80.5'},
			'empty address': {address: ''},
			'no host': {address: ':80'},
			'host with a space': {address: 'a b:80'},
			'very long host': {address: `${'a'.repeat(100_000)}:80`},
			'line break in a header': {headers: ['x-target', 'i-1\r\nx-other: 1']},
			'invalid header name': {headers: ['a b', 'c']},
			'header without a value': {headers: ['Host', 'a', 'x-target']},
			'invalid method': {method: 'G T'},
			'space in the path': {url: '/a b'},
		};
		const outcomes: Record<string, unknown> = {};
		for (const [name, fault] of Object.entries(faults)) {
			for (const mayReuse of [true, false]) {
				const sent = await client.send({...createMessage(mayReuse), ...fault}, new AbortController().signal);
				outcomes[`${name}${mayReuse ? ', reusable' : ''}`] = sent.isErr ? {accepted: sent.error.accepted} : 'answered';
			}
		}

		expect(outcomes).to.deep.equal(Object.fromEntries(Object.keys(outcomes).map(name => [name, {accepted: false}])));
	});
});
