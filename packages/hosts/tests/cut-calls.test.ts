import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {createLogger, MonotonicClock} from '@egretrill/common';
import {credentials, ServerCredentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {z} from 'zod';
import {
	bindMethod, defineMethod, PeerClient, type PeerServer, startPeerServer,
} from '../src/index.js';

const CALL_MS = 150;
/** Cuts that are tried at the same time. */
const CONCURRENT_CUTS = 16;
/** More than one call or its answer takes, with the handshake of the connection. */
const MAX_CUTS = {calls: 250, answers: 180} as const;
const TEXT = 'whole';

const add = defineMethod('Test', 'add', z.object({id: z.int(), text: z.string()}), z.object({text: z.string()}));

/** Outcomes that allow sending the call to another host, or once more. */
const certainlyUnsent: ReadonlySet<string> = new Set(['unreachable', 'refused']);

type Direction = 'calls' | 'answers';
type Ending = 'FIN' | 'RST' | 'held open';

/** Forwards bytes up to the cut, then ends both connections or forwards nothing more. */
function pipeUntil(cut: number, from: Socket, to: Socket, onCut: () => void): void {
	let rest = cut;
	from.on('data', (bytes: Uint8Array) => {
		if (rest === 0) {
			return;
		}

		to.write(bytes.subarray(0, rest));
		rest = Math.max(0, rest - bytes.length);
		if (rest === 0) {
			onCut();
		}
	});
}

function endSocket(socket: Socket, ending: Ending): void {
	if (ending === 'FIN') {
		socket.end();
	} else if (ending === 'RST') {
		socket.resetAndDestroy();
	}
}

/** A cut call, with how often its handler ran. */
type CutCall = {readonly cut: number; readonly outcome: string; readonly runs: number};

/** Whether a call has an outcome that it cannot have: a part of an answer, a second run, or the certainty that it did not run. */
function isWrong({outcome, runs}: CutCall): boolean {
	return runs > 1 || (runs === 1 && certainlyUnsent.has(outcome)) || (outcome.startsWith('answered') && (runs === 0 || outcome !== `answered ${TEXT}`));
}

describe('a call between hosts that is cut at any byte', () => {
	const clock = new MonotonicClock();
	const runs = new Map<number, number>();
	let server: PeerServer;
	let lastId = 0;

	before(async () => {
		server = await startPeerServer({
			address: '127.0.0.1:0',
			credentials: {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()},
			logger: createLogger('test', 'fatal'),
			handlers: [bindMethod(add, async ({id, text}) => {
				runs.set(id, (runs.get(id) ?? 0) + 1);
				return {text};
			})],
		});
	});

	after(async () => {
		await server.stop();
	});

	/** Makes one call over a connection that is cut, and returns its outcome. */
	async function callCut(id: number, cut: number, direction: Direction, ending: Ending): Promise<string> {
		const sockets: Socket[] = [];
		const relay = createServer(clientSocket => {
			const serverSocket = connect(server.port, '127.0.0.1');
			sockets.push(clientSocket, serverSocket);
			const [cutSource, cutSink] = direction === 'calls' ? [clientSocket, serverSocket] : [serverSocket, clientSocket];
			clientSocket.on('error', () => undefined);
			serverSocket.on('error', () => undefined);
			pipeUntil(cut, cutSource, cutSink, () => {
				endSocket(clientSocket, ending);
				endSocket(serverSocket, ending);
			});
			cutSink.pipe(cutSource);
		}).listen(0, '127.0.0.1');
		await once(relay, 'listening');
		const client = new PeerClient(`127.0.0.1:${(relay.address() as AddressInfo).port}`, credentials.createInsecure(), clock);
		const answer = await client.call(add, {id, text: TEXT}, CALL_MS);
		client.close();
		relay.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		return answer.isOk ? `answered ${answer.value.text}` : answer.error.code;
	}

	/** Cuts a connection at each byte, with one call on each. */
	async function runCuts(direction: Direction, ending: Ending): Promise<CutCall[]> {
		const ids = Array.from({length: MAX_CUTS[direction]}, (_, cut) => lastId + cut + 1);
		lastId += ids.length;
		const outcomes = Array.from<string>({length: ids.length});
		const cuts = ids.entries();
		await Promise.all(Array.from({length: CONCURRENT_CUTS}, async () => {
			for (const [cut, id] of cuts) {
				outcomes[cut] = await callCut(id, cut + 1, direction, ending);
			}
		}));
		// A call that was given up must not run later either.
		await clock.sleep(CALL_MS);
		return outcomes.map((outcome, cut) => ({cut: cut + 1, outcome, runs: runs.get(ids[cut] ?? 0) ?? 0}));
	}

	// Guards against a half message that counts as whole, a call that runs twice, and a call that counts as not sent although it ran.
	for (const direction of ['calls', 'answers'] as const) {
		for (const ending of ['FIN', 'RST', 'held open'] as const) {
			it(`is answered in whole or fails, and runs at most once, ${direction} cut by ${ending}`, async () => {
				const calls = await runCuts(direction, ending);
				const answered = calls.filter(({outcome}) => outcome.startsWith('answered'));
				const failed = calls.filter(({outcome}) => !outcome.startsWith('answered'));
				expect({wrong: calls.filter(call => isWrong(call)), hasAnswered: answered.length > 0, hasFailed: failed.length > 0}).to.deep.equal({wrong: [], hasAnswered: true, hasFailed: true});
			});
		}
	}
});
