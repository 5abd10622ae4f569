import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawScript, RawTarget} from './support/raw-target.js';

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const EVENTS = `${OK}events: 1\r\n`;
/** Ends a head whose body is cut off. */
const CUT = 'Content-Length: 99999999\r\n\r\n';
/** More than the host buffers of an answer before it sends it on. */
const OVERLONG_BODY = 'x'.repeat(2_000_000);
const MAX_SHOWN_LENGTH = 1000;
const LAST_EVENT_ID = 5;

const errorHead = 'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nbusy';
const resumable: Partial<TrafficRoute> = {isStream: true, isResumable: true};

function formatEvents(...ids: readonly number[]): string {
	return ids.map(id => `id: ${id}\ndata: ${id}\n\n`).join('');
}

/** Sends the text after each request and closes the connection in order. */
function answerWith(text: string): RawScript {
	return async peer => {
		await peer.readHead();
		await peer.write(text);
		peer.end();
	};
}

/** Continues a stream after the event that the request names, up to its end. */
const continueSoundly: RawScript = async peer => {
	const head = await peer.readHead();
	const lastId = Number(/^last-event-id: (?<id>\d+)/mv.exec(head)?.groups?.id ?? 0);
	await peer.write(`${EVENTS}\r\n${formatEvents(...Array.from({length: LAST_EVENT_ID - lastId}, (_, i) => lastId + i + 1))}`);
	peer.end();
};

/** Sends one request to a host whose targets run the scripts; describes the events that the caller received, and each attempt. */
async function runScripts(scripts: readonly RawScript[], route: Partial<TrafficRoute>, headers = ''): Promise<string> {
	const targets = await Promise.all(scripts.map(async script => RawTarget.open(script)));
	const host = await ForwardHost.open({targets: targets.map(({address}) => address), route: {...route, maxAttempts: scripts.length}});
	try {
		const {status, content, isWhole} = await callRaw(host.port, {headers});
		const shown = content.length > MAX_SHOWN_LENGTH ? 'a part of the long body' : content.replaceAll(/id: (?<id>\d+)\ndata: \k<id>\n\n/gv, '[$<id>]');
		const outcomes = host.observer.attempts.map(({outcome, reason}) => `${outcome}${reason === undefined ? '' : `: ${reason}`}`);
		return `${status} ${status < 500 ? JSON.stringify(shown) : 'refused'}${isWhole ? '' : ' cut'}; ${outcomes.join(' ')}`;
	} finally {
		host.close();
		for (const target of targets) {
			target.close();
		}
	}
}

async function runAll<Item>(items: Readonly<Record<string, Item>>, run: (item: Item) => Promise<unknown>): Promise<Record<string, unknown>> {
	const results = await Promise.all(Object.entries(items).map(async ([name, item]) => [name, await run(item)] as const));
	return Object.fromEntries(results);
}

