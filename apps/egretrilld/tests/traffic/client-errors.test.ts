import {once} from 'node:events';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {createHttpServer} from '@egretrill/common';
import {expect} from 'chai';
import {CallerSocket, describeAnswers} from './support/caller-socket.js';

const TIMEOUTS = {headMs: 200, requestMs: 400};
/** Longer than the timeouts and the interval in which Node checks them. */
const ANSWER_MS = 1500;
const PAUSE_MS = 5;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const POST = 'POST / HTTP/1.1\r\nHost: a\r\n';
const PART = 'x'.repeat(50_000);

const answerSlowly: RequestListener = async (req, res) => {
	try {
		await req.toArray();
		await setTimeout(ANSWER_MS);
		res.end('answer');
	} catch {
		// The connection was closed.
	}
};

/** Writes the parts with pauses, and reads only afterwards. */
async function send(parts: readonly string[]): Promise<string> {
	const server = createHttpServer(answerSlowly, {timeouts: TIMEOUTS});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = await CallerSocket.open((server.address() as AddressInfo).port);
	caller.socket.pause();
	for (const part of parts) {
		caller.write(part);
		await setTimeout(PAUSE_MS);
	}

	caller.socket.resume();
	const received = await caller.readToEnd();
	server.close();
	server.closeAllConnections();
	return describeAnswers(received);
}

describe('bytes that are no whole request', () => {
	// Guards against a whole request that gets the answer to what follows it, although it runs.
	it('are answered after the whole requests before them', async () => {
		expect({
			'no request': await send([REQUEST, 'garbage\r\n\r\n']),
			'no request after two': await send([REQUEST, REQUEST, 'garbage\r\n\r\n']),
			'a head that does not end': await send([REQUEST, 'GET / HTTP/1.1\r\n']),
			'a body that does not end': await send([REQUEST, `${POST}Content-Length: 2\r\n\r\nx`]),
			'bytes after the last request': await send([REQUEST.replace('Host', 'Connection: close\r\nHost'), 'garbage\r\n\r\n']),
		}).toMatchSnapshot();
	});

	// Guards against a reset that overtakes the answer because further bytes arrive on a closed connection.
	it('are answered to a caller that goes on sending', async () => {
		expect({
			'a head over the limit': await send(['GET / HTTP/1.1\r\nHost: a\r\nX-Long: ', PART, PART, PART, PART]),
			'a body in chunks without a size': await send([`${POST}Transfer-Encoding: chunked\r\n\r\n`, `size\r\n${PART}`, PART, PART, PART]),
			'no request': await send(['garbage\r\n\r\n', PART, PART, PART]),
		}).toMatchSnapshot();
	});
});
