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

/** Time limit of calls whose connection is held open after the cut, as nothing else ends them. */
const HELD_CALL_MS = 150;
/** Time limit of all other calls, which their answer or the end of their connection ends much earlier, also on a busy machine. */
const ENDED_CALL_MS = 10_000;
/** Cuts that are tried at the same time. */
const CONCURRENT_CUTS = 16;
/** The cuts within the only call of a connection and its answer, or within a second call, which takes no handshake. */
const CUT_RANGES = {
	new: {calls: {first: 1, last: 250}, answers: {first: 1, last: 180}},
	kept: {calls: {first: 200, last: 350}, answers: {first: 140, last: 260}},
} as const;
const TEXT = 'whole';

const add = defineMethod('Test', 'add', z.object({id: z.int(), text: z.string()}), z.object({text: z.string()}));

/** Outcomes that allow sending the call to another host, or once more. */
const certainlyUnsent: ReadonlySet<string> = new Set(['unreachable', 'refused']);

type Direction = 'calls' | 'answers';
type Ending = 'FIN' | 'RST' | 'held open';

/** How connections are cut; on a kept one a whole call comes first. */
type CutOptions = {readonly connection: 'new' | 'kept'; readonly direction: Direction; readonly ending: Ending};

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

/** The time limit of a call; the last cut of a range lies behind its end, so that this call is answered. */
function getLimitMs(cut: number, {connection, direction, ending}: CutOptions): number {
	const isCut = cut < CUT_RANGES[connection][direction].last;
	return ending === 'held open' && isCut ? HELD_CALL_MS : ENDED_CALL_MS;
}

/** A call on a connection that was cut. */
type CutCall = {readonly cut: number; readonly id: number; readonly outcome: string};

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
	async function callCut(id: number, cut: number, {connection, direction, ending}: CutOptions): Promise<string> {
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
		const limitMs = getLimitMs(cut, {connection, direction, ending});
		const client = new PeerClient(`127.0.0.1:${(relay.address() as AddressInfo).port}`, credentials.createInsecure(), clock);
		if (connection === 'kept') {
			await client.call(add, {id: 0, text: 'earlier'}, limitMs);
		}

		const answer = await client.call(add, {id, text: TEXT}, limitMs);
		client.close();
		relay.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		return answer.isOk ? `answered ${answer.value.text}` : answer.error.code;
	}

	/** Cuts a connection at each byte, with one call on each. */
	async function runCuts(opts: CutOptions): Promise<CutCall[]> {
		const {first, last} = CUT_RANGES[opts.connection][opts.direction];
		const started = Array.from({length: last - first + 1}, (_, index) => ({cut: first + index, id: lastId + 1 + index}));
		lastId += started.length;
		const calls: CutCall[] = [];
		const rest = started.values();
		await Promise.all(Array.from({length: CONCURRENT_CUTS}, async () => {
			for (const {cut, id} of rest) {
				calls.push({cut, id, outcome: await callCut(id, cut, opts)});
			}
		}));
		// A call that was given up must not run later either.
		await clock.sleep(HELD_CALL_MS);
		return calls;
	}

	/** Whether a call has an outcome that it cannot have: a part of an answer, a second run, or the certainty that it did not run. */
	function isWrong({id, outcome}: CutCall): boolean {
		const count = runs.get(id) ?? 0;
		const isAnswered = outcome.startsWith('answered');
		return count > 1 || (count === 1 && certainlyUnsent.has(outcome)) || (isAnswered && (count === 0 || outcome !== `answered ${TEXT}`));
	}

	// Guards against a half message that counts as whole, a call that runs twice, and a call that counts as not sent although it ran.
	for (const connection of ['new', 'kept'] as const) {
		for (const direction of ['calls', 'answers'] as const) {
			for (const ending of ['FIN', 'RST', 'held open'] as const) {
				it(`is answered in whole or fails, and runs at most once, ${direction} on a ${connection} connection cut by ${ending}`, async () => {
					const calls = await runCuts({connection, direction, ending});
					const kinds = new Set(calls.map(({outcome}) => outcome.startsWith('answered')));
					expect({wrong: calls.filter(call => isWrong(call)), kinds: kinds.size}).to.deep.equal({wrong: [], kinds: 2});
				});
			}
		}
	}
});
