import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom, MonotonicClock, type TrafficRoute} from '@egretrill/common';
import {TargetTable} from '@egretrill/engines';
import {expect} from 'chai';
import {TargetSlotSource} from '../../src/traffic/index.js';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, type RawScript, RawTarget} from './support/raw-target.js';

const EVENTS = `HTTP/1.1 200 OK\r\n${SIGNED}events: 1\r\n\r\n`;
const LAST_EVENT = 4;
/** A pause that a sound engine may make; callers wait longer. */
const PAUSE_MS = 1600;
/** More than the buffers of both ends of two loopback connections hold. */
const LONG_EVENT = 'x'.repeat(500_000);
const LONG_EVENT_COUNT = 40;
/** Time within which the first engine must be released after another one has answered. */
const MAX_OVERLAP_MS = 400;
/** Time that the test leaves for a connection to close. */
const CLOSE_TIME_MS = 300;

const resumable: Partial<TrafficRoute> = {isStream: true, isResumable: true, timeoutMs: 8000};

/** Events of an engine, which names itself in each of them. */
function formatEvents(engine: string, first: number, last: number): string {
	return Array.from({length: last - first + 1}, (_, index) => `id: ${first + index}\ndata: ${engine}\n\n`).join('');
}

/** An engine that sends two events, pauses and sends the rest. */
const pausing: RawScript = async peer => {
	await peer.readHead();
	await peer.write(`${EVENTS}${formatEvents('a', 1, 2)}`);
	await delay(PAUSE_MS);
	await peer.write(formatEvents('a', 3, LAST_EVENT));
	peer.end();
};

/** An engine that sends two events and nothing more. */
const silent: RawScript = async peer => {
	await peer.readHead();
	await peer.write(`${EVENTS}${formatEvents('a', 1, 2)}`);
};

/** An engine that sends two events and breaks off after the time. */
function breakOffAfter(ms: number): RawScript {
	return async peer => {
		await peer.readHead();
		await peer.write(`${EVENTS}${formatEvents('a', 1, 2)}`);
		await delay(ms);
		peer.reset();
	};
}

/** An engine that answers after the time with the events that the request lacks. */
function resumeAfter(ms: number): RawScript {
	return async peer => {
		const head = await peer.readHead();
		const lastEventId = Number(/^last-event-id: (?<id>\d+)\r$/imv.exec(head)?.groups?.id ?? 0);
		await delay(ms);
		await peer.write(`${EVENTS}${formatEvents('b', lastEventId + 1, LAST_EVENT)}`);
		peer.end();
	};
}

/** An engine that answers with the text. */
function answerWith(text: string): RawScript {
	return async peer => {
		await peer.readHead();
		await peer.write(text);
	};
}

const neverAnswering: RawScript = async peer => {
	await peer.readHead();
};

type Scenario = {
	readonly first: RawScript;
	readonly second?: RawScript;
	readonly isSecondFull?: boolean;
	readonly isSecondClosed?: boolean;
	readonly route?: Partial<TrafficRoute>;
};

type Setup = {readonly host: ForwardHost; readonly targets: readonly RawTarget[]};

async function open({first, second, isSecondFull, isSecondClosed, route}: Scenario): Promise<Setup> {
	const targets = await Promise.all([first, ...(second ? [second] : [])].map(async script => RawTarget.open(script)));
	const addresses = targets.map(({address}) => address);
	if (isSecondClosed) {
		targets[1]?.close();
	}

	const host = await ForwardHost.open({
		targets: addresses, fullTargets: isSecondFull ? addresses.slice(1) : [], route: {...resumable, ...route},
	});
	return {host, targets: isSecondClosed ? targets.slice(0, 1) : targets};
}

function close({host, targets}: Setup): void {
	host.close();
	for (const target of targets) {
		target.close();
	}
}

/** The events of a body in the order in which they came: their ids, each with the engine that made it. */
function listEvents(body: string): string {
	return [...body.matchAll(/^id: (?<id>\d+)\ndata: (?<engine>[ab])$/gmv)].map(({groups}) => `${groups?.id}${groups?.engine}`).join(' ');
}

