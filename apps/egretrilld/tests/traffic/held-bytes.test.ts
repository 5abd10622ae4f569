import type {TrafficRoute} from '@egretrill/common';
import {waitFor} from '@egretrill/testkit';
import {expect} from 'chai';
import {CallerSocket} from './support/caller-socket.js';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {RawTarget} from './support/raw-target.js';

const KIB = 1024;
/** Budget of the host, of which a quarter is for small requests and half for answers that are buffered until they are complete. */
const BUDGET_KIB = 1024;
const LONG_KIB = 32 * KIB;

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;

/** Sends as many KiB of an event or a body as the path says and no end; hangs, or answers any other request. */
async function openTarget(): Promise<RawTarget> {
	return RawTarget.open(async peer => {
		const head = await peer.readHead();
		const {kind, kib} = /^\w+ \/(?<kind>\w+)-(?<kib>\d+) /v.exec(head)?.groups ?? {};
		const content = 'x'.repeat(Number(kib ?? 0) * KIB);
		const heads: Readonly<Record<string, string>> = {
			event: `${OK}events: 1\r\n\r\ndata: ${content}`,
			part: `${OK}Content-Length: ${content.length + 1}\r\n\r\n${content}`,
			hang: '',
		};
		await peer.write(heads[kind ?? ''] ?? `${OK}Content-Length: 5\r\n\r\nsound`);
	});
}

/** A request to the path, with a body of `bodyKib` of which `sentKib` are sent. */
function createRequest(path: string, bodyKib?: number, sentKib = bodyKib): string {
	return bodyKib === undefined
		? `GET /${path} HTTP/1.1\r\nHost: app.test\r\n\r\n`
		: `POST /${path} HTTP/1.1\r\nHost: app.test\r\nContent-Length: ${bodyKib * KIB}\r\n\r\n${'x'.repeat((sentKib ?? 0) * KIB)}`;
}

/** Describes what has arrived: the status, the code and verdict of a refusal, and the size of another body. */
function describeReceived({text, socket}: CallerSocket): string {
	const [head = '', body = ''] = text.split('\r\n\r\n', 2);
	const {status = 'nothing'} = /^HTTP\/1.1 (?<status>\d+)/v.exec(head)?.groups ?? {};
	const {verdict, code} = /"verdict":"(?<verdict>[^"]+)","code":"(?<code>[^"]+)"/v.exec(body)?.groups ?? {};
	const content = code === undefined ? `${body.length > KIB ? 'a part' : body}` : `${code}, ${verdict}`;
	return `${status} ${content}${socket.readableEnded || socket.destroyed ? ', closed' : ''}`.trim();
}

type Scene = {
	readonly route?: Partial<TrafficRoute>;
	/** Requests that hold memory and the KiB that are held after each, at least; one may first wait until the host would make room for its body. */
	readonly holders: ReadonlyArray<{readonly request: string; readonly heldKib: number; readonly readsNothing?: true; readonly awaitedRoomKib?: number}>;
	/** The request that needs room. */
	readonly request: string;
	/** What arrives at its caller, and at the caller of the first holder if that gives way. */
	readonly awaited: string;
	readonly awaitedByFirst?: string;
	/** The end of a request that is logged before the sound one is sent. */
	readonly awaitedEnd?: string;
};

/** Plays a scene, with a sound request at its end; returns what the callers have received by then. */
async function play({route, holders, request, awaited, awaitedByFirst, awaitedEnd}: Scene): Promise<unknown> {
	const target = await openTarget();
	const host = await ForwardHost.open({targets: [target.address], route, memoryBytes: BUDGET_KIB * KIB});
	const callers: CallerSocket[] = [];
	try {
		for (const {request: text, heldKib, readsNothing, awaitedRoomKib = 0} of holders) {
			const caller = await CallerSocket.open(host.port);
			callers.push(caller);
			if (readsNothing) {
				caller.socket.pause();
			}

			await waitFor('room', () => host.memory.hasRoom(awaitedRoomKib * KIB) || undefined);
			caller.write(text);
			await waitFor('held bytes', () => host.memory.heldBytes >= heldKib * KIB || undefined);
		}

		const [caller, sound] = [await CallerSocket.open(host.port), await CallerSocket.open(host.port)];
		caller.write(request);
		await caller.waitForText(awaited);
		if (awaitedByFirst !== undefined) {
			await callers[0]!.waitForText(awaitedByFirst);
		}

		await waitFor('the end', () => awaitedEnd === undefined || host.observer.ends.some(({outcome}) => outcome === awaitedEnd));
		sound.write(createRequest('sound', 60));
		await sound.waitForText('sound');
		return {
			holders: callers.map(holder => describeReceived(holder)), request: describeReceived(caller), sound: describeReceived(sound), logged: host.observer.ends.map(({outcome, attempts}) => `${typeof outcome === 'object' ? outcome.code : outcome} after ${attempts}`),
		};
	} finally {
		for (const caller of callers) {
			caller.socket.destroy();
		}

		host.close();
		target.close();
	}
}

const REFUSED = 'host-overloaded';
const stream = {isStream: true};
const scenes: Readonly<Record<string, Scene>> = {
	'a body that has stopped gives way to one that arrives': {
		holders: [{request: createRequest('sound', 600, 500), heldKib: 500}], request: createRequest('sound', 400), awaited: 'sound', awaitedByFirst: REFUSED,
	},
	'a length over what is left is refused before its body': {
		holders: [{request: createRequest('hang-0', 500), heldKib: 500}], request: createRequest('sound', 400, 0), awaited: REFUSED,
	},
	'a body without a length is refused beside a running request': {
		holders: [{request: createRequest('hang-0', 700), heldKib: 700}], request: `POST /sound HTTP/1.1\r\nHost: app.test\r\nTransfer-Encoding: chunked\r\n\r\n${(200 * KIB).toString(16)}\r\n${'x'.repeat(200 * KIB)}\r\n`, awaited: REFUSED,
	},
	'an event that has stopped gives way to a body': {
		route: stream, holders: [{request: createRequest('event-500'), heldKib: 500}], request: createRequest('sound', 600), awaited: 'sound', awaitedByFirst: 'target-broke-off',
	},
	'an event that grows gives way to a running request': {
		route: stream, holders: [{request: createRequest('hang-0', 700), heldKib: 700}], request: createRequest('event-500'), awaited: 'target-broke-off',
	},
	'an answer without room is relayed as it arrives': {
		holders: [{request: createRequest('part-400'), heldKib: 400}], request: createRequest('part-400'), awaited: 'x'.repeat(KIB),
	},
	'an answer that is not read gives way': {
		holders: [
			{request: createRequest(`part-${LONG_KIB}`), heldKib: 64, readsNothing: true},
			// In its first milliseconds the answer is buffered, or not idle for long enough to give way.
			{request: createRequest('hang-0', 700), heldKib: 700, awaitedRoomKib: 700},
			...Array.from({length: 4}, () => ({request: createRequest('hang-0', 60), heldKib: 0})),
		],
		request: createRequest('sound', 10),
		awaited: 'sound',
		awaitedEnd: 'unread',
	},
};

describe('the bytes that a host holds', () => {
	// Guards against requests that wait, or take the memory of others, when the host has none left.
	for (const [name, scene] of Object.entries(scenes)) {
		it(name, async () => {
			expect(await play(scene)).toMatchSnapshot();
		});
	}
});
