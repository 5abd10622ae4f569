import {setImmediate, setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import {FINAL_FLUSH_MS, IDLE_WAIT_RATIO} from '../../src/traffic/constants.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {
	BALANCER_WAIT_MS, DRAIN_MS, getPort, startEntryHost,
} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: app.test\r\n\r\n';
const LEAD_MS = 20;
const BLOCKED_MS = 60;

/** Keeps this process from running anything else, so that what is sent meanwhile arrives before the timers that are due. */
function blockEventLoop(durationMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

/** Stops a host, and sends a request on an idle connection right before the given time of the stop. */
async function callRightBefore(stopMs: number): Promise<unknown> {
	let passedOn = 0;
	const target = await RawTarget.open(async peer => {
		await peer.readHead();
		while (!peer.socket.destroyed) {
			passedOn += 1;
			await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`);
			await peer.readHead();
		}
	});
	const host = await startEntryHost(target.address, {repeat: 'idempotent', targetLatencyMs: 50});
	const caller = await CallerSocket.open(getPort(host));
	caller.write(REQUEST);
	await caller.waitForText('whole');
	caller.text = '';
	passedOn = 0;
	const stopped = host.stop('test');
	await setTimeout(stopMs - LEAD_MS);
	// After an immediate, timers run before sockets are read.
	await setImmediate();
	caller.write(REQUEST);
	blockEventLoop(BLOCKED_MS);
	const received = describeAnswers(await caller.readToEnd());
	await stopped;
	target.close();
	return {received, passedOn};
}

/** Stops a host with a request in flight, whose answer arrives right before the end of the stop. */
async function answerRightBeforeEnd(parts: readonly string[]): Promise<string> {
	const [first = '', last = ''] = parts;
	const held: RawPeer[] = [];
	const target = await RawTarget.open(async peer => {
		await peer.readHead();
		await peer.write(first);
		held.push(peer);
	});
	const host = await startEntryHost(target.address, {isStream: true});
	const caller = await CallerSocket.open(getPort(host));
	caller.write(REQUEST);
	await setTimeout(LEAD_MS);
	const stopped = host.stop('test');
	await setTimeout(DRAIN_MS - LEAD_MS);
	await setImmediate();
	void held[0]?.write(last);
	blockEventLoop(BLOCKED_MS);
	const received = describeAnswers(await caller.readToEnd());
	await stopped;
	target.close();
	return received;
}

describe('a request in flight whose answer has arrived when the stop of a host ends', () => {
	const HEAD = `HTTP/1.1 200 OK\r\n${SIGNED}`;
	const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];
	const rows: Readonly<Record<string, readonly string[]>> = {
		'a whole answer': ['', `${HEAD}Content-Length: 5\r\n\r\nwhole`],
		'the last event of a stream': [`${HEAD}events: 1\r\nContent-Length: ${events.join('').length}\r\n\r\n${events[0]}`, events[1]!],
	};
	// Guards against an answer that is cut off although its target has sent all of it, because a timer is due before the host has read it after a standstill.
	for (const [name, parts] of Object.entries(rows)) {
		it(`is answered: ${name}`, async () => {
			expect(await answerRightBeforeEnd(parts)).to.match(/whole|data: b/v);
		});
	}
});

describe('a request on an idle connection of a host that stops', () => {
	// Guards against a connection that is closed although a request has arrived on it, which the host has not read after a standstill.
	it('is answered when it arrives as the time of the balancer ends', async () => {
		expect(await callRightBefore(BALANCER_WAIT_MS)).toMatchSnapshot();
	});

	it('is answered when it arrives as the connections are closed', async () => {
		expect(await callRightBefore((DRAIN_MS * IDLE_WAIT_RATIO) + FINAL_FLUSH_MS)).toMatchSnapshot();
	});
});