/** Describes the end of a request and of each of its attempts, with targets numbered from 1. */
function describeRecords({host, targets}: Setup): Readonly<Record<string, unknown>> {
	const getName = (targetId: string | undefined): string => {
		const index = targets.findIndex(({address}) => address === targetId);
		return `t${index === -1 ? targets.length + 1 : index + 1}`;
	};

	const {outcome, attempts, targetId} = host.observer.ends[0] ?? {};
	return {
		attempts: host.observer.attempts.map(({slot, attempt, outcome: ended}) => `${getName(slot.targetId)} as ${attempt}: ${ended}`).toSorted(),
		released: host.slots.released.map(({targetId: released, outcome: slotOutcome}) => `${getName(released)} ${slotOutcome}`).toSorted(),
		end: `${typeof outcome === 'object' ? outcome.code : outcome} at ${getName(targetId)} after ${attempts} attempts`,
	};
}

/** Runs one request and returns what its caller received and what was recorded. */
async function run(scenario: Scenario): Promise<Readonly<Record<string, unknown>>> {
	const setup = await open(scenario);
	const {body, isWhole} = await callRaw(setup.host.port);
	await delay(CLOSE_TIME_MS);
	const openConnections = setup.targets.flatMap(({peers}) => peers).filter(({socket}) => !socket.destroyed).length;
	const records = describeRecords(setup);
	close(setup);
	return {caller: `${listEvents(body)}${isWhole ? '' : ' cut'}`, ...records, openConnections};
}

async function runAll(scenarios: Readonly<Record<string, Scenario>>): Promise<Record<string, unknown>> {
	return Object.fromEntries(await Promise.all(Object.entries(scenarios).map(async ([name, scenario]) => [name, await run(scenario)] as const)));
}

/** Sends a request and leaves its answer unread. */
async function callWithoutReading(port: number): Promise<Socket> {
	const socket = connect({port, host: '127.0.0.1'});
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nHost: app.test\r\nConnection: close\r\n\r\n');
	return socket;
}

async function waitForPeer(target: RawTarget | undefined): Promise<RawPeer> {
	while (target?.peers[0] === undefined) {
		await delay(10);
	}

	return target.peers[0];
}

