import {setTimeout} from 'node:timers/promises';
import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {DRAIN_MS, getPort, startEntryHost} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];
const GET = 'GET / HTTP/1.1\r\nHost: app.test\r\n\r\n';
const POST = ['POST / HTTP/1.1\r\nHost: app.test\r\nContent-Length: 4\r\n\r\nab', 'cd'];
const HOLD = 'GET /hold HTTP/1.1\r\nHost: app.test\r\n\r\n';
/** Longer than the host waits for requests. */
const SLOW_MS = 1200;
/** More requests than a host needs to know how long they take. */
const HISTORY_REQUESTS = 30;
/** Requests in flight, which fill a target with one slot: a second one is queued there. */
const FULL_COUNT = 2;
const STEP_MS = 20;

/** When a request arrives on a kept connection, counted from the stop. */
const arrivalsMs: Readonly<Record<string, number>> = {
	'just after the signal': 1,
	'150 ms before the end': DRAIN_MS - 150,
	'60 ms before the end': DRAIN_MS - 60,
	'at the end': DRAIN_MS,
};

type StopRow = {
	readonly name: string;
	readonly route: Partial<TrafficRoute>;
	/** Parts of the request; the second is sent a step after the first. */
	readonly parts: readonly string[];
	/** The connection is idle until the request arrives; otherwise the first line of the request was sent before the stop. */
	readonly isIdle?: boolean;
	/** Events of a stream; an answer without events has a length. */
	readonly events?: readonly string[];
	/** Time of the target for a request during the stop; before it, answers are immediate. */
	readonly targetMs: number;
	readonly hasHistory?: boolean;
	/** The requests in flight leave no room at the target. */
	readonly isTargetFull?: boolean;
	/** The target breaks off the first attempt. */
	readonly isFirstCut?: boolean;
};

const rows: readonly StopRow[] = [
	{
		name: 'a stream of one event', route: {isStream: true}, parts: [GET], events: EVENTS.slice(0, 1), targetMs: SLOW_MS,
	},
	{
		name: 'a stream of two events', route: {isStream: true}, parts: [GET], events: EVENTS, targetMs: SLOW_MS,
	},
	{
		name: 'a resumable stream', route: {isStream: true, isResumable: true}, parts: [GET], events: EVENTS, targetMs: SLOW_MS,
	},
	{
		name: 'a POST that must not be repeated', route: {}, parts: [POST.join('')], targetMs: SLOW_MS,
	},
	{
		name: 'an idempotent GET', route: {repeat: 'idempotent'}, parts: [GET], targetMs: SLOW_MS,
	},
	{
		name: 'a POST on an idle connection', route: {}, parts: [POST.join('')], targetMs: SLOW_MS, isIdle: true,
	},
	{
		name: 'a POST in two parts', route: {}, parts: POST, targetMs: SLOW_MS,
	},
	{
		name: 'a POST for a full target', route: {}, parts: [POST.join('')], targetMs: SLOW_MS, isTargetFull: true,
	},
	{
		name: 'a POST on a route with fast answers', route: {}, parts: [POST.join('')], targetMs: 0, hasHistory: true,
	},
	{
		name: 'a stream on a route with fast answers', route: {isStream: true}, parts: [GET], events: EVENTS, targetMs: 0, hasHistory: true,
	},
	{
		name: 'an idempotent GET whose first attempt is cut off', route: {repeat: 'idempotent'}, parts: [GET], targetMs: 0, hasHistory: true, isFirstCut: true,
	},
];

/** A target that answers as a row says, and holds `/hold` until its connection is closed. */
class StopTarget {
	passedOn = 0;
	isSlow = false;

	constructor(private readonly row: StopRow) {}

	async serve(peer: RawPeer): Promise<void> {
		for (;;) {
			const head = await peer.readHead();
			if (peer.socket.destroyed) {
				return;
			}

			if (head.startsWith('GET /hold')) {
				await peer.closed;
				return;
			}

			this.passedOn += 1;
			await this.answer(peer);
		}
	}

	private async answer(peer: RawPeer): Promise<void> {
		const {events, targetMs, isFirstCut} = this.row;
		if (this.isSlow && isFirstCut && this.passedOn === 1) {
			peer.reset();
			return;
		}

		const pauseMs = this.isSlow ? targetMs : 0;
		if (!events) {
			await setTimeout(pauseMs);
			await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`);
			return;
		}

		await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}events: 1\r\nContent-Length: ${events.join('').length}\r\n\r\n`);
		for (const event of events) {
			await setTimeout(pauseMs / events.length);
			await peer.write(event);
		}
	}
}

async function callRepeatedly(port: number, parts: readonly string[]): Promise<void> {
	for (let count = 0; count < HISTORY_REQUESTS; count++) {
		const caller = await CallerSocket.open(port);
		caller.write(parts.join('').replace('Host', 'Connection: close\r\nHost'));
		await caller.readToEnd();
	}
}

/** Stops a host with a request in flight, and describes what a request on a kept connection gets that arrives during the stop. */
async function callDuringStop(row: StopRow, arrivalMs: number): Promise<unknown> {
	const script = new StopTarget(row);
	const target = await RawTarget.open(async peer => script.serve(peer));
	const host = await startEntryHost(target.address, row.route, {
		slots: row.isTargetFull ? 1 : 100, ...(row.isFirstCut && {otherAddresses: [target.address.replace('127.0.0.1', 'localhost')]}),
	});
	const port = getPort(host);
	if (row.hasHistory) {
		await callRepeatedly(port, row.parts);
	}

	const caller = await CallerSocket.open(port);
	caller.write(GET);
	await caller.waitForText('HTTP/1.1 200');
	await setTimeout(STEP_MS);
	const holders = await Promise.all(Array.from({length: FULL_COUNT}, async () => CallerSocket.open(port)));
	for (const holder of holders) {
		holder.write(HOLD);
	}

	await setTimeout(STEP_MS);
	script.passedOn = 0;
	script.isSlow = true;
	caller.text = '';
	const [first = '', second] = row.parts;
	const beginning = row.isIdle ? '' : first.slice(0, first.indexOf('\r\n'));
	caller.write(beginning);
	await setTimeout(STEP_MS);
	const stopped = host.stop('test');
	await setTimeout(arrivalMs);
	caller.write(first.slice(beginning.length));
	if (second !== undefined) {
		await setTimeout(STEP_MS);
		caller.write(second);
	}

	const received = describeAnswers(await caller.readToEnd());
	await stopped;
	host.server.closeAllConnections();
	for (const {socket} of holders) {
		socket.destroy();
	}

	target.close();
	return {received, passedOn: script.passedOn};
}

// Guards against requests that a stopping host passes on and then cuts off without an answer, or with one that says only "may have run".
describe('a request that arrives during the stop of an entry host', () => {
	for (const row of rows) {
		for (const [arrival, arrivalMs] of Object.entries(arrivalsMs)) {
			it(`is answered truly: ${row.name}, ${arrival}`, async () => {
				expect(await callDuringStop(row, arrivalMs)).toMatchSnapshot();
			});
		}
	}
});
