import {once} from 'node:events';
import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {ForwardHost, SIGNED} from './support/forward-host.js';
import {callRaw} from './support/raw-caller.js';
import {type RawPeer, type RawScript, RawTarget} from './support/raw-target.js';

/** More than the buffers of both ends of a loopback connection hold. */
const LONG_BODY_BYTES = 20_000_000;

/** How a connection ends after the last bytes. */
type ConnectionEnding = (peer: RawPeer, last: string, wasRead: Promise<void>) => Promise<void> | void;

const endings: Readonly<Record<string, ConnectionEnding>> = {
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

/** Returns the Content-Length line of an answer without a body. */
function describeLength(head: string): string {
	return /^content-length: \d+$/imv.exec(head)?.[0].toLowerCase() ?? 'no length';
}

/** Runs one exchange and returns a line with what the caller received and what the observer recorded. */
async function runExchange({script, route, method, version, body}: Exchange): Promise<string> {
	let resolveRead: () => void = () => undefined;
	const wasRead = new Promise<void>(resolve => {
		resolveRead = resolve;
	});
	const target = await RawTarget.open(script(wasRead));
	const host = await ForwardHost.open({
		targets: [target.address], route, onChunk: resolveRead,
	});
	try {
		const received = await callRaw(host.port, {method, version, body});
		const {outcome, bodyEnd, bodyBytes} = host.observer.ends[0] ?? {};
		const recordedOutcome = typeof outcome === 'object' ? outcome.code : outcome;
		const {status, head, isWhole} = received;
		const shown = method === 'HEAD' || status === 204 || status === 304
			? describeLength(head)
			: JSON.stringify(status < 500 ? received.body : '');
		return `${status} ${shown}${isWhole ? '' : ' cut'}; ${recordedOutcome}${bodyEnd ? `, ${bodyBytes} bytes by ${bodyEnd}` : ''}`;
	} finally {
		host.close();
		target.close();
	}
}

/** Runs an exchange with each connection ending. */
async function runWithEndings(head: string, last: string, route?: Partial<TrafficRoute>): Promise<Record<string, string>> {
	const lines: Record<string, string> = {};
	for (const [name, ending] of Object.entries(endings)) {
		lines[name] = await runExchange({
			route, script: wasRead => async peer => {
				await peer.readHead();
				await ending(peer, `${head}\r\n${last}`, wasRead);
			},
		});
	}

	return lines;
}

/** Runs exchanges in which the target sends the whole text at once and then closes the connection in order. */
async function runWithTexts(texts: Readonly<Record<string, string>>, method?: string): Promise<Record<string, string>> {
	const lines: Record<string, string> = {};
	for (const [name, text] of Object.entries(texts)) {
		lines[name] = await runExchange({
			method, script: () => async peer => {
				await peer.readHead();
				await peer.write(text);
				peer.end();
			},
		});
	}

	return lines;
}

/** Script of the first connection for two requests; `firstEnded` resolves when the caller has received the first answer, and the second request is sent once the connection is closed or `signalReady` is called. */
type TwoRequestScript = (peer: RawPeer, firstEnded: Promise<void>, signalReady: () => void) => Promise<void>;

/** Sends two sequential requests to a target whose first connection may be reused. */
async function runTwoRequests(script: TwoRequestScript): Promise<string> {
	let resolveFirstEnded: () => void = () => undefined;
	const firstEnded = new Promise<void>(resolve => {
		resolveFirstEnded = resolve;
	});
	let signalReady: () => void = () => undefined;
	const isReady = new Promise<void>(resolve => {
		signalReady = resolve;
	});
	const target = await RawTarget.open(async (peer, number) => {
		if (number === 1) {
			await script(peer, firstEnded, signalReady);
			return;
		}

		await peer.readHead();
		await peer.write(`${OK}Content-Length: 3\r\n\r\nnew`);
	});
	const host = await ForwardHost.open({targets: [target.address], route: {repeat: 'idempotent'}});
	const before = await callRaw(host.port);
	resolveFirstEnded();
	await Promise.race([target.peers[0]!.closed, isReady]);
	const after = await callRaw(host.port);
	host.close();
	target.close();
	return `${before.body}, then ${after.status}${after.status < 500 ? ` ${after.body}` : ''} on ${target.peers.length} connections`;
}

describe('the end of a target\'s answer', () => {
	// Guards against a truncated answer that appears complete to the caller, for each kind of framing and each way to end a connection.
	it('is distinguished from a premature end', async () => {
		expect({
			'whole by length': await runWithEndings(`${OK}Content-Length: 5\r\n`, 'whole'),
			'short by length': await runWithEndings(`${OK}Content-Length: 9\r\n`, 'short'),
			'whole by chunks': await runWithEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nwhole\r\n0\r\n\r\n'),
			'short by chunks': await runWithEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nshort\r\n'),
			'chunks without the last line': await runWithEndings(`${OK}Transfer-Encoding: chunked\r\n`, '5\r\nshort\r\n0\r\n'),
			'by connection': await runWithEndings(OK, 'bytes'),
			'by connection, old version': await runWithEndings(`HTTP/1.0 200 OK\r\n${SIGNED}`, 'bytes'),
			'empty by connection': await runWithTexts({'in order': `${OK}\r\n`}),
		}).toMatchSnapshot();
	});

	// Guards against contradictory or invalid framing that is accepted in one of its interpretations, and against extra bytes that are parsed as another answer.
	it('is not guessed from ambiguous framing', async () => {
		const chunks = '5\r\nwhole\r\n0\r\n\r\n';
		expect(await runWithTexts({
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

	// Guards against a stream that ends in the middle of an event and appears complete to the caller, or whose caller keeps waiting because its connection stays open.
	it('is distinguished from a cut in the middle of an event', async () => {
		const isStream = {isStream: true};
		const part = 'id: 1\ndata: a\n\nid: 2\nda';
		expect({
			'by connection': await runWithEndings(EVENTS, part, isStream),
			'by length': await runWithEndings(`${EVENTS}Content-Length: ${part.length}\r\n`, part, isStream),
			'by chunks': await runWithEndings(`${EVENTS}Transfer-Encoding: chunked\r\n`, `${part.length.toString(16)}\r\n${part}\r\n0\r\n\r\n`, isStream),
			'between events, by connection': await runWithEndings(EVENTS, 'id: 1\ndata: a\n\n', isStream),
			'between events, short by length': await runWithEndings(`${EVENTS}Content-Length: 99\r\n`, 'id: 1\ndata: a\n\n', isStream),
		}).toMatchSnapshot();
	});

	// Guards against a truncated answer that appears complete to an HTTP/1.0 caller, which receives no chunked encoding.
	it('is not signalled by an orderly close to an HTTP/1.0 caller when it is premature', async () => {
		const runOldCaller = async (last: string): Promise<string> => runExchange({
			version: '1.0', route: {isStream: true}, script: () => async peer => {
				await peer.readHead();
				await peer.write(`${EVENTS}\r\nid: 1\ndata: a\n\n${last}`);
				peer.end();
			},
		});
		expect([await runOldCaller('id: 2\nda'), await runOldCaller('id: 2\ndata: b\n\n')]).toMatchSnapshot();
	});

	// Guards against an encoded body that is passed on as the plain body, and against a reset that is accepted as its end.
	it('is not derived from a transfer coding other than chunked', async () => {
		expect({
			gzip: await runWithEndings(`${OK}Transfer-Encoding: gzip\r\n`, 'coded'),
			'gzip in chunks': await runWithEndings(`${OK}Transfer-Encoding: gzip, chunked\r\n`, '5\r\ncoded\r\n0\r\n\r\n'),
			'chunks, then gzip': await runWithEndings(`${OK}Transfer-Encoding: chunked, gzip\r\n`, 'coded'),
			'an empty coding': await runWithEndings(`${OK}Transfer-Encoding: \r\n`, 'bytes'),
		}).toMatchSnapshot();
	});

	// Guards against a request that never ends because its target switches protocols, and against an interim answer that is passed on as the final one.
	it('is not awaited when the target switches protocols', async () => {
		const whole = `${OK}Content-Length: 5\r\n\r\nwhole`;
		expect(await runWithTexts({
			'101 with a protocol': `HTTP/1.1 101 Switching Protocols\r\n${SIGNED}Upgrade: other\r\nConnection: Upgrade\r\n\r\nwhole`,
			'101 without a protocol': `HTTP/1.1 101 Switching Protocols\r\n${SIGNED}\r\n${whole}`,
			'interim answers before the final one': `${`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n${SIGNED}\r\n`.repeat(20)}${whole}`,
			'interim answers alone': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n',
		})).toMatchSnapshot();
	});

	// Guards against a connection and a buffered request body that are kept while a target does not read the rest of a request it has already answered.
	it('ends the connection when the request has not been read', async () => {
		const body = 'x'.repeat(LONG_BODY_BYTES);
		const results = [];
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
			results.push({body: answer.body, isWhole: answer.isWhole, rest: peer.socket.bytesRead < LONG_BODY_BYTES ? 'not sent' : 'sent after the request had ended'});
			host.close();
			target.close();
		}

		expect(results).toMatchSnapshot();
	});

	// Guards against waiting for a body that is not sent, and against a Content-Length of 0 that the target did not send.
	it('follows the head of an answer without a body', async () => {
		expect({
			...await runWithTexts({
				204: `HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`,
				'204 with a length of 0': `HTTP/1.1 204 No Content\r\n${SIGNED}Content-Length: 0\r\n\r\n`,
				304: `HTTP/1.1 304 Not Modified\r\n${SIGNED}Content-Length: 5\r\n\r\n`,
				'204 of an event stream': `HTTP/1.1 204 No Content\r\n${SIGNED}events: 1\r\n\r\n`,
			}),
			...await runWithTexts({
				'HEAD with a length': `${OK}Content-Length: 5\r\n\r\n`,
				'HEAD in chunks': `${OK}Transfer-Encoding: chunked\r\n\r\n`,
				'HEAD without either': `${OK}\r\n`,
				'HEAD of an event stream': `${EVENTS}\r\n`,
			}, 'HEAD'),
		}).toMatchSnapshot();
	});

	// Guards against waiting until the request times out for a body that the status does not allow.
	it('is not awaited after a status that allows no body', async () => {
		const runKeepAlive = async (framing: string): Promise<string> => runExchange({
			script: () => async peer => {
				await peer.readHead();
				await peer.write(`HTTP/1.1 204 No Content\r\n${SIGNED}${framing}\r\n\r\n`);
			},
		});
		expect([await runKeepAlive('Content-Length: 5'), await runKeepAlive('Transfer-Encoding: chunked')]).toMatchSnapshot();
	});

	// Guards against an extra answer on a reused connection that is taken as the answer to the next request.
	it('is followed by no further answer on the connection', async () => {
		const first = `${OK}Content-Length: 5\r\n\r\nfirst`;
		const extra = 'HTTP/1.1 200 OK\r\nseal: s\r\nattempt: a0\r\nContent-Length: 5\r\n\r\nextra';
		const scripts: Readonly<Record<string, TwoRequestScript>> = {
			async 'at once'(peer) {
				await peer.readHead();
				await peer.write(`${first}${extra}`);
				await peer.closed;
			},
			async late(peer, firstEnded) {
				await peer.readHead();
				await peer.write(first);
				await firstEnded;
				await peer.write(extra);
				await peer.closed;
			},
			async 'before the answer to the next request'(peer, firstEnded, signalReady) {
				await peer.readHead();
				await peer.write(first);
				await firstEnded;
				signalReady();
				await peer.readHead();
				await peer.write(`${extra}${OK}Content-Length: 3\r\n\r\nown`);
				await peer.closed;
			},
		};
		const lines: Record<string, string> = {};
		for (const [name, script] of Object.entries(scripts)) {
			lines[name] = await runTwoRequests(script);
		}

		expect(lines).toMatchSnapshot();
	});

	// Guards against a partial answer that appears complete because a reset follows an orderly close. Both may be read at once; a complete answer then counts as truncated.
	it('is never assumed for a partial answer when a reset follows an orderly close', async () => {
		const runWithReset = async (framing: string, last: string): Promise<string> => runExchange({
			script: () => async peer => {
				await peer.readHead();
				await peer.write(`${OK}${framing}\r\n${last}`);
				peer.socket.end(() => {
					peer.reset();
				});
				await peer.closed;
			},
		});
		const byConnection = await runWithReset('', 'whole');
		expect({
			length: await runWithReset('Content-Length: 5\r\n', 'whole'),
			'short by length': await runWithReset('Content-Length: 9\r\n', 'short'),
			chunks: await runWithReset('Transfer-Encoding: chunked\r\n', '5\r\nwhole\r\n0\r\n\r\n'),
			'short by chunks': await runWithReset('Transfer-Encoding: chunked\r\n', '5\r\nshort\r\n'),
			isTruthful: byConnection.startsWith('200 "whole"; answered') || byConnection.startsWith('502'),
		}).toMatchSnapshot();
	});
});
