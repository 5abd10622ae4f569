import {once} from 'node:events';
import {Agent} from 'node:http';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {
	exchangeHttp, type TargetRequest, type TargetResponse, toSendFailure,
} from '../src/index.js';

const good: TargetRequest = {
	requestId: 'req-1', method: 'GET', path: '/', headers: {}, body: new Uint8Array(0), deadlineMs: 2000,
};

/** Time between what a target sends and the end of the connection. */
const TIME_TO_END_MS = 20;

/** Reads a body, or returns whether its target may have received the request. */
async function readBody({body}: TargetResponse): Promise<string | boolean> {
	try {
		return await text(body);
	} catch (err: unknown) {
		return toSendFailure(err).accepted;
	}
}

async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('exchangeHttp', () => {
	// Guards against an exception, and against "may have run" for a request that was never written.
	it('resolves with a failure before the target was reached whatever is wrong with the request', async () => {
		const cases: Readonly<Record<string, {readonly address?: string; readonly req?: Partial<TargetRequest>}>> = {
			'port out of range': {address: '127.0.0.1:99999'},
			'port 0': {address: '127.0.0.1:0'},
			'no port number': {address: '127.0.0.1:x'},
			'empty address': {address: ''},
			'host with a space': {address: 'a b:80'},
			'very long host': {address: `${'a'.repeat(100_000)}:80`},
			'line break in a header': {req: {headers: {'x-target': 'i-1\r\nx-other: 1'}}},
			'invalid header name': {req: {headers: {'a b': 'c'}}},
			'line break in the id': {req: {requestId: 'a\nb'}},
			'invalid method': {req: {method: 'G T'}},
			'deadline that is no number': {req: {deadlineMs: Number.NaN}},
			'nobody listens': {},
		};
		const outcomes: Record<string, unknown> = {};
		const agent = new Agent();
		for (const [name, {address = '127.0.0.1:1', req}] of Object.entries(cases)) {
			for (const [kind, body] of Object.entries({empty: new Uint8Array(0), full: new Uint8Array(9)})) {
				const sent = await exchangeHttp({targetId: 't-1', startId: 's-1', address}, {
					...good, method: body.length > 0 ? 'POST' : 'GET', body, ...req,
				}, new AbortController().signal, agent);
				outcomes[`${name}, ${kind}`] = sent.isErr ? sent.error.accepted : 'answered';
			}
		}

		agent.destroy();
		expect(outcomes).to.deep.equal(Object.fromEntries(Object.keys(outcomes).map(name => [name, false])));
	});

	// Guards against "not run" for a request that a target received, also over a kept-alive connection.
	it('reports that a target may have received a request', async () => {
		let requests = 0;
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				requests += 1;
				if (requests % 2 === 0) {
					socket.destroy();
				} else {
					socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
				}
			});
		});
		const address = await listen(server);
		const outcomes: unknown[] = [];
		for (const keepAlive of [true, false]) {
			const agent = new Agent({keepAlive});
			for (let i = 0; i < 4; i++) {
				const sent = await exchangeHttp({targetId: 't-1', startId: 's-1', address}, good, new AbortController().signal, agent);
				outcomes.push(sent.isErr ? sent.error.accepted : await text(sent.value.body));
			}

			agent.destroy();
		}

		server.close();
		expect(outcomes).to.deep.equal(['ok', true, 'ok', true, 'ok', true, 'ok', true]);
	});

	// Guards against a request that never ends, not even at its deadline, because its target switches protocols unasked, and against a reset of that connection that ends the process.
	it('fails when the target switches protocols', async () => {
		const heads = {
			'with a protocol': 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n',
			'without a protocol': 'HTTP/1.1 101 Switching Protocols\r\n\r\n',
		};
		const endings: Readonly<Record<string, (socket: Socket) => void>> = {
			'in order'(socket) {
				socket.end();
			},
			reset(socket) {
				socket.resetAndDestroy();
			},
			'held open': () => undefined,
		};
		const outcomes: Record<string, unknown> = {};
		const agent = new Agent();
		for (const [headName, head] of Object.entries(heads)) {
			for (const [endName, end] of Object.entries(endings)) {
				const server = createServer(socket => {
					socket.on('error', () => undefined);
					socket.once('data', async () => {
						socket.write(head);
						await delay(TIME_TO_END_MS);
						end(socket);
					});
				});
				const address = await listen(server);
				const sent = await exchangeHttp({targetId: 't-1', startId: 's-1', address}, good, new AbortController().signal, agent);
				await delay(2 * TIME_TO_END_MS);
				server.close();
				outcomes[`${headName}, ${endName}`] = sent.isErr ? {accepted: sent.error.accepted, reason: sent.error.reason} : sent.value.status;
			}
		}

		agent.destroy();
		expect(outcomes).to.deep.equal(Object.fromEntries(Object.keys(outcomes).map(name => [name, {accepted: true, reason: 'The server switched protocols.'}])));
	}).timeout(10_000);

	// Guards against "not run" for a request that was sent, since a connection that the network has cut fails with the same codes as an attempt to connect.
	it('reports that a target may have received a request when its connection fails as unreachable', async () => {
		const outcomes: Record<string, unknown> = {};
		for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
			const agent = new Agent();
			const failConnection = (): void => {
				for (const socket of Object.values(agent.sockets).flat()) {
					socket?.destroy(Object.assign(new Error(`read ${code}`), {code, syscall: 'read'}));
				}
			};

			for (const [name, head] of Object.entries({'before the head': '', 'in the body': 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart'})) {
				const server = createServer(socket => {
					socket.on('error', () => undefined);
					socket.once('data', async () => {
						socket.write(head);
						await delay(TIME_TO_END_MS);
						failConnection();
					});
				});
				const address = await listen(server);
				const sent = await exchangeHttp({targetId: 't-1', startId: 's-1', address}, good, new AbortController().signal, agent);
				outcomes[`${code} ${name}`] = sent.isErr ? sent.error.accepted : await readBody(sent.value);
				server.close();
			}

			agent.destroy();
		}

		expect(outcomes).to.deep.equal(Object.fromEntries(Object.keys(outcomes).map(name => [name, true])));
	});
});
