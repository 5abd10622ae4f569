import {Buffer} from 'node:buffer';
import {createLogger, MonotonicClock} from '@egretrill/common';
import * as grpc from '@grpc/grpc-js';
import {expect} from 'chai';
import {z} from 'zod';
import {
	bindMethod, defineMethod, type Method, PeerClient, type PeerServer, startPeerServer,
} from '../src/index.js';

const DEPTH = 100_000;
/** Arrays of one element nested in each other, and a last one without any. */
const deepBytes = Buffer.concat([Buffer.alloc(DEPTH, 0x91), Buffer.from([0x90])]);
const echo = defineMethod('Test', 'echo', z.object({text: z.string()}), z.object({text: z.string()}));
const free = defineMethod('Test', 'free', z.object({value: z.unknown()}), z.object({value: z.unknown()}));
const nested = defineMethod('Test', 'nested', z.object({}), z.object({text: z.string()}));

function createDeepValue(): unknown {
	return JSON.parse(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`);
}

describe('messages between hosts that are nested deeply', () => {
	const clock = new MonotonicClock();
	let server: PeerServer;
	let client: PeerClient;
	let sessions = 0;

	beforeEach(async () => {
		sessions = 0;
		server = await startPeerServer({
			address: '127.0.0.1:0',
			credentials: {server: grpc.ServerCredentials.createInsecure(), client: grpc.credentials.createInsecure()},
			logger: createLogger('test', 'fatal'),
			handlers: [
				bindMethod(echo, async req => req),
				bindMethod(free, async () => ({value: createDeepValue()})),
				{path: nested.path, handle: async () => () => deepBytes},
			],
		});
		client = new PeerClient(`127.0.0.1:${server.port}`, grpc.credentials.createInsecure(), clock);
	});

	afterEach(async () => {
		client.close();
		await server.stop();
	});

	async function getCode<Req, Res>(method: Method<Req, Res>, req: Req): Promise<string> {
		const answer = await client.call(method, req, 10_000);
		return answer.isOk ? 'answered' : answer.error.code;
	}

	// Guards against a message that ends the process, its session or the calls after it.
	it('fail their own call', async () => {
		const deepRequest = {...echo, req: {...echo.req, encode: () => deepBytes}};
		const codes = {
			first: await getCode(echo, {text: 'one'}),
			'request of nested bytes': await getCode(deepRequest, {text: 'one'}),
			'answer of nested bytes': await getCode(nested, {}),
			'value that cannot be encoded in a request': await getCode(free, {value: createDeepValue()}),
			'value that cannot be encoded in an answer': await getCode(free, {value: 1}),
			last: await getCode(echo, {text: 'one'}),
		};
		expect(codes).toMatchSnapshot();
	});

	// Guards against a follower that never calls again after a frame that it cannot read.
	it('end one session at most, and the next call opens another', async () => {
		const faulty = new grpc.Server();
		faulty.addService({
			session: {
				path: '/egretrill.Peer/session', requestStream: true, responseStream: true, requestSerialize: (bytes: Uint8Array) => Buffer.from(bytes), requestDeserialize: (bytes: Uint8Array) => bytes, responseSerialize: (bytes: Uint8Array) => Buffer.from(bytes), responseDeserialize: (bytes: Uint8Array) => bytes,
			},
		}, {
			session(session: grpc.ServerDuplexStream<Uint8Array, Uint8Array>) {
				sessions += 1;
				session.on('error', () => undefined);
				session.sendMetadata(new grpc.Metadata());
				session.once('data', () => {
					session.write(deepBytes);
				});
			},
		});
		const port = await new Promise<number>((resolve, reject) => {
			faulty.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) => {
				if (err) {
					reject(err);
					return;
				}

				resolve(bound);
			});
		});
		client.close();
		client = new PeerClient(`127.0.0.1:${port}`, grpc.credentials.createInsecure(), clock);
		const codes = [await getCode(echo, {text: 'one'}), await getCode(echo, {text: 'two'})];
		faulty.forceShutdown();
		expect({codes, sessions}).to.deep.equal({codes: ['broken', 'broken'], sessions: 2});
	});
});