describe('an engine that pauses in a stream', () => {
	// Guards against an answer that is ended because a sound engine pauses while no other engine can go on with it.
	it('goes on when no other engine takes over', async () => {
		expect(await runAll({
			'no other target': {first: pausing},
			'no attempt left': {first: pausing, second: resumeAfter(0), route: {maxAttempts: 1}},
			'not resumable': {first: pausing, second: resumeAfter(0), route: {isResumable: false}},
			'the other is full': {first: pausing, second: resumeAfter(0), isSecondFull: true},
			'the other cannot be reached': {first: pausing, second: resumeAfter(0), isSecondClosed: true},
			'the other refuses': {first: pausing, second: answerWith(`HTTP/1.1 503 Busy\r\n${SIGNED}not-run: 1\r\nContent-Length: 0\r\n\r\n`)},
			'the other fails': {first: pausing, second: answerWith(`HTTP/1.1 500 Failed\r\n${SIGNED}Content-Length: 0\r\n\r\n`)},
			'the other breaks off': {
				first: pausing, async second(peer) {
					await peer.readHead();
					peer.reset();
				},
			},
			'the other answers another request': {first: pausing, second: answerWith('HTTP/1.1 200 OK\r\nseal: s\r\nattempt: a0\r\nevents: 1\r\n\r\nid: 3\ndata: b\n\n')},
			'the other sends no event stream': {first: pausing, second: answerWith(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 1\r\n\r\nx`)},
		})).toMatchSnapshot();
	});

	// Guards against events that come twice, are lost or come out of order when two engines have the request at the same time.
	it('is replaced only by an engine that answers first', async () => {
		expect(await runAll({
			'the other answers': {first: pausing, second: resumeAfter(0)},
			'the other answers after a while': {first: pausing, second: resumeAfter(300)},
			'the first goes on earlier': {first: pausing, second: resumeAfter(1500)},
			'the first breaks off earlier': {first: breakOffAfter(1200), second: resumeAfter(600)},
			'the first breaks off, the other fails': {first: breakOffAfter(1200), second: breakOffAfter(0)},
		})).toMatchSnapshot();
	});

	// Guards against a request that two engines work on at the same time.
	it('is released as soon as another engine has answered, before that one sends an event', async () => {
		let answeredMs = 0;
		const setup = await open({
			first: silent,
			async second(peer) {
				await peer.readHead();
				answeredMs = performance.now();
				await peer.write(EVENTS);
				await delay(2 * MAX_OVERLAP_MS);
				await peer.write(formatEvents('b', 3, LAST_EVENT));
				peer.end();
			},
		});
		const answer = callRaw(setup.host.port);
		const first = await waitForPeer(setup.targets[0]);
		await first.closed;
		const overlapMs = performance.now() - answeredMs;
		const {body, isWhole} = await answer;
		const [moved] = setup.host.observer.attempts;
		close(setup);
		expect({
			isShort: answeredMs > 0 && overlapMs < MAX_OVERLAP_MS, events: listEvents(body), isWhole, reason: moved?.reason,
		}).toMatchSnapshot();
	});

	// Guards against a log line that counts only the bytes of the engine that ended the answer.
	it('is recorded with the bytes of all engines of its answer', async () => {
		const setup = await open({first: pausing, second: resumeAfter(0)});
		const {body} = await callRaw(setup.host.port);
		const [end] = setup.host.observer.ends;
		close(setup);
		expect({recordedBytes: end?.bodyBytes, events: listEvents(body)}).to.deep.equal({recordedBytes: body.length, events: '1a 2a 3b 4b'});
	});

	// Guards against an engine that is taken for silent while its caller reads nothing.
	it('is not looked for while the caller reads nothing', async () => {
		const setup = await open({
			async first(peer) {
				await peer.readHead();
				await peer.write(EVENTS);
				for (let id = 1; id <= LONG_EVENT_COUNT; id += 1) {
					await peer.write(`id: ${id}\ndata: ${LONG_EVENT}\n\n`);
				}

				peer.end();
			},
			second: resumeAfter(0),
		});
		const socket = await callWithoutReading(setup.host.port);
		await delay(2500);
		let text = '';
		socket.on('data', (bytes: Uint8Array) => {
			text += bytes.toString();
		});
		socket.resume();
		await once(socket, 'close');
		const ids = [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id));
		const result = {
			isInOrder: ids.every((id, index) => id === index + 1), count: ids.length, sentToOther: setup.targets[1]?.peers.length, ...describeRecords(setup),
		};
		close(setup);
		expect(result).toMatchSnapshot();
	}).timeout(20_000);

	// Guards against the streams of a host being sent to other engines after it stood still, although their events have arrived meanwhile.
	it('is not offered to others because the host itself stood still', async () => {
		const setup = await open({
			async first(peer) {
				await peer.readHead();
				await peer.write(`${EVENTS}${formatEvents('a', 1, 2)}`);
				await delay(500);
				await peer.write(formatEvents('a', 3, LAST_EVENT));
				// Blocks the event loop that the host shares, without using the processor.
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
				await delay(CLOSE_TIME_MS);
				peer.end();
			},
			second: resumeAfter(0),
		});
		const {body, isWhole} = await callRaw(setup.host.port);
		const result = {
			events: listEvents(body), isWhole, sentToOther: setup.targets[1]?.peers.length, ...describeRecords(setup),
		};
		close(setup);
		expect(result).toMatchSnapshot();
	});

	// Guards against engines that go on with a request whose caller has left, or whose time is over, during a switch.
	it('is released together with the other one when the request ends', async () => {
		const left = await open({first: silent, second: neverAnswering});
		const socket = await callWithoutReading(left.host.port);
		await waitForPeer(left.targets[1]);
		socket.destroy();
		const timedOut = run({first: silent, second: neverAnswering, route: {timeoutMs: 1300}});
		const peers = left.targets.flatMap(target => target.peers);
		await Promise.all(peers.map(async peer => peer.closed));
		await delay(CLOSE_TIME_MS);
		const records = describeRecords(left);
		close(left);
		expect({'the caller leaves': records, 'the time is over': await timedOut}).toMatchSnapshot();
	});
});

const STREAMS = 6;

/** What engines do while they are silent: one that is sound goes on afterwards, dead connections stay silent while new ones work. */
type FleetScenario = {readonly engines: number; readonly silent: 'all' | 'first' | 'connections'};

/** Runs streams over engines that fall silent at the same moment, after two events of each stream; returns how often a request was sent, what the callers received and how the engines are ranked. */
async function runFleet({engines, silent: silentPart}: FleetScenario): Promise<unknown> {
	const begun: unknown[] = [];
	let fallSilent = (): void => undefined;
	const silenceEnd = new Promise<void>(resolve => {
		fallSilent = () => {
			setTimeout(resolve, PAUSE_MS);
		};
	});
	const createScript = (isSilent: boolean): RawScript => async peer => {
		const isResumed = /^last-event-id/imv.test(await peer.readHead());
		if (isResumed) {
			await (isSilent && silentPart !== 'connections' ? silenceEnd : undefined);
			await peer.write(`${EVENTS}${formatEvents('b', 3, LAST_EVENT)}`);
			peer.end();
			return;
		}

		await peer.write(`${EVENTS}${formatEvents('a', 1, 2)}`);
		begun.push(peer);
		if (begun.length === STREAMS) {
			fallSilent();
		}

		await (isSilent ? silenceEnd : undefined);
		if (silentPart === 'connections') {
			return;
		}

		await peer.write(formatEvents('a', 3, LAST_EVENT));
		peer.end();
	};

	const targets = await Promise.all(Array.from({length: engines}, async (_, index) => RawTarget.open(createScript(silentPart !== 'first' || index === 0))));
	const table = createTable(targets);
	const host = await ForwardHost.open({
		targets: [], route: resumable, slotSource: new TargetSlotSource({
			clock: new MonotonicClock(), targets: table, requestColdSend: () => undefined, requestAdapter: async () => undefined,
		}),
	});
	const answers = await Promise.all(Array.from({length: STREAMS}, async () => callRaw(host.port)));
	const sent = targets.reduce((sum, {peers}) => sum + peers.length, 0);
	close({host, targets});
	return {sent, answers: answers.map(({body, isWhole}) => `${listEvents(body)}${isWhole ? '' : ' cut'}`).toSorted()};
}

function createTable(targets: readonly RawTarget[]): TargetTable {
	const table = new TargetTable({
		clock: new MonotonicClock(), random: createRandom(1), zone: 'a', getColdRate: () => 0, getBatchSlots: () => undefined,
	});
	table.update({
		origin: 'r', revision: 1, isWhole: true, targets: targets.map(({address}) => ({
			registration: {
				targetId: address, startedAtMs: 1, sequence: 1, service: 's', address, zone: 'a', slots: STREAMS, isLeaving: false, coldForMs: 0, models: [], inMemory: [], onDisk: [],
			}, ageMs: 0, hasEnded: false,
		})),
	});
	return table;
}

/** Answers that begin at one engine and end at another, and answers of one engine. */
function listAnswers(moved: number): readonly string[] {
	return Array.from({length: STREAMS}, (_, index) => index < STREAMS - moved ? '1a 2a 3a 4a' : '1a 2a 3b 4b');
}

describe('whole engines that are silent at once', () => {
	// Guards against streams that go from one silent engine to the next, which uses up attempts and retries and reads prompts in vain.
	it('keep their streams unless another engine is not silent', async () => {
		const [all, first] = await Promise.all([runFleet({engines: 3, silent: 'all'}), runFleet({engines: 3, silent: 'first'})]);
		expect({all, first}).to.deep.equal({all: {sent: STREAMS, answers: listAnswers(0)}, first: {sent: STREAMS + 2, answers: listAnswers(2)}});
	});

	// Guards against streams that stay on connections that are silent for good while new ones work.
	it('get streams whose connections stay silent', async () => {
		expect(await runFleet({engines: 3, silent: 'connections'})).to.deep.equal({sent: 2 * STREAMS, answers: listAnswers(STREAMS)});
	});
});
