import {setTimeout} from 'node:timers/promises';
import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {ForwardHost} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, RawTarget} from './support/raw-target.js';

const routes: Readonly<Record<string, Partial<TrafficRoute>>> = {
	once: {repeat: 'once'},
	idempotent: {repeat: 'idempotent'},
	stream: {isStream: true},
	'resumable stream': {isStream: true, isResumable: true},
};

/** Lines that name the request of an answer; the first request is `a1`, the second `a2`. */
const attemptLines = {'own id': 'attempt: a2\r\n', 'no id': '', 'id of the first request': 'attempt: a1\r\n'} as const;

/** When the repeated bytes are written, relative to the second request. */
type Moment = 'before the request' | 'during the request' | 'after the request';
const moments: readonly Moment[] = ['before the request', 'during the request', 'after the request'];

/** More than the buffers of both ends of a loopback connection hold. */
const LONG_BODY_BYTES = 10_000_000;
/** Time for the host to handle bytes that lead to no further message. */
const SETTLE_MS = 50;

const EVENT = 'id: 1\ndata: own\n\n';

function formatAnswer(route: Partial<TrafficRoute>, attemptId: string): string {
	const body = route.isStream ? EVENT : 'own';
	return `HTTP/1.1 200 OK\r\nseal: s\r\nattempt: ${attemptId}\r\n${route.isStream ? 'events: 1\r\n' : ''}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function formatRefusal(attemptLine: string): string {
	return `HTTP/1.1 503 Service Unavailable\r\nseal: s\r\n${attemptLine}not-run: 1\r\nContent-Length: 4\r\n\r\nbusy`;
}

type Repetition = {
	readonly route: Partial<TrafficRoute>;
	readonly moment: Moment;
	/** The answer to the first request. */
	readonly first: string;
	/** Written on the first connection, while the second request may be waiting for its answer there. */
	readonly repeated: string;
};

/** Starts a target that refuses the first request, writes more bytes on that connection around the second one and answers the second one truly. */
async function openFaultyTarget({route, moment, first, repeated}: Repetition, firstEnded: Promise<void>): Promise<RawTarget> {
	const answerSecond = async (peer: RawPeer, firstPeer: RawPeer): Promise<void> => {
		await peer.readHead();
		if (moment !== 'before the request') {
			peer.socket.pause();
			await firstPeer.write(repeated);
			await setTimeout(SETTLE_MS);
			peer.socket.resume();
		}

		await peer.write(formatAnswer(route, 'a2'));
	};

	const target: RawTarget = await RawTarget.open(async (peer, number) => {
		if (number > 1) {
			await answerSecond(peer, target.peers[0]!);
			return;
		}

		await peer.readHead();
		await peer.write(first);
		await firstEnded;
		if (moment === 'before the request') {
			await peer.write(repeated);
		}

		await answerSecond(peer, peer);
	});
	return target;
}

/** Sends two requests to a host with a target that repeats its first answer, and optionally a sound one; describes the answer to the second request and the targets that received it. */
async function runRepetition(repetition: Repetition, hasSecondTarget: boolean): Promise<string> {
	let resolveFirst: () => void = () => undefined;
	const firstEnded = new Promise<void>(resolve => {
		resolveFirst = resolve;
	});
	const faulty = await openFaultyTarget(repetition, firstEnded);
	let attemptId = 'a1';
	const sound = await RawTarget.open(async peer => {
		for (;;) {
			await peer.readHead();
			if (peer.socket.destroyed) {
				return;
			}

			await peer.write(formatAnswer(repetition.route, attemptId));
		}
	});
	const host = await ForwardHost.open({targets: hasSecondTarget ? [faulty.address, sound.address] : [faulty.address], route: repetition.route});
	try {
		await callRaw(host.port, {attemptId});
		resolveFirst();
		await setTimeout(SETTLE_MS);
		attemptId = 'a2';
		const body = repetition.moment === 'during the request' ? 'x'.repeat(LONG_BODY_BYTES) : '';
		const answer = await callRaw(host.port, {method: 'POST', attemptId, body});
		const outcomes = host.observer.attempts.filter(({call}) => call.attemptId === 'a2').map(({outcome}) => outcome);
		const verdict = /"verdict":"(?<verdict>[^"]+)"/v.exec(answer.body)?.groups?.verdict;
		return `${answer.status} ${verdict ?? JSON.stringify(answer.body)}${answer.isWhole ? '' : ' cut'}; ${outcomes.join(', ')}`;
	} finally {
		host.close();
		faulty.close();
		sound.close();
	}
}

describe('an answer that a target repeats on a kept connection', () => {
	// Guards against a "not run" that an earlier request was told, taken as the refusal of one that runs.
	it('is never taken as the refusal of the next request', async () => {
		const runMoments = async (route: Partial<TrafficRoute>, attemptLine: string): Promise<Record<string, string[]>> => {
			const lines: Record<string, string[]> = {};
			for (const moment of moments) {
				const repetition = {
					route, moment, first: formatRefusal(attemptLine === '' ? '' : 'attempt: a1\r\n'), repeated: formatRefusal(attemptLine),
				};
				lines[moment] = await Promise.all([runRepetition(repetition, false), runRepetition(repetition, true)]);
			}

			return lines;
		};

		const results: Record<string, unknown> = {};
		for (const [name, route] of Object.entries(routes)) {
			const idNames = Object.keys(attemptLines);
			const lines = await Promise.all(Object.values(attemptLines).map(async line => runMoments(route, line)));
			results[name] = Object.fromEntries(idNames.map((idName, i) => [idName, lines[i]]));
		}

		expect(results).toMatchSnapshot();
	}).timeout(120_000);

	// Guards against an earlier answer of any kind that is relayed to, or decides about, another request.
	it('is never taken as the answer to the next request', async () => {
		const repeats: Readonly<Record<string, (attemptLine: string) => string>> = {
			'a whole 200': line => `HTTP/1.1 200 OK\r\nseal: s\r\n${line}Content-Length: 5\r\n\r\nother`,
			'a whole 404': line => `HTTP/1.1 404 Not Found\r\nseal: s\r\n${line}Content-Length: 5\r\n\r\nother`,
			'a whole 500': line => `HTTP/1.1 500 Internal Server Error\r\nseal: s\r\n${line}Content-Length: 5\r\n\r\nother`,
			'a 421': line => `HTTP/1.1 421 Misdirected Request\r\nseal: s\r\n${line}Content-Length: 5\r\n\r\nother`,
			'an interim answer': line => `HTTP/1.1 103 Early Hints\r\nseal: s\r\n${line}\r\n`,
			'the start of an answer': line => `HTTP/1.1 200 OK\r\nseal: s\r\n${line}Content-Length: 5\r\n\r\n`,
		};
		const run = async (formatRepeated: (attemptLine: string) => string, idName: keyof typeof attemptLines): Promise<string> => runRepetition({
			route: {repeat: 'idempotent'}, moment: 'after the request', first: formatRefusal('attempt: a1\r\n'), repeated: formatRepeated(attemptLines[idName]),
		}, false);
		const lines = await Promise.all(Object.entries(repeats).map(async ([name, formatRepeated]) => [
			name,
			{'no id': await run(formatRepeated, 'no id'), 'id of the first request': await run(formatRepeated, 'id of the first request')},
		] as const));
		expect(Object.fromEntries(lines)).toMatchSnapshot();
	}).timeout(60_000);
});
