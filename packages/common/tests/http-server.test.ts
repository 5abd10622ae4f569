import {once} from 'node:events';
import type {RequestListener} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {createHttpServer} from '../src/index.js';

const LIMITS = {headMs: 200, requestMs: 400};
/** Well below the limits that the library has by itself. */
const MAX_OPEN_MS = 20_000;
const PAUSE_MS = 20;

type Sender = (socket: Socket) => void;

/** Writes a part again and again with a pause after each, until the connection closes. */
function trickle(socket: Socket, part: string): void {
	const timer = setInterval(() => socket.write(part), PAUSE_MS);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Writes as fast as the server reads, until the connection closes. */
function pour(socket: Socket, part: string): void {
	while (!socket.destroyed) {
		if (!socket.write(part)) {
			socket.once('drain', () => {
				pour(socket, part);
			});
			return;
		}
	}
}

const answerAtOnce: RequestListener = (_req, res) => {
	res.end('answer');
};

const answerWholeRequests: RequestListener = async (req, res) => {
	try {
		await req.toArray();
		res.end('answer');
	} catch {
		// The connection was closed.
	}
};

/** Sends to a server until it closes the connection; tells the first line that it answered and whether it closed in time. */
async function sendUntilClosed(listener: RequestListener, send: Sender): Promise<unknown> {
	const server = createHttpServer(listener, LIMITS);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const startMs = performance.now();
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	socket.on('data', bytes => {
		text += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.once('connect', () => {
		send(socket);
	});
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	server.close();
	return {answer: text.split('\r\n', 1)[0], isInTime: performance.now() - startMs < MAX_OPEN_MS};
}

describe('HTTP server with limits for requests', () => {
	// Guards against connections, and tasks that read from them, that are kept by callers who send slowly or without end.
	it('closes a connection whose request does not end in time', async () => {
		const outcomes = {
			silent: await sendUntilClosed(answerWholeRequests, () => undefined),
			'head in trickles': await sendUntilClosed(answerWholeRequests, socket => {
				socket.write('GET / HTTP/1.1\r\nHost: a\r\nX-Long: ');
				trickle(socket, 'x');
			}),
			'body in trickles': await sendUntilClosed(answerWholeRequests, socket => {
				socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
				trickle(socket, '1\r\nx\r\n');
			}),
			'body without end after the answer': await sendUntilClosed(answerAtOnce, socket => {
				socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
				pour(socket, `1000\r\n${'x'.repeat(4096)}\r\n`);
			}),
		};
		expect(outcomes).toMatchSnapshot();
	});

	// Guards against a limit for requests that cuts off answers.
	it('leaves an answer that takes longer than the limits alone', async () => {
		const answer = await sendUntilClosed((_req, res) => {
			setTimeout(() => {
				res.end('late');
			}, 3 * LIMITS.requestMs);
		}, socket => {
			socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
		});
		expect(answer).toMatchSnapshot();
	});
});
