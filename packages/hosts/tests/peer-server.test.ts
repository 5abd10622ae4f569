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
	bindMethod, defineMethod, PeerClient, type PeerServer, startPeerServer,
} from '../src/index.js';

const SEED = 7;
const LAST_ID = 99;
const CALL_MS = 150;
/** Time after which a session without an answer or an end counts as hanging. */
const SILENT_MS = 10_000;
const echo = defineMethod('Test', 'echo', z.object({text: z.string()}), z.object({text: z.string()}));
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

	before(async () => {
		server = await startPeerServer({
			address: '127.0.0.1:0',
			credentials: {server: grpc.ServerCredentials.createInsecure(), client: grpc.credentials.createInsecure()},
			logger: createLogger('test', 'fatal'),
			handlers: [bindMethod(echo, async req => {
				await clock.sleep(1);
				return req;
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
