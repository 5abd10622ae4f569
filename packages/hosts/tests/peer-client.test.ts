import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {createLogger, MonotonicClock} from '@egretrill/common';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {z} from 'zod';
import {
	bindMethod, ConnectionObserver, defineMethod, PEER_SILENT_MS, PEER_UNRESPONSIVE_MS, PeerClient, type PeerServer, type ReplacedConnection, SESSION_WRITE_AHEAD_BYTES, SilenceRecord, startPeerServer,
} from '../src/index.js';

const CALL_MS = 200;
const LARGE_CALL_BYTES = 1_048_576;
const MANY_CALLS = 50;
const echo = defineMethod('Test', 'echo', z.object({text: z.string()}), z.object({text: z.string()}));
const hanging = defineMethod('Test', 'hanging', z.object({}), z.object({}));
const large = defineMethod('Test', 'large', z.object({id: z.int(), text: z.string()}), z.object({}));
const faulty = defineMethod('Test', 'faulty', z.object({}), z.object({}));
const absent = defineMethod('Test', 'absent', z.object({}), z.object({}));

class RecordingObserver extends ConnectionObserver {
	readonly reasons: string[] = [];

	override recordReplaced({reason}: ReplacedConnection): void {
		this.reasons.push(reason);
	}
}

describe('calls between hosts', () => {
	const clock = new MonotonicClock();
	const sockets: Socket[] = [];
	const largeIds: number[] = [];
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
				bindMethod(hanging, async () => {
					await clock.sleep(60_000);
					return {};
				}),
				bindMethod(large, async ({id}) => {
					largeIds.push(id);
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

	/** Opens the connection first, so that the handshake does not count against the deadlines. */
	async function openConnection(): Promise<void> {
		const answer = await client.call(echo, {text: 'one'}, 60_000);
		expect(answer.isOk).to.equal(true);
	}

	async function callAll(): Promise<unknown> {
		await openConnection();
		return Promise.all([
			client.call(hanging, {}, CALL_MS), client.call(faulty, {}), client.call(absent, {}), client.call(echo, {text: 'one'}), client.call(echo, {text: 'two'}),
		]);
	}

	// Guards against slow or failing calls that delay or end other calls on the same stream, and against answers matched to the wrong call.
	it('answers concurrent calls independently', async () => {
		expect(await callAll()).toMatchSnapshot();
	});

	// Guards against reporting a call as undelivered after it was sent, and against an uncertain outcome if it was never sent.
	it('distinguishes calls that were never sent from calls that may have run', async () => {
		await openConnection();
		const interrupted = client.call(hanging, {});
		await clock.sleep(CALL_MS);
		relay.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		const broken = await interrupted;
		const refused = await client.call(echo, {text: 'two'});
		expect([broken, refused].map(answer => answer.isErr && answer.error.code)).to.deep.equal(['broken', 'unreachable']);
	});

	// Guards against reuse of a connection that has stopped responding while new connections work.
	it('replaces an unresponsive connection', async () => {
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

	/** Makes calls on a connection that has gone silent, beside an idle one; resolves with the reasons for which connections were replaced by their next calls. */
	async function replaceBesideSilence(callMs: number, resume: boolean): Promise<readonly string[]> {
		const observer = new RecordingObserver();
		const silence = new SilenceRecord();
		const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
		const [silent, idle] = [new PeerClient(address, credentials.createInsecure(), clock, {silence, observer}), new PeerClient(address, credentials.createInsecure(), clock, {silence, observer})];
		await idle.call(echo, {text: 'one'}, 60_000);
		const idleSockets = sockets.length;
		await silent.call(echo, {text: 'one'}, 60_000);
		const silentSockets = sockets.slice(idleSockets);
		for (const socket of silentSockets) {
			socket.unpipe();
		}

		const failed = await silent.call(echo, {text: 'lost'}, callMs);
		expect(failed.isErr).to.equal(true);
		if (resume) {
			const [clientSocket, serverSocket] = silentSockets;
			clientSocket?.pipe(serverSocket!).pipe(clientSocket);
			await clock.sleep(CALL_MS);
		}

		await Promise.all([silent, idle].map(async peer => peer.call(echo, {text: 'next'}, 60_000)));
		silent.close();
		idle.close();
		return observer.reasons;
	}

	// Guards against calls that time out once for each connection that went silent with the first, and against new connections to all hosts when one only stood still.
	it('replaces connections that were idle since one went silent', async () => {
		const silentMs = PEER_SILENT_MS + 50;
		expect([await replaceBesideSilence(silentMs, false), await replaceBesideSilence(silentMs, true)])
			.to.deep.equal([['idle', 'idle'], []]);
	});

	// Guards against calls that pile up for a host that does not read, and that it would get long after they were given up.
	it('sends no call that was given up while the other host took nothing', async () => {
		const sent = Array.from({length: MANY_CALLS}, (_, index) => index + 1);
		await openConnection();
		for (const socket of sockets) {
			socket.pause();
		}

		const codes = await Promise.all(sent.map(async id => {
			const answer = await client.call(large, {id, text: 'x'.repeat(LARGE_CALL_BYTES)}, CALL_MS);
			return answer.isErr ? answer.error.code : 'answered';
		}));
		for (const socket of sockets) {
			socket.resume();
		}

		const last = await client.call(large, {id: 0, text: ''}, 60_000);
		expect({last: last.isOk, kinds: new Set(codes)}).to.deep.equal({last: true, kinds: new Set(['timeout', 'unreachable'])});
		expect(largeIds.at(-1)).to.equal(0);
		expect(largeIds.slice(0, -1)).to.deep.equal(sent.filter((_, index) => codes[index] === 'timeout'));
		expect(largeIds.length).to.be.within(1, 2 + Math.ceil(SESSION_WRITE_AHEAD_BYTES / LARGE_CALL_BYTES));
	});

	// Guards against an odd address in a list of hosts that ends the task that calls it.
	it('fails calls to an address that cannot be used', async () => {
		const codes: string[] = [];
		for (const address of ['', '\n', 'a b:80', '127.0.0.1:99999', '999.1.1.1:80']) {
			const unusable = new PeerClient(address, credentials.createInsecure(), clock);
			const answer = await unusable.call(echo, {text: 'one'}, CALL_MS);
			codes.push(answer.isErr ? answer.error.code : 'answered');
			unusable.close();
		}

		expect(codes).to.deep.equal(Array.from(codes, () => 'unreachable'));
	});
});
