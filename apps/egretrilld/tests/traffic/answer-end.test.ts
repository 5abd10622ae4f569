import {once} from 'node:events';
import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, type RawScript, RawTarget} from './support/raw-target.js';

/** More than the buffers of both ends of a loopback connection hold. */
const LONG_BODY_BYTES = 20_000_000;

/** How a connection ends after the last bytes. */
type Ending = (peer: RawPeer, last: string, wasRead: Promise<void>) => Promise<void> | void;

const endings: Readonly<Record<string, Ending>> = {
	async 'in order'(peer, last) {
		await peer.write(last);
		peer.end();
		await peer.closed;
	},
	async 'half-closed'(peer, last) {
		await peer.write(last);
		peer.end();
	},
	async 'reset after it was read'(peer, last, wasRead) {
		await peer.write(last);
		await wasRead;
		peer.reset();
	},
	'reset with the last bytes'(peer, last) {
		void peer.write(last);
		peer.reset();
	},
};

const OK = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const EVENTS = `${OK}events: 1\r\n`;

type Exchange = {
	readonly script: (wasRead: Promise<void>) => RawScript;
	readonly route?: Partial<TrafficRoute>;
	readonly method?: string;
	/** HTTP version of the caller. */
	readonly version?: string;
	readonly body?: string;
};

/** The length that the head of an answer without a body names. */
function describeLength(head: string): string {
	return /^content-length: \d+$/imv.exec(head)?.[0].toLowerCase() ?? 'no length';
}

/** Plays one exchange and describes in a line what the caller received and what was noted. */
async function play({script, route, method, version, body}: Exchange): Promise<string> {
	let tell: () => void = () => undefined;
	const wasRead = new Promise<void>(resolve => {
		tell = resolve;
	});
	const target = await RawTarget.open(script(wasRead));
	const host = await ForwardHost.open({
		targets: [target.address], route, onPiece: tell,
	});
	try {
		const received = await callRaw(host.port, {method, version, body});
		const {outcome, bodyEnd, bodyBytes} = host.notes.ends[0] ?? {};
		const noted = typeof outcome === 'object' ? outcome.code : outcome;
		const {status, head, isWhole} = received;
		const shown = method === 'HEAD' || status === 204 || status === 304
			? describeLength(head)
			: JSON.stringify(status < 500 ? received.body : '');
		return `${status} ${shown}${isWhole ? '' : ' cut'}; ${noted}${bodyEnd ? `, ${bodyBytes} bytes by ${bodyEnd}` : ''}`;
	} finally {
		host.close();
		target.close();
	}
}

/** Plays an answer with each ending. */
async function playEndings(head: string, last: string, route?: Partial<TrafficRoute>): Promise<Record<string, string>> {
	const lines: Record<string, string> = {};
	for (const [name, ending] of Object.entries(endings)) {
		lines[name] = await play({
			route, script: wasRead => async peer => {
				await peer.readHead();
				await ending(peer, `${head}\r\n${last}`, wasRead);
			},
		});
	}

	return lines;
}

/** Plays answers that a target sends at once, before it ends the connection in order. */
async function playTexts(texts: Readonly<Record<string, string>>, method?: string): Promise<Record<string, string>> {
	const lines: Record<string, string> = {};
	for (const [name, text] of Object.entries(texts)) {
		lines[name] = await play({
			method, script: () => async peer => {
				await peer.readHead();
				await peer.write(text);
				peer.end();
			},
		});
	}

	return lines;
}

