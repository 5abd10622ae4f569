import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {createCodec, createLogger, MonotonicClock} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {expect} from 'chai';
import fc from 'fast-check';
import {z} from 'zod';
import {
	bindMethod, defineMethod, PeerClient, type PeerServer, SESSION_MAX_METHOD_CALLS, SESSION_WRITE_AHEAD_BYTES, startPeerServer,
} from '../src/index.js';

const SEED = 7;
const LAST_ID = 99;
const CALL_MS = 150;
/** Time after which a session without an answer or an end counts as hanging. */
const SILENT_MS = 10_000;
const LARGE_ANSWER_BYTES = 1_048_576;
/** Answers that the transport takes at once, and those that wait. */
const MAX_LARGE_ANSWERS = 2 + Math.ceil(SESSION_WRITE_AHEAD_BYTES / LARGE_ANSWER_BYTES);
/** Calls of one session that are more than it may have under way. */
const MANY_CALLS = 100;
/** Round trips of another session without a change, after which a session counts as settled. */
const SETTLED_ROUNDS = 20;
const echo = defineMethod('Test', 'echo', z.object({text: z.string()}), z.object({text: z.string()}));
const large = defineMethod('Test', 'large', z.object({}), z.object({text: z.string()}));
const hanging = defineMethod('Test', 'hanging', z.object({}), z.object({}));
const frameCodec = createCodec(z.array(z.unknown()));

function encodeCall(id: number): Uint8Array {
	return frameCodec.encode([id, echo.path, echo.req.encode({text: 'one'})]);
}

const damageCases = fc.record({at: fc.double({min: 0, max: 1, noNaN: true}), cut: fc.integer({min: 0, max: 4}), patch: fc.uint8Array({maxLength: 6})});

function applyDamage(bytes: Uint8Array, {at, cut, patch}: {readonly at: number; readonly cut: number; readonly patch: Uint8Array}): Uint8Array {
	const start = Math.floor(at * bytes.length);
	return Buffer.concat([bytes.subarray(0, start), patch, bytes.subarray(start + cut)]);
}

