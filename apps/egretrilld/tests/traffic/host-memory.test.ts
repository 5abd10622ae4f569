import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {EntryProcessReport} from './support/entry-process.js';
import {SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const MB = 1_000_000;
/** Memory that a process of the deployment may use. */
const MAX_PROCESS_BYTES = 350 * MB;
const REQUESTS = 100;
const BODY_BYTES = 4 * MB;
/** Size below the limit of a single event or buffered answer. */
const PART_BYTES = 900_000;
const WAITING_REQUESTS = 1000;
const ENDLESS_BYTES = 16 * MB;
/** Longest wait for the bytes of one row to arrive; the rows end as soon as nothing moves any more. */
const QUIET_MS = 200;

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const line = 'x'.repeat(8190);
const chunk = `1ffe\r\n${line}\r\n`;

/** An engine that answers sound requests, and does without an end what the path of others says. */
async function serve(peer: RawPeer): Promise<void> {
	const head = await peer.readHead();
	if (head.startsWith('GET /endless ')) {
		await peer.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
		await peer.flood(chunk, ENDLESS_BYTES);
	} else if (head.startsWith('GET /event ')) {
		await peer.write(`${OK}events: 1\r\n\r\ndata: ${'x'.repeat(PART_BYTES)}`);
	} else if (head.startsWith('GET /part ')) {
		await peer.write(`${OK}Content-Length: ${2 * PART_BYTES}\r\n\r\n${'x'.repeat(PART_BYTES)}`);
	} else if (!head.startsWith('GET /hang ')) {
		await peer.write(`${OK}Content-Length: 5\r\n\r\nsound`);
	}
}

/** Requests of callers that send all but the last byte, or read nothing of the answer. */
const rows: Readonly<Record<string, string>> = {
	'bodies of callers without their last byte': `POST /sound HTTP/1.1\r\nHost: app.test\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES - 1)}`,
	'bodies without end whose callers read nothing': 'GET /endless HTTP/1.1\r\nHost: app.test\r\n\r\n',
	'requests that wait behind a running one': 'GET /hang HTTP/1.1\r\nHost: app.test\r\n\r\n'.repeat(WAITING_REQUESTS),
	'events that do not end': 'GET /event HTTP/1.1\r\nHost: app.test\r\n\r\n',
	'bodies that do not end': 'GET /part HTTP/1.1\r\nHost: app.test\r\n\r\n',
};

/** Starts an entry host with the memory flags of the deployment. */
async function startProcess(address: string): Promise<ChildProcess> {
	const deployment = await readFile(new URL('../../../../deploy/system.toml', import.meta.url), 'utf8');
	const execArgv = /^run = "node (?<flags>.+) \S+"$/mv.exec(deployment)?.groups?.flags?.split(' ') ?? [];
	return fork(new URL('../../dist/tests/traffic/support/entry-process.js', import.meta.url), [address], {execArgv});
}

/** Asks a process for a report; one that has ended needed more memory than there is. */
async function readPeakBytes(child: ChildProcess): Promise<number> {
	if (!child.connected) {
		return Number.POSITIVE_INFINITY;
	}

	const ended = once(child, 'exit');
	child.send('report');
	const [report] = await Promise.race([once(child, 'message'), ended]) as [EntryProcessReport];
	return typeof report === 'object' && report !== null && 'peakBytes' in report ? report.peakBytes : Number.POSITIVE_INFINITY;
}

/** Sends requests that do not end, and waits until nothing of them moves any more. */
async function occupy(port: number, text: string): Promise<readonly Socket[]> {
	const bytes = new TextEncoder().encode(text);
	const sockets = Array.from({length: REQUESTS}, () => {
		const socket = connect({port, host: '127.0.0.1'});
		socket.on('error', () => undefined);
		socket.write(bytes);
		return socket;
	});
	const countPending = (): number => sockets.reduce((sum, {destroyed, writableLength}) => sum + (destroyed ? 0 : writableLength), 0);
	for (let before = -1, pending = countPending(); pending !== before; pending = countPending()) {
		before = pending;
		await setTimeout(QUIET_MS);
	}

	return sockets;
}

describe('the memory of an entry host', () => {
	// Guards against requests and answers that are each bounded and together exceed what the process may use, which ends it with all its requests.
	it('stays within its limit while many requests hold what they may, beside sound ones', async () => {
		const target = await RawTarget.open(serve);
		const child = await startProcess(target.address);
		const [started] = await once(child, 'message') as [EntryProcessReport];
		const port = 'port' in started ? started.port : 0;
		const sockets: Socket[] = [];
		const outcome: Record<string, unknown> = {};
		for (const [name, text] of Object.entries(rows)) {
			sockets.push(...await occupy(port, text));
			const {status, body} = await callRaw(port, {path: '/sound'});
			const peakBytes = await readPeakBytes(child);
			outcome[name] = {sound: `${status} ${body}`, isWithinLimit: peakBytes < MAX_PROCESS_BYTES};
		}

		for (const socket of sockets) {
			socket.destroy();
		}

		if (child.connected) {
			child.disconnect();
		}

		target.close();
		expect(outcome).toMatchSnapshot();
	}).timeout(60_000);
});
