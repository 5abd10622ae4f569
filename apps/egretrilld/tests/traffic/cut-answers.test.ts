import {setTimeout as delay} from 'node:timers/promises';
import type {TrafficRoute} from '@egretrill/common';
import {
	callCutServer, type CutAnswer, type CutEnding, runCuts,
} from '@egretrill/testkit';
import {expect} from 'chai';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {RawTarget} from './support/raw-target.js';

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const OLD_OK = `HTTP/1.0 200 OK\r\n${SIGNED}`;
const EVENTS = `${OK}events: 1\r\n`;
const BY_LENGTH = `${OK}Content-Length: 5\r\n\r\nwhole`;
const CHUNKS = '5\r\nwhole\r\n0\r\n\r\n';
const REQUEST_TIMEOUT_MS = 250;
const TRICKLE_INTERVAL_MS = 20;
/** More than the buffers of both ends of a loopback connection hold. */
const LONG_BODY = 'x'.repeat(8_000_000);

const answers = {
	'by length': BY_LENGTH,
	'by chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
	'by connection': `${OK}\r\nwhole`,
	'HTTP/1.0 by length': `${OLD_OK}Content-Length: 5\r\n\r\nwhole`,
	'HTTP/1.0 by connection': `${OLD_OK}\r\nwhole`,
	'after interim answers': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n${SIGNED}\r\n${BY_LENGTH}`,
} as const;

function formatEvents(newline: string, ...ids: readonly number[]): string {
	return ids.map(id => `id: ${id}${newline}data: ${id}${newline}${newline}`).join('');
}

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const streams = {
	'LF by connection': {newline: '\n', text: `${EVENTS}\r\n${formatEvents('\n', 1, 2)}`},
	'CR LF by connection': {newline: '\r\n', text: `${EVENTS}\r\n${formatEvents('\r\n', 1, 2)}`},
	'CR LF by chunks': {newline: '\r\n', text: `${EVENTS}Transfer-Encoding: chunked\r\n\r\n${[1, 2].map(id => formatChunk(formatEvents('\r\n', id))).join('')}0\r\n\r\n`},
	'LF by length': {newline: '\n', text: `${EVENTS}Content-Length: ${formatEvents('\n', 1, 2).length}\r\n\r\n${formatEvents('\n', 1, 2)}`},
} as const;

const resumable: Partial<TrafficRoute> = {isStream: true, isResumable: true};

/** Sends requests to the targets one after another, and describes what the last caller received. */
async function callThrough(targets: readonly string[], route: Partial<TrafficRoute>, {requests = 1, body = ''} = {}): Promise<string> {
	const host = await ForwardHost.open({targets, route});
	try {
		for (let i = 1; i < requests; i++) {
			await callRaw(host.port);
		}

		const {status, content, isWhole, head} = await callRaw(host.port, {method: 'POST', body});
		const shown = status < 500 ? JSON.stringify(content) : /"verdict":"(?<verdict>[^"]*)"/v.exec(content)?.groups?.verdict;
		return `${status} ${shown ?? head}${isWhole ? '' : ' cut'}`;
	} finally {
		host.close();
	}
}

async function runAnswer(answer: Omit<CutAnswer, 'cut'>, route: Partial<TrafficRoute> = {}): Promise<Record<string, string>> {
	const {earlier = []} = answer;
	return runCuts(answer.text.length, async cut => callCutServer({...answer, cut}, async address => callThrough([address], route, {requests: earlier.length + 1})));
}

async function runAnswers(ending: CutEnding, texts: Readonly<Record<string, string>>, route: Partial<TrafficRoute> = {}): Promise<Record<string, unknown>> {
	const results: Record<string, unknown> = {};
	for (const [name, text] of Object.entries(texts)) {
		results[name] = await runAnswer({text, ending}, route);
	}

	return results;
}

/** Opens a target that sends the events after the one that its request names. */
async function openContinuing(newline: string): Promise<RawTarget> {
	return RawTarget.open(async peer => {
		const head = await peer.readHead();
		const lastId = Number(/^last-event-id: (?<id>\d+)\r$/imv.exec(head)?.groups?.id ?? 0);
		await peer.write(`${EVENTS}\r\n${formatEvents(newline, ...[1, 2].filter(id => id > lastId))}: other${newline}${newline}`);
		peer.end();
	});
}

/** Opens a target that sends the beginning of an answer, and then one byte after the other of what never becomes an event or a chunk. */
async function openTrickling(beginning: string): Promise<RawTarget> {
	return RawTarget.open(async peer => {
		await peer.readHead();
		await peer.write(beginning);
		while (peer.socket.writable) {
			await peer.write(beginning.includes('chunked') ? '0' : 'x');
			await delay(TRICKLE_INTERVAL_MS);
		}
	});
}

describe('an answer of a target that is cut at any byte', () => {
	// Guards against a part of an answer that its caller takes as whole, and against "not run" for a request that was sent.
	for (const ending of ['FIN', 'late FIN', 'RST', 'late RST', 'last byte and RST'] as const) {
		it(`is whole only where its framing says so, cut by ${ending}`, async () => {
			expect(await runAnswers(ending, answers)).toMatchSnapshot();
		});
	}

	// Guards against the end or the framing of an earlier answer on the connection that counts for this one.
	it('is not whole because the answer before it on its connection was', async () => {
		const earlier = [BY_LENGTH, answers['by chunks']];
		const reusing: Partial<TrafficRoute> = {repeat: 'idempotent', maxAttempts: 1};
		expect({
			'by length': await runAnswer({text: BY_LENGTH, ending: 'FIN', earlier}, reusing),
			'by chunks, reset': await runAnswer({text: answers['by chunks'], ending: 'RST', earlier}, reusing),
			'by connection': await runAnswer({text: answers['by connection'], ending: 'FIN', earlier}, reusing),
			'by connection, reset': await runAnswer({text: answers['by connection'], ending: 'last byte and RST', earlier}, reusing),
		}).toMatchSnapshot();
	});

	// Guards against a caller that waits beyond its time limit for a target that has stopped in the middle of its answer.
	it('ends with the time limit of the request when its target keeps the connection open', async () => {
		const {'by chunks': byChunks, 'by connection': byConnection} = answers;
		expect(await runAnswers('held open', {'by chunks': byChunks, 'by connection': byConnection}, {timeoutMs: REQUEST_TIMEOUT_MS})).toMatchSnapshot();
	});

	// Guards against a caller that waits beyond its time limit because its target sends a byte now and then, and against a stream that is not continued elsewhere.
	it('ends with the time limit of the request, or goes on at another target, when its target sends a byte now and then', async () => {
		const beginnings = {
			'a body by chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n`,
			'a body by connection': `${OK}\r\n`,
			'a stream': `${EVENTS}\r\n${formatEvents('\n', 1)}`,
		};
		const results: Record<string, unknown> = {};
		for (const [name, beginning] of Object.entries(beginnings)) {
			const target = await openTrickling(beginning);
			results[name] = await callThrough([target.address], {timeoutMs: REQUEST_TIMEOUT_MS, isStream: name === 'a stream'});
			target.close();
		}

		const [trickling, other] = [await openTrickling(beginnings['a stream']), await openContinuing('\n')];
		results['a stream that can be resumed'] = await callThrough([trickling.address, other.address], resumable);
		trickling.close();
		other.close();
		expect(results).toMatchSnapshot();
	});

	// Guards against a part of an answer that is taken as whole, and against "not run", when the target has stopped reading the request.
	it('is not whole when its target has not read the request', async () => {
		const results: Record<string, string> = {};
		for (const ending of ['FIN', 'RST', 'held open'] as const) {
			for (const cut of [0, 30, BY_LENGTH.length - 1]) {
				results[`${ending} at ${cut}`] = await callCutServer({
					text: BY_LENGTH, cut, ending, isDeaf: true,
				}, async address => callThrough([address], {timeoutMs: REQUEST_TIMEOUT_MS}, {body: LONG_BODY}));
			}
		}

		expect(results).toMatchSnapshot();
	});
});

