import {setTimeout} from 'node:timers/promises';
import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {CallerSocket} from './support/caller-socket.js';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

const MB = 1_048_576;
/** More than the buffers of both connections hold. */
const ANSWER_BYTES = 48 * MB;
const ROUTE_TIMEOUT_MS = 500;
/** Time after the route's timeout in which the request must have ended. */
const MAX_DELAY_MS = 500;
const POLL_MS = 20;

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;

/** Sends a request without reading its answer; reports how the request ended, and whether soon after the route's timeout. */
async function callWithoutReading(head: string, text: string, route: Partial<TrafficRoute>): Promise<unknown> {
	const target = await RawTarget.open(async peer => {
		await peer.readHead();
		await peer.write(head);
		await peer.flood(text, ANSWER_BYTES);
		peer.end();
	});
	const host = await ForwardHost.open({targets: [target.address], route: {...route, timeoutMs: ROUTE_TIMEOUT_MS}});
	const caller = await CallerSocket.open(host.port);
	caller.socket.pause();
	caller.write('GET / HTTP/1.1\r\nHost: app.test\r\n\r\n');
	for (let waitedMs = 0; waitedMs < 2 * (ROUTE_TIMEOUT_MS + MAX_DELAY_MS) && host.observer.ends.length === 0; waitedMs += POLL_MS) {
		await setTimeout(POLL_MS);
	}

	const end = host.observer.ends[0];
	caller.socket.destroy();
	host.close();
	target.close();
	return {outcome: end?.outcome ?? 'not ended', isInTime: end !== undefined && end.tookMs < ROUTE_TIMEOUT_MS + MAX_DELAY_MS};
}

describe('a caller that does not read its answer', () => {
	// Guards against a request that holds its slot beyond the route's timeout because a write waits for the caller.
	it('loses its connection at the timeout of the route', async () => {
		const line = 'x'.repeat(8000);
		expect({
			'body without a length': await callWithoutReading(`${OK}\r\n`, line, {}),
			'body with a length': await callWithoutReading(`${OK}Content-Length: ${2 * ANSWER_BYTES}\r\n\r\n`, line, {}),
			events: await callWithoutReading(`${OK}events: 1\r\n\r\n`, `data: ${line}\n\n`, {isStream: true}),
			'resumable events': await callWithoutReading(`${OK}events: 1\r\n\r\n`, `data: ${line}\n\n`, {isStream: true, isResumable: true}),
		}).toMatchSnapshot();
	});
});