describe('the end of a target\'s answer', () => {
	// Guards against an answer that ended early and looks whole to the caller, for each way to mark the end and each way to end a connection.
	it('is told from an end that came early', async () => {
		expect({
			'whole by length': await playEndings(`${OK}Content-Length: 5\r\n`, 'whole'),
			'short by length': await playEndings(`${OK}Content-Length: 9\r\n`, 'short'),
			'whole by chunks': await playEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nwhole\r\n0\r\n\r\n'),
			'short by chunks': await playEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nshort\r\n'),
			'chunks without the last line': await playEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nshort\r\n0\r\n'),
			'by connection': await playEndings(OK, 'bytes'),
			'by connection, old version': await playEndings(`HTTP/1.0 200 OK\r\n${SIGNED}`, 'bytes'),
			'empty by connection': await playTexts({'in order': `${OK}\r\n`}),
		}).toMatchSnapshot();
	});

	// Guards against contradictory or doubtful framing that is read as one of its meanings, and against a longer body whose rest is taken for an answer.
	it('is not guessed from framing that has two meanings', async () => {
		const chunks = '5\r\nwhole\r\n0\r\n\r\n';
		expect(await playTexts({
			'length and chunks': `${OK}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
			'chunks and length': `${OK}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n${chunks}`,
			'two equal lengths': `${OK}Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole`,
			'two lengths': `${OK}Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole`,
			'an empty length': `${OK}Content-Length: \r\n\r\nwhole`,
			'a length that is no number': `${OK}Content-Length: 0x5\r\n\r\nwhole`,
			'a body longer than its length': `${OK}Content-Length: 5\r\n\r\nwhole and more`,
			'bytes after the last chunk': `${OK}Transfer-Encoding: chunked\r\n\r\n${chunks}and more`,
			'a chunk longer than its size': `${OK}Transfer-Encoding: chunked\r\n\r\n4\r\nwhole\r\n0\r\n\r\n`,
			'a size that is no number': `${OK}Transfer-Encoding: chunked\r\n\r\nx\r\nwhole\r\n0\r\n\r\n`,
			'a second answer at once': `${OK}Content-Length: 5\r\n\r\nwhole${OK}Content-Length: 6\r\n\r\nsecond`,
		})).toMatchSnapshot();
	});

	// Guards against a stream that ends in the middle of an event and looks whole to the caller, or whose caller waits on because its connection stays open.
	it('is told from a cut in the middle of an event', async () => {
		const isStream = {isStream: true};
		const part = 'id: 1\ndata: a\n\nid: 2\nda';
		expect({
			'by connection': await playEndings(EVENTS, part, isStream),
			'by length': await playEndings(`${EVENTS}Content-Length: ${part.length}\r\n`, part, isStream),
			'by chunks': await playEndings(`${EVENTS}Transfer-Encoding: chunked\r\n`, `${part.length.toString(16)}\r\n${part}\r\n0\r\n\r\n`, isStream),
			'between events, by connection': await playEndings(EVENTS, 'id: 1\ndata: a\n\n', isStream),
			'between events, short by length': await playEndings(`${EVENTS}Content-Length: 99\r\n`, 'id: 1\ndata: a\n\n', isStream),
		}).toMatchSnapshot();
	});

	// Guards against an answer that breaks off and ends like a whole one for a caller whose HTTP version knows no chunks.
	it('is not an orderly end of the connection to an old caller when it came early', async () => {
		const playOld = async (last: string): Promise<string> => play({
			version: '1.0', route: {isStream: true}, script: () => async peer => {
				await peer.readHead();
				await peer.write(`${EVENTS}\r\nid: 1\ndata: a\n\n${last}`);
				peer.end();
			},
		});
		expect([await playOld('id: 2\nda'), await playOld('id: 2\ndata: b\n\n')]).toMatchSnapshot();
	});

	// Guards against a body in a transfer coding that the caller takes for the target's bytes, and whose end by a reset counts as orderly.
	it('is not looked for in a transfer coding other than chunks', async () => {
		expect({
			gzip: await playEndings(`${OK}Transfer-Encoding: gzip\r\n`, 'coded'),
			'gzip in chunks': await playEndings(`${OK}Transfer-Encoding: gzip, chunked\r\n`, '5\r\ncoded\r\n0\r\n\r\n'),
			'chunks, then gzip': await playEndings(`${OK}Transfer-Encoding: chunked, gzip\r\n`, 'coded'),
			'an empty coding': await playEndings(`${OK}Transfer-Encoding: \r\n`, 'bytes'),
		}).toMatchSnapshot();
	});

	// Guards against a request that is never ended because its target changes the protocol, and against an interim answer that is passed on as the final one.
	it('is not waited for when the target changes the protocol', async () => {
		const whole = `${OK}Content-Length: 5\r\n\r\nwhole`;
		expect(await playTexts({
			'101 with a protocol': `HTTP/1.1 101 Switching Protocols\r\n${SIGNED}Upgrade: other\r\nConnection: Upgrade\r\n\r\nwhole`,
			'101 without a protocol': `HTTP/1.1 101 Switching Protocols\r\n${SIGNED}\r\n${whole}`,
			'interim answers before the final one': `${`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n${SIGNED}\r\n`.repeat(20)}${whole}`,
			'interim answers alone': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n',
		})).toMatchSnapshot();
	});

	// Guards against a connection and a body in memory that are kept for as long as a target does not read the rest of a request that it has answered.
	it('ends the connection when the request has not been read', async () => {
		const body = 'x'.repeat(LONG_BODY_BYTES);
		const seen = [];
		for (const repeat of ['once', 'idempotent'] as const) {
			const target = await RawTarget.open(async peer => {
				await peer.readHead();
				peer.socket.pause();
				await peer.write(`${OK}Content-Length: 5\r\n\r\nwhole`);
			});
			const host = await ForwardHost.open({targets: [target.address], route: {repeat}});
			const answer = await callRaw(host.port, {method: 'POST', body});
			const peer = target.peers[0]!;
			const {bytesRead} = peer.socket;
			peer.socket.resume();
			await Promise.race([once(peer.socket, 'end'), peer.readBytes(LONG_BODY_BYTES - bytesRead)]);
			seen.push({body: answer.body, isWhole: answer.isWhole, rest: peer.socket.bytesRead < LONG_BODY_BYTES ? 'not sent' : 'sent after the request had ended'});
			host.close();
			target.close();
		}

		expect(seen).toMatchSnapshot();
	});

	// Guards against a wait for a body that cannot come, and against a length of 0 that the target never named.
	it('is at the head of an answer without a body', async () => {
		expect({
			...await playTexts({
				204: `HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`,
				'204 with a length of 0': `HTTP/1.1 204 No Content\r\n${SIGNED}Content-Length: 0\r\n\r\n`,
				304: `HTTP/1.1 304 Not Modified\r\n${SIGNED}Content-Length: 5\r\n\r\n`,
			}),
			...await playTexts({'HEAD with a length': `${OK}Content-Length: 5\r\n\r\n`, 'HEAD in chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n`, 'HEAD without either': `${OK}\r\n`}, 'HEAD'),
		}).toMatchSnapshot();
	});

	// Guards against a wait for a body, until the time of the request is over, that a status does not allow.
	it('is not awaited after a status that allows no body', async () => {
		const playOpen = async (framing: string): Promise<string> => play({
			script: () => async peer => {
				await peer.readHead();
				await peer.write(`HTTP/1.1 204 No Content\r\n${SIGNED}${framing}\r\n\r\n`);
			},
		});
		expect([await playOpen('Content-Length: 5'), await playOpen('Transfer-Encoding: chunked')]).toMatchSnapshot();
	});
});
