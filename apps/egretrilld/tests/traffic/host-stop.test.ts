import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {EntryHost} from '../../src/traffic/index.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {
	DRAIN_MS, getPort, startEntryHost,
} from './support/entry-fixture.js';
import {SIGNED} from './support/forward-host.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`;
const HEAD_START = 'GET / HTTP/1.1\r\n';
const HEAD_END = 'Host: app.test\r\n\r\n';
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
});
