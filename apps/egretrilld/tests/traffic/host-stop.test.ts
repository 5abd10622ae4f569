import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {EntryHost} from '../../src/traffic/index.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {
	BALANCER_WAIT_MS, DRAIN_MS, ENTRY_SETTINGS, getPort, startEntryHost,
} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`;
const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const LAST_EVENT = 'id: 2\ndata: b\n\n';
const STREAM = `HTTP/1.1 200 OK\r\n${SIGNED}events: 1\r\nContent-Length: ${FIRST_EVENT.length + LAST_EVENT.length}\r\n\r\n${FIRST_EVENT}`;
const HEAD_START = 'GET / HTTP/1.1\r\n';
const HEAD_END = 'Host: app.test\r\n\r\n';
const incompleteRequests: Readonly<Record<string, string>> = {
	'the head': HEAD_START,
	'the body': `POST / HTTP/1.1\r\nContent-Length: 4\r\n${HEAD_END}ab`,
	'the body in chunks': `POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n${HEAD_END}2\r\nab\r\n`,
};
const STEP_MS = 50;
/** Longer than a host that stops keeps its connections. */
const SLOW_MS = 1500;

describe('the stop of an entry host', () => {
	let target: RawTarget;
	let host: EntryHost;
	let passedOn = 0;
	let answer: (peer: RawPeer) => Promise<void>;
	beforeEach(async () => {
		passedOn = 0;
		answer = async peer => peer.write(OK);
		target = await RawTarget.open(async peer => {
			await peer.readHead();
			while (!peer.socket.destroyed) {
				passedOn += 1;
				await answer(peer);
				await peer.readHead();
			}
		});
		host = await startEntryHost(target.address, {isStream: true});
	});
	afterEach(() => {
		host.server.close();
		host.server.closeAllConnections();
		target.close();
	});

	// Guards against a request that is passed on and then cut off, because it arrives after the requests in flight were ended.
	it('refuses a request that arrives after its end of waiting', async () => {
		answer = async peer => {
			await setTimeout(SLOW_MS);
			await peer.write(OK);
		};

		const unfinished = await CallerSocket.open(getPort(host));
		unfinished.write(HEAD_START + HEAD_END);
		const late = await CallerSocket.open(getPort(host));
		late.write(HEAD_START);
		await setTimeout(STEP_MS);
		const stopped = host.stop('test');
		await setTimeout(DRAIN_MS + STEP_MS);
		late.write(HEAD_END);
		const lateAnswer = describeAnswers(await late.readToEnd());
		await stopped;
		expect({lateAnswer, unfinished: describeAnswers(await unfinished.readToEnd()), passedOn}).toMatchSnapshot();
	});

	// Guards against a request that is passed on although its answer cannot be sent, because this host has closed its side of the connection.
	it('does not pass on a request that crosses the close of a kept connection', async () => {
		const caller = await CallerSocket.open(getPort(host));
		caller.write(HEAD_START + HEAD_END);
		await caller.waitForText('whole');
		const stopped = host.stop('test');
		await once(caller.socket, 'end');
		caller.write(HEAD_START + HEAD_END);
		await setTimeout(STEP_MS);
		expect({received: describeAnswers(await caller.readToEnd()), passedOn}).toMatchSnapshot();
		await stopped;
	});

	// Guards against a request without an answer, because the answer before it announced a kept connection and its end closed it.
	it('answers a request that follows an answer begun before the stop', async () => {
		answer = async () => setTimeout(SLOW_MS);
		const unfinished = await CallerSocket.open(getPort(host));
		unfinished.write(HEAD_START + HEAD_END);
		await setTimeout(STEP_MS);
		let finish: () => void = () => undefined;
		answer = async peer => {
			await peer.write(STREAM);
			await new Promise<void>(resolve => {
				finish = resolve;
			});
			await peer.write(LAST_EVENT);
		};

		const caller = await CallerSocket.open(getPort(host));
		caller.write(HEAD_START + HEAD_END);
		await caller.waitForText('data: a');
		const stopped = host.stop('test');
		await setTimeout(BALANCER_WAIT_MS + STEP_MS);
		finish();
		await caller.waitForText('data: b');
		caller.write(HEAD_START + HEAD_END);
		await setTimeout(STEP_MS);
		expect({received: describeAnswers(await caller.readToEnd()), passedOn}).toMatchSnapshot();
		await stopped;
	});

	// Guards against a request that is cut off at the end of a drain time that changed settings have replaced.
	it('serves requests for the drain time in force when it stops', async () => {
		answer = async peer => {
			await setTimeout(DRAIN_MS + STEP_MS);
			await peer.write(OK);
		};

		const {seeds, bounds} = ENTRY_SETTINGS;
		host.applySettings({seeds, bounds: {...bounds, drainMs: 3 * DRAIN_MS}});
		const caller = await CallerSocket.open(getPort(host));
		caller.write(HEAD_START + HEAD_END);
		await setTimeout(STEP_MS);
		const stopped = host.stop('test');
		host.applySettings({seeds, bounds});
		expect(describeAnswers(await caller.readToEnd())).to.equal('200, close, "whole"');
		await stopped;
	});

	/** Stops the host while only a part of a request has arrived. */
	const stopAtPart = async (part: string, isKept: boolean): Promise<unknown> => {
		host.server.close();
		// The request may arrive late, since its route has a short time limit.
		host = await startEntryHost(target.address, {timeoutMs: DRAIN_MS / 3});
		const caller = await CallerSocket.open(getPort(host));
		if (isKept) {
			caller.write(HEAD_START + HEAD_END);
			await caller.waitForText('whole');
		}

		caller.text = '';
		passedOn = 0;
		caller.write(part);
		await setTimeout(STEP_MS);
		const stopped = host.stop('test');
		const received = describeAnswers(await caller.readToEnd());
		await stopped;
		return {received, passedOn};
	};

	// Guards against a connection that is cut without an answer while its request arrives.
	for (const [name, part] of Object.entries(incompleteRequests)) {
		it(`answers a request of which only a part of ${name} has arrived, on a new connection`, async () => {
			expect(await stopAtPart(part, false)).toMatchSnapshot();
		});
		it(`answers a request of which only a part of ${name} has arrived, on a kept connection`, async () => {
			expect(await stopAtPart(part, true)).toMatchSnapshot();
		});
	}

	// Guards against a request that is passed on and gets no answer, because the answer before it on the connection closes the connection.
	it('does not pass on a request that follows another one before its answer', async () => {
		answer = async peer => {
			await setTimeout(STEP_MS);
			await peer.write(OK);
		};

		host.server.close();
		host = await startEntryHost(target.address, {repeat: 'idempotent', targetLatencyMs: 100});
		const caller = await CallerSocket.open(getPort(host));
		caller.write((HEAD_START + HEAD_END).repeat(2));
		const stopped = host.stop('test');
		const received = describeAnswers(await caller.readToEnd());
		expect({received, passedOn}).toMatchSnapshot();
		await stopped;
	});

	// Guards against a second request that is lost because requests are served in order.
	it('does not concern a host that runs, which answers requests in order', async () => {
		const caller = await CallerSocket.open(getPort(host));
		caller.write(HEAD_START + HEAD_END + HEAD_START + HEAD_END.replace('Host', 'Connection: close\r\nHost'));
		expect({received: describeAnswers(await caller.readToEnd()), passedOn}).toMatchSnapshot();
	});
});
