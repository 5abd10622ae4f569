import {setImmediate, setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import {FINAL_FLUSH_MS, IDLE_WAIT_RATIO} from '../../src/traffic/constants.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {
	BALANCER_WAIT_MS, DRAIN_MS, getPort, startEntryHost,
} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

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

describe('a request on an idle connection of a host that stops', () => {
	// Guards against a connection that is closed although a request has arrived on it, which the host has not read after a standstill.
	it('is answered when it arrives as the time of the balancer ends', async () => {
		expect(await callRightBefore(BALANCER_WAIT_MS)).toMatchSnapshot();
	});

	it('is answered when it arrives as the connections are closed', async () => {
		expect(await callRightBefore((DRAIN_MS * IDLE_WAIT_RATIO) + FINAL_FLUSH_MS)).toMatchSnapshot();
	});
});
