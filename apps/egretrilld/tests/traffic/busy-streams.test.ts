import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {EntryProcessReport} from './support/entry-process.js';
import {floods} from './support/floods.js';
import {callRaw} from './support/raw-caller.js';

/** Callers that take answers without end, or send requests without end, at the same time. */
const BUSY_CALLERS = 8;
const SOUND_CALLS = 10;
/** Time before each sound call, in which the bytes of the busy ones add up. */
const CALL_INTERVAL_MS = 50;
/** How long a sound request may take beside them: the half second by which an answer may come after the timeout of its route. */
const MAX_SOUND_MS = 500;
const CHUNKS_OF_ONE_BYTE = '1\r\nx\r\n'.repeat(10_000);

function forkSupport(name: string, args: readonly string[] = []): ChildProcess {
	return fork(new URL(`../../dist/tests/traffic/support/${name}.js`, import.meta.url), [...args]);
}

/** Sends a text on new connections, and then what `fill` returns for as long as they take it. */
function openBusyCallers(port: number, text: string, fill?: string): readonly Socket[] {
	return Array.from({length: BUSY_CALLERS}, () => {
		const socket = connect({port, host: '127.0.0.1'});
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(text);
		if (fill !== undefined) {
			socket.on('drain', () => {
				socket.write(fill);
			});
			socket.write(fill);
		}

		return socket;
	});
}

/** The longest time that a sound request takes. */
async function measureSoundCalls(port: number): Promise<number> {
	let longestMs = 0;
	for (let count = 0; count < SOUND_CALLS; count++) {
		await setTimeout(CALL_INTERVAL_MS);
		const startedMs = performance.now();
		const {status} = await callRaw(port, {path: '/sound'});
		longestMs = Math.max(longestMs, status === 200 ? performance.now() - startedMs : Number.POSITIVE_INFINITY);
	}

	return longestMs;
}

// Guards against bytes without end that cost so much work that an entry host answers no other request meanwhile.
describe('the requests beside bytes without end', () => {
	let target: ChildProcess;
	let entry: ChildProcess;
	let port: number;
	let busyCallers: readonly Socket[] = [];
	before(async () => {
		target = forkSupport('flood-process');
		const [address] = await once(target, 'message') as [string];
		entry = forkSupport('entry-process', [address, 'stream']);
		const [started] = await once(entry, 'message') as [EntryProcessReport];
		port = 'port' in started ? started.port : 0;
	});
	afterEach(() => {
		for (const socket of busyCallers) {
			socket.destroy();
		}
	});
	after(() => {
		target.disconnect();
		entry.disconnect();
	});

	/** Serves sound requests beside those that send a text and, if there is one, the filling for as long as it is taken. */
	const expectSoundCalls = async (text: string, fill?: string): Promise<void> => {
		busyCallers = openBusyCallers(port, text, fill);
		expect(await measureSoundCalls(port)).to.be.lessThan(MAX_SOUND_MS);
	};

	for (const {name} of floods) {
		it(`are answered in time: answers of ${name}`, async () => expectSoundCalls(`GET /${encodeURIComponent(name)} HTTP/1.1\r\nHost: app.test\r\n\r\n`)).timeout(60_000);
	}

	it('are answered in time: requests in chunks of one byte', async () => {
		await expectSoundCalls('POST /sound HTTP/1.1\r\nHost: app.test\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNKS_OF_ONE_BYTE);
	}).timeout(60_000);
});
