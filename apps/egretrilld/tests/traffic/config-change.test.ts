import {setTimeout} from 'node:timers/promises';
import type {TrafficConfig} from '@egretrill/common';
import {expect} from 'chai';
import type {EntryHost} from '../../src/traffic/index.js';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';
import {getPort, startEntryHost} from './support/entry-fixture.js';
import {config, route, SIGNED} from './support/forward-host.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'] as const;
const HEAD = 'POST / HTTP/1.1\r\nHost: app.test\r\n';
const BODY = 'Content-Length: 4\r\n\r\nbody';
const STEP_MS = 50;
/** Longer than the limits of the second configuration and the interval at which the server checks them. */
const SLOW_MS = 1200;

/** A configuration without anything that the requests in progress use. */
const emptied: TrafficConfig = {
	...config, version: 2, routes: [], services: [], customers: [], limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};
const moved: TrafficConfig = {...emptied, routes: [{...route, timeoutMs: 1, services: [{service: 'other', weight: 1}]}], services: [{name: 'other', coldRequestsPerSecond: 0}]};

describe('a change of the configuration', () => {
	let target: RawTarget;
	let host: EntryHost;
	let finish: () => void;
	let finished: Promise<void>;
	beforeEach(async () => {
		finished = new Promise(resolve => {
			finish = resolve;
		});
		target = await RawTarget.open(async peer => {
			while (!peer.socket.destroyed) {
				await answer(peer);
			}
		});
		host = await startEntryHost(target.address, {isStream: true}, {slots: 1});
	});
	afterEach(() => {
		host.server.close();
		host.server.closeAllConnections();
		target.close();
	});

	async function answer(peer: RawPeer): Promise<void> {
		await peer.readHead();
		await peer.write(`HTTP/1.1 200 OK\r\n${SIGNED}events: 1\r\nContent-Length: ${EVENTS.join('').length}\r\n\r\n${EVENTS[0]}`);
		await finished;
		await peer.write(EVENTS[1]);
	}

	async function open(text: string): Promise<CallerSocket> {
		const caller = await CallerSocket.open(getPort(host));
		caller.write(text);
		return caller;
	}

	type State = {readonly caller: CallerSocket; readonly goOn: () => void};

	/** Puts a configuration into force while a request is in a state, and describes its answer. */
	async function changeDuring(reach: () => Promise<State>, change: TrafficConfig): Promise<string> {
		const {caller, goOn} = await reach();
		host.applyConfig({version: change.version, source: JSON.stringify(change)});
		await setTimeout(SLOW_MS);
		goOn();
		// The last bytes of a streamed answer and of a refusal.
		await Promise.race(['0\r\n\r\n', '}}'].map(async end => caller.waitForText(end)));
		return describeAnswers({text: caller.text, isReset: caller.socket.destroyed});
	}

	/** Brings a request into a state, and returns its connection and how to go on after the change. */
	const states: Readonly<Record<string, () => Promise<State>>> = {
		async 'whose answer has begun'() {
			const caller = await open(HEAD + BODY);
			await caller.waitForText('data: a');
			return {caller, goOn: finish};
		},
		async 'that waits for a slot'() {
			const first = await open(HEAD + BODY);
			await first.waitForText('data: a');
			const caller = await open(HEAD + BODY);
			await setTimeout(STEP_MS);
			return {caller, goOn: finish};
		},
		async 'whose body is arriving'() {
			finish();
			const caller = await open(HEAD + BODY.slice(0, -2));
			await setTimeout(STEP_MS);
			return {
				caller, goOn() {
					caller.write(BODY.slice(-2));
				},
			};
		},
		async 'on a kept connection that was announced for longer'() {
			finish();
			const caller = await open(HEAD + BODY);
			await caller.waitForText('data: b');
			caller.text = '';
			return {
				caller, goOn() {
					caller.write(HEAD + BODY);
				},
			};
		},
	};
	for (const [changeName, change] of Object.entries({emptied, moved})) {
		for (const [state, reach] of Object.entries(states)) {
			// Guards against a request that is cut by what came into force after it had begun.
			it(`answers a request ${state} (${changeName})`, async () => {
				expect(await changeDuring(reach, change)).toMatchSnapshot();
			});
		}
	}
});