describe('a stream that broke off', () => {
	// Guards against an error, a gap, a repetition or another run's events in the middle of the stream, and against a truncated stream that ends as a complete one.
	it('is continued by the events that follow, or ends with a broken connection', async () => {
		const secondAnswers = {
			'the following events': `${EVENTS}\r\n${formatEvents(3, 4)}`,
			404: `HTTP/1.1 404 Not Found\r\n${SIGNED}Content-Length: 5\r\n\r\nerror`,
			500: `HTTP/1.1 500 Internal Server Error\r\n${SIGNED}Content-Length: 5\r\n\r\nerror`,
			'500 as an event stream': `HTTP/1.1 500 Internal Server Error\r\n${SIGNED}events: 1\r\n\r\n${formatEvents(3)}`,
			'503 that may have run': `HTTP/1.1 503 Service Unavailable\r\n${SIGNED}Content-Length: 5\r\n\r\nerror`,
			'503 that was not run': `HTTP/1.1 503 Service Unavailable\r\n${SIGNED}not-run: 1\r\nContent-Length: 5\r\n\r\nerror`,
			421: `HTTP/1.1 421 Misdirected Request\r\n${SIGNED}Content-Length: 5\r\n\r\nerror`,
			'200 without events': `${OK}Content-Length: 5\r\n\r\nwhole`,
			204: `HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`,
			'204 as an event stream': `HTTP/1.1 204 No Content\r\n${SIGNED}events: 1\r\n\r\n`,
			'206 as an event stream': `HTTP/1.1 206 Partial Content\r\n${SIGNED}events: 1\r\n\r\n${formatEvents(3, 4)}`,
			'the events of another request': `HTTP/1.1 200 OK\r\nseal: s\r\nattempt: a9\r\nevents: 1\r\n\r\n${formatEvents(3, 4)}`,
			'all events from the first': `${EVENTS}\r\n${formatEvents(1, 2, 3, 4)}`,
			'the last event again': `${EVENTS}\r\n${formatEvents(2, 3, 4)}`,
			'events that were cut differently': `${EVENTS}\r\n${formatEvents(1, 3, 4)}`,
			'a new event twice': `${EVENTS}\r\n${formatEvents(3, 3, 4)}`,
			'a delivered event after a new one': `${EVENTS}\r\n${formatEvents(3, 2, 4)}`,
			'events after a gap': `${EVENTS}\r\n${formatEvents(4, 5)}`,
			'events without ids': `${EVENTS}\r\ndata: x\n\ndata: y\n\n`,
			'an event without id after the following one': `${EVENTS}\r\n${formatEvents(3)}data: y\n\n`,
			'comments and the following events': `${EVENTS}\r\n: note\n\nretry: 100\n\n${formatEvents(3, 4)}`,
			'an error head': `${EVENTS}\r\n${errorHead}`,
			'an error head after an event': `${EVENTS}\r\n${formatEvents(3)}${errorHead}`,
			'an error text as an event': `${EVENTS}\r\n${formatEvents(3)}{"error":"busy"}\n\n`,
			'an error head in the middle of an event': `${EVENTS}\r\n${formatEvents(3)}id: 4\ndata: ${errorHead}\n\n`,
			nothing: `${EVENTS}\r\n`,
			'comments alone': `${EVENTS}\r\n: note\n\n`,
			'all delivered events, and no more': `${EVENTS}\r\n${formatEvents(1, 2)}`,
			'some delivered events, and no more': `${EVENTS}\r\n${formatEvents(1)}`,
		};
		const betweenEvents = answerWith(`${EVENTS}${CUT}${formatEvents(1, 2)}`);
		const inEvent = answerWith(`${EVENTS}${CUT}${formatEvents(1, 2)}id: 3\nda`);
		expect({
			'between events': await runAll(secondAnswers, async text => runScripts([betweenEvents, answerWith(text)], resumable)),
			'in an event': await runAll(secondAnswers, async text => runScripts([inEvent, answerWith(text)], resumable)),
		}).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against events joined to an answer whose end they cannot follow.
	it('is not continued when the place of its end is unknown', async () => {
		expect(await runAll({
			'events without ids': `${EVENTS}${CUT}data: x\n\n`,
			'an event without id at the end': `${EVENTS}${CUT}${formatEvents(1)}data: x\n\n`,
			'an event without id before the end': `${EVENTS}${CUT}data: x\n\n${formatEvents(1)}`,
			'comments alone': `${EVENTS}${CUT}: note\n\n`,
			'an answer without events': `${OK}${CUT}${OVERLONG_BODY}`,
		}, async text => runScripts([answerWith(text), continueSoundly], resumable))).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against events that count as delivered although their answer never began, and are then left out of the next one.
	it('begins anew when the head of its first answer cannot be sent', async () => {
		const unsendable = answerWith(`HTTP/1.1 099 Odd\r\n${SIGNED}events: 1\r\n\r\n${formatEvents(1, 2)}`);
		expect({
			'from the first event': await runScripts([unsendable, continueSoundly], resumable),
			'after the last event of the caller': await runScripts([unsendable, continueSoundly], resumable, 'last-event-id: 1\r\n'),
		}).toMatchSnapshot();
	}).timeout(60_000);

	// Guards against a gap at a third target, and against a break of a stream whose ids count more than its events.
	it('is continued in the steps of its ids', async () => {
		const runSteps = async (...answers: readonly string[]): Promise<string> => runScripts(answers.map(text => answerWith(text)), resumable);
		expect({
			'three targets': await runSteps(`${EVENTS}${CUT}${formatEvents(1, 2)}`, `${EVENTS}${CUT}${formatEvents(3)}id: 4\n`, `${EVENTS}\r\n${formatEvents(4, 5)}`),
			'a gap at the third target': await runSteps(`${EVENTS}${CUT}${formatEvents(1, 2)}`, `${EVENTS}${CUT}${formatEvents(3)}`, `${EVENTS}\r\n${formatEvents(5)}`),
			'a failed continuation before a sound one': await runSteps(`${EVENTS}${CUT}${formatEvents(1, 2)}`, `${EVENTS}\r\n${formatEvents(4)}`, `${EVENTS}\r\n${formatEvents(3, 4)}`),
			'steps of five': await runSteps(`${EVENTS}${CUT}${formatEvents(5, 10)}`, `${EVENTS}\r\n${formatEvents(15, 20, 22)}`),
			'a gap in steps of five': await runSteps(`${EVENTS}${CUT}${formatEvents(5, 10)}`, `${EVENTS}\r\n${formatEvents(20)}`),
			'steps from zero': await runSteps(`${EVENTS}${CUT}${formatEvents(0)}`, `${EVENTS}\r\n${formatEvents(1, 2)}`),
		}).toMatchSnapshot();
	}).timeout(60_000);
});

describe('a stream that its caller resumes', () => {
	// Guards against events that the caller already has, and against events that are left out of a stream that cannot be resumed.
	it('begins after the last event of the caller only where streams can be resumed', async () => {
		const answers = {
			'the following events': formatEvents(3, 4), 'all events': formatEvents(1, 2, 3, 4), 'delivered events alone': formatEvents(1, 2),
		};
		const run = async (text: string, route: Partial<TrafficRoute>): Promise<string> => runScripts([answerWith(`${EVENTS}\r\n${text}`)], route, 'last-event-id: 2\r\n');
		expect({
			resumable: await runAll(answers, async text => run(text, resumable)),
			'not resumable': await runAll(answers, async text => run(text, {isStream: true})),
			'not resumed': await runScripts([answerWith(`${EVENTS}\r\n${formatEvents(1, 2)}`)], resumable),
		}).toMatchSnapshot();
	}).timeout(60_000);
});

describe('the events of one answer', () => {
	// Guards against doubled events, another run's events or an error in one answer; ids only have to increase, so a larger step is no gap.
	it('have increasing ids and contain no other text', async () => {
		const answers = {
			'an id that is skipped': formatEvents(1, 2, 4, 5),
			'an id twice': formatEvents(1, 2, 2, 3),
			'ids that go back': formatEvents(1, 2, 1, 2, 3),
			'no ids': 'data: x\n\ndata: y\n\n',
			'an event without id': `${formatEvents(1)}data: x\n\n${formatEvents(2, 3, 4, 5)}`,
			'other lines first': `x-versions: 7\n${formatEvents(1)}: note\n\nretry: 100\n\n${formatEvents(2)}event: e\nid: 3\ndata\ndata:x\n\n`,
			'an error head at once': errorHead,
			'an error head': `${formatEvents(1)}${errorHead}`,
			'an error text': `${formatEvents(1)}{"error":"busy"}\n\n`,
			'an error text without quotes': `${formatEvents(1)}Internal Server Error\n\n`,
			'an error head in the middle of an event': `${formatEvents(1)}id: 2\ndata: ${errorHead}\n\n`,
			'parts of two events': `${formatEvents(1)}id: 2\ndata: x\nid: 3\ndata: y\n\n`,
			'an error page': `${formatEvents(1)}<html>\n<p>error</p>\n</html>\n\n`,
		};
		expect({
			stream: await runAll(answers, async text => runScripts([answerWith(`${EVENTS}\r\n${text}`)], {isStream: true})),
			'resumable stream': await runAll(answers, async text => runScripts([answerWith(`${EVENTS}\r\n${text}`), continueSoundly], resumable)),
		}).toMatchSnapshot();
	}).timeout(60_000);
});
