import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {createLogger, MonotonicClock} from '@egretrill/common';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {z} from 'zod';
import {
	bindMethod, defineMethod, PEER_UNRESPONSIVE_MS, PeerClient, type PeerServer, startPeerServer,
} from '../src/index.js';

const CALL_MS = 200;
const echo = defineMethod('Test', 'echo', z.object({text: z.string()}), z.object({text: z.string()}));
const stuck = defineMethod('Test', 'stuck', z.object({}), z.object({}));
const faulty = defineMethod('Test', 'faulty', z.object({}), z.object({}));
const absent = defineMethod('Test', 'absent', z.object({}), z.object({}));

describe('calls between hosts', () => {
	const clock = new MonotonicClock();
	const sockets: Socket[] = [];
	let server: PeerServer;
	let relay: Server;
	let client: PeerClient;

	beforeEach(async () => {
		server = await startPeerServer({
			address: '127.0.0.1:0',
			credentials: {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()},
			logger: createLogger('test', 'fatal'),
			handlers: [
				bindMethod(echo, async req => req),
				bindMethod(stuck, async () => {
					await clock.sleep(60_000);
					return {};
				}),
				bindMethod(faulty, async () => {
					throw new Error('The handler failed.');
				}),
			],
		});
		relay = createServer(clientSocket => {
			const serverSocket = connect(server.port, '127.0.0.1');
			sockets.push(clientSocket, serverSocket);
			clientSocket.on('error', () => serverSocket.destroy());
			serverSocket.on('error', () => clientSocket.destroy());
			clientSocket.pipe(serverSocket).pipe(clientSocket);
		}).listen(0, '127.0.0.1');
		await once(relay, 'listening');
		client = new PeerClient(`127.0.0.1:${(relay.address() as AddressInfo).port}`, credentials.createInsecure(), clock);
	});

	afterEach(async () => {
		client.close();
		await server.stop();
		relay.close();
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}
	});

	/** Opens the connection, so that no deadline covers the handshake. */
	async function openConnection(): Promise<void> {
		const answer = await client.call(echo, {text: 'one'}, 60_000);
		expect(answer.isOk).to.equal(true);
	}

	async function callAll(): Promise<unknown> {
		await openConnection();
		return Promise.all([
			client.call(stuck, {}, CALL_MS), client.call(faulty, {}), client.call(absent, {}), client.call(echo, {text: 'one'}), client.call(echo, {text: 'two'}),
		]);
	}

	// Guards against a slow or failing call that holds up or ends the others on the same stream, and against answers given to the wrong call.
	it('answers each call on its own', async () => {
		expect(await callAll()).toMatchSnapshot();
	});

	// Guards against a certain "not delivered" after a call was sent, and against a doubtful answer when nothing could be sent.
	it('tells calls that were never sent from those that may have run', async () => {
		await openConnection();
		const interrupted = client.call(stuck, {});
		await clock.sleep(CALL_MS);
		relay.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		const broken = await interrupted;
		const refused = await client.call(echo, {text: 'two'});
		expect([broken, refused].map(answer => answer.isErr && answer.error.code)).to.deep.equal(['broken', 'unreachable']);
	});

	// Guards against a connection that goes silent for good and is used again and again while new ones work.
	it('replaces a connection that stays silent', async () => {
		await openConnection();
		for (const socket of sockets) {
			socket.unpipe();
		}

		const startMs = clock.now();
		const codes: string[] = [];
		let answer = await client.call(echo, {text: 'lost'}, CALL_MS);
		while (answer.isErr && clock.now() - startMs < 10 * PEER_UNRESPONSIVE_MS) {
			codes.push(answer.error.code);
			answer = await client.call(echo, {text: 'late'}, CALL_MS);
		}

		expect(answer.isOk).to.equal(true);
		expect(codes[0]).to.equal('timeout');
		expect(sockets.length).to.be.greaterThan(2);
	});
});