describe('a stream of a target that is cut at any byte', () => {
	// Guards against the part of an event that reaches a caller, and against a cut in an event, also within its empty line, that counts as the end.
	it('ends as whole only after a whole event and where its framing says so', async () => {
		const results: Record<string, unknown> = {};
		for (const [name, {text}] of Object.entries(streams)) {
			results[name] = await runAnswer({text, ending: 'FIN'}, {isStream: true});
		}

		expect(results).toMatchSnapshot();
	});

	// Guards against a stream that is not continued elsewhere, or with a gap or a doubled event.
	it('goes on at another target', async () => {
		const results: Record<string, unknown> = {};
		for (const [name, {newline, text}] of Object.entries(streams)) {
			const other = await openContinuing(newline);
			results[name] = await runCuts(text.length, async cut => callCutServer({text, cut, ending: 'FIN'}, async address => callThrough([address, other.address], resumable)));
			other.close();
		}

		expect(results).toMatchSnapshot();
	});

	// Guards against the rest of a stream that counts as whole although its connection was reset, or cut within an event, at the second target.
	it('ends as whole only by the framing of the target that sent the rest', async () => {
		const first = await RawTarget.open(async peer => {
			await peer.readHead();
			await peer.write(`${EVENTS}Transfer-Encoding: chunked\r\n\r\n${formatChunk(formatEvents('\n', 1))}`);
			peer.end();
		});
		const text = `${EVENTS}\r\n${formatEvents('\n', 2, 3)}`;
		const results: Record<string, unknown> = {};
		for (const ending of ['FIN', 'late FIN', 'RST', 'late RST', 'last byte and RST'] as const) {
			results[ending] = await runCuts(text.length, async cut => callCutServer({text, cut, ending}, async address => callThrough([first.address, address], resumable)));
		}

		first.close();
		expect(results).toMatchSnapshot();
	});

	// Guards against a stream without a length whose end is taken from the connection's earlier answer, or that counts as whole after a reset.
	it('ends as whole only where its framing says so on a connection that was used before', async () => {
		const {'LF by connection': {text}} = streams;
		const results: Record<string, unknown> = {};
		for (const ending of ['FIN', 'RST', 'late RST', 'last byte and RST'] as const) {
			results[ending] = await runAnswer({text, ending, earlier: [BY_LENGTH, answers['by chunks']]}, {...resumable, maxAttempts: 1});
		}

		expect(results).toMatchSnapshot();
	});
});