describe('peer server', () => {
	const clock = new MonotonicClock();
	let server: PeerServer;
	let other: PeerClient;
	let largeAnswers = 0;
	let hangingRuns = 0;

	before(async () => {
		const encodeLarge: typeof large.res.encode = value => {
			largeAnswers += 1;
			return large.res.encode(value);
		};

		server = await startPeerServer({
			address: '127.0.0.1:0',
			credentials: {server: grpc.ServerCredentials.createInsecure(), client: grpc.credentials.createInsecure()},
			logger: createLogger('test', 'fatal'),
			handlers: [bindMethod(echo, async req => {
				await clock.sleep(1);
				return req;
			}), bindMethod({...large, res: {...large.res, encode: encodeLarge}}, async () => ({text: 'x'.repeat(LARGE_ANSWER_BYTES)})), bindMethod(hanging, async () => {
				hangingRuns += 1;
				await clock.sleep(SILENT_MS);
				return {};
			})],
		});
		other = new PeerClient(`127.0.0.1:${server.port}`, grpc.credentials.createInsecure(), clock);
	});

	after(async () => {
		other.close();
		await server.stop();
	});

	async function expectService(): Promise<void> {
		const answer = await other.call(echo, {text: 'other'}, 60_000);
		expect(answer.isOk).to.equal(true);
	}

	/** Opens a session and collects the ids and kinds of its answers. */
	async function openSession(port = server.port): Promise<{readonly client: grpc.Client; readonly session: grpc.ClientDuplexStream<Uint8Array, Uint8Array>; readonly answers: Map<unknown, string>}> {
		const answers = new Map<unknown, string>();
		const client = new grpc.Client(`127.0.0.1:${port}`, grpc.credentials.createInsecure(), {'grpc.use_local_subchannel_pool': 1});
		const session = client.makeBidiStreamRequest<Uint8Array, Uint8Array>('/egretrill.Peer/session', bytes => Buffer.from(bytes), bytes => bytes);
		session.on('error', () => undefined);
		session.on('data', (bytes: Uint8Array) => {
			const [id, answer] = frameCodec.decode(bytes);
			answers.set(id, typeof answer);
		});
		await once(session, 'metadata');
		return {client, session, answers};
	}

	/** Resolves with a count once it stays the same while another session is served. */
	async function getSettled(getCount: () => number): Promise<number> {
		let count = -1;
		for (let round = 0; round < SETTLED_ROUNDS; round += 1) {
			await expectService();
			if (getCount() !== count) {
				count = getCount();
				round = 0;
			}
		}

		return count;
	}

	/** Sends frames on a new session; resolves when the call `LAST_ID` is answered or the session ends. */
	async function sendFrames(sent: readonly Uint8Array[]): Promise<'answered' | 'ended'> {
		const client = new grpc.Client(`127.0.0.1:${server.port}`, grpc.credentials.createInsecure(), {'grpc.use_local_subchannel_pool': 1});
		const session = client.makeBidiStreamRequest<Uint8Array, Uint8Array>('/egretrill.Peer/session', bytes => Buffer.from(bytes), bytes => bytes);
		const seen: string[] = [];
		let timer: NodeJS.Timeout | undefined;
		const outcome = await new Promise<'answered' | 'ended'>((resolve, reject) => {
			timer = setTimeout(() => {
				reject(new Error(`The session hangs after ${seen.join(', ')}.`));
			}, SILENT_MS);
			session.on('error', () => {
				resolve('ended');
			});
			session.on('end', () => {
				resolve('ended');
			});
			session.on('data', (bytes: Uint8Array) => {
				seen.push('an answer');
				if (frameCodec.decode(bytes)[0] === LAST_ID) {
					resolve('answered');
				}
			});
			session.once('metadata', () => {
				seen.push('the acceptance');
				for (const frame of sent) {
					session.write(frame);
				}
			});
		});
		clearTimeout(timer);
		session.cancel();
		client.close();
		return outcome;
	}

	// Guards against damaged frames that leave their session hanging, affect other sessions or terminate the process.
	it('answers or ends a session with damaged frames, and serves other sessions', async () => {
		expect(await sendFrames([encodeCall(1), encodeCall(LAST_ID)])).to.equal('answered');
		await fc.assert(fc.asyncProperty(fc.array(fc.oneof(fc.uint8Array(), damageCases.map(one => applyDamage(encodeCall(2), one))), {minLength: 1, maxLength: 3}), async damaged => {
			await sendFrames([encodeCall(1), ...damaged, encodeCall(LAST_ID)]);
			await expectService();
		}), {seed: SEED, numRuns: 100, endOnFailure: true});
	});

	// Guards against sessions that stay open, and against lost answers, after the caller has closed its side of the stream.
	it('answers the last call of a session after its caller has half-closed it, then ends it', async () => {
		const client = new grpc.Client(`127.0.0.1:${server.port}`, grpc.credentials.createInsecure(), {'grpc.use_local_subchannel_pool': 1});
		const session = client.makeBidiStreamRequest<Uint8Array, Uint8Array>('/egretrill.Peer/session', bytes => Buffer.from(bytes), bytes => bytes);
		const answers: unknown[] = [];
		session.on('data', (bytes: Uint8Array) => {
			answers.push(frameCodec.decode(bytes)[0]);
		});
		session.write(encodeCall(LAST_ID));
		session.end();
		const [status] = await once(session, 'status') as [grpc.StatusObject];
		expect([answers, status.code]).to.deep.equal([[LAST_ID], grpc.status.OK]);
		client.close();
	});

	// Guards against a session that fills the memory with answers that its caller does not read.
	it('stops to read calls while their answers are not taken, and answers all of them once they are', async () => {
		const serverSocket = connect(server.port, '127.0.0.1').on('error', () => undefined);
		const relay = createServer(clientSocket => {
			clientSocket.on('error', () => undefined).pipe(serverSocket).pipe(clientSocket);
		}).listen(0, '127.0.0.1');
		await once(relay, 'listening');
		const {client, session, answers} = await openSession((relay.address() as AddressInfo).port);
		serverSocket.pause();
		for (let id = 1; id <= MANY_CALLS; id += 1) {
			session.write(frameCodec.encode([id, large.path, large.req.encode({})]));
		}

		expect(await getSettled(() => largeAnswers)).to.be.within(1, MAX_LARGE_ANSWERS);
		serverSocket.resume();
		session.end();
		await once(session, 'status');
		expect([answers.size, new Set(answers.values())]).to.deep.equal([MANY_CALLS, new Set(['object'])]);
		serverSocket.destroy();
		client.close();
		relay.close();
	});

	// Guards against calls under way without a limit, and against a limit that holds up a peer's other calls.
	it('refuses calls of a method while too many are under way, and answers other calls of the session', async () => {
		const {client, session, answers} = await openSession();
		for (let id = 1; id <= SESSION_MAX_METHOD_CALLS + MANY_CALLS; id += 1) {
			session.write(frameCodec.encode([id, hanging.path, hanging.req.encode({})]));
		}

		session.write(encodeCall(0));
		while (!answers.has(0)) {
			await once(session, 'data');
		}

		expect(hangingRuns).to.equal(SESSION_MAX_METHOD_CALLS);
		expect([answers.size, answers.get(0), answers.get(SESSION_MAX_METHOD_CALLS + 1)]).to.deep.equal([MANY_CALLS + 1, 'object', 'string']);
		session.cancel();
		client.close();
	});

	// Guards against damage below the frame level, in the bytes of the TCP connection.
	it('serves other connections when the bytes of one are damaged', async () => {
		await fc.assert(fc.asyncProperty(fc.nat(400), fc.uint8Array({minLength: 1, maxLength: 6}), async (at, patch) => {
			const sockets: Socket[] = [];
			const relay = createServer(clientSocket => {
				const serverSocket = connect(server.port, '127.0.0.1');
				sockets.push(clientSocket, serverSocket);
				let forwardedBytes = 0;
				clientSocket.on('error', () => serverSocket.destroy()).on('data', bytes => {
					const start = at - forwardedBytes;
					forwardedBytes += bytes.length;
					serverSocket.write(start >= 0 && start < bytes.length ? Buffer.concat([bytes.subarray(0, start), patch, bytes.subarray(start + patch.length)]) : bytes);
				});
				serverSocket.on('error', () => clientSocket.destroy()).pipe(clientSocket);
			}).listen(0, '127.0.0.1');
			await once(relay, 'listening');
			const client = new PeerClient(`127.0.0.1:${(relay.address() as AddressInfo).port}`, grpc.credentials.createInsecure(), clock);
			await client.call(echo, {text: 'one'}, CALL_MS);
			await expectService();
			client.close();
			relay.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		}), {seed: SEED, numRuns: 20});
	});
});
