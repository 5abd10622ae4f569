import {once} from 'node:events';
import type {RequestListener} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {createHttpServer} from '../src/index.js';

const TIMEOUTS = {headMs: 200, requestMs: 400};
/** Well below Node's default timeouts. */
const MAX_OPEN_MS = 20_000;
const WRITE_PAUSE_MS = 20;
/** More than arrive at once. */
const PIPELINED_REQUESTS = 4000;

type SendRequest = (socket: Socket) => void;

/** Writes a chunk repeatedly, with a pause after each, until the connection closes. */
function writeWithPauses(socket: Socket, chunk: string): void {
	const timer = setInterval(() => socket.write(chunk), WRITE_PAUSE_MS);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Writes a chunk repeatedly, as fast as the server reads, until the connection closes. */
function writeContinuously(socket: Socket, chunk: string): void {
	while (!socket.destroyed) {
		if (!socket.write(chunk)) {
			socket.once('drain', () => {
				writeContinuously(socket, chunk);
			});
			return;
		}
	}
}

const answerImmediately: RequestListener = (_req, res) => {
	res.end('answer');
};

const answerCompleteRequests: RequestListener = async (req, res) => {
	try {
		await req.toArray();
		res.end('answer');
	} catch {
		// The connection was closed.
	}
};

/** Sends to a server until it closes the connection; returns the status line of its answer and whether it closed in time. */
async function sendUntilClosed(listener: RequestListener, send: SendRequest): Promise<unknown> {
	const server = createHttpServer(listener, {timeouts: TIMEOUTS});
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

describe('HTTP server with read timeouts', () => {
	// Guards against callers that occupy connections, and the tasks that read from them, by sending slowly or endlessly.
	it('closes a connection whose request does not arrive completely in time', async () => {
		const outcomes = {
			silent: await sendUntilClosed(answerCompleteRequests, () => undefined),
			'head in trickles': await sendUntilClosed(answerCompleteRequests, socket => {
				socket.write('GET / HTTP/1.1\r\nHost: a\r\nX-Long: ');
				writeWithPauses(socket, 'x');
			}),
			'body in trickles': await sendUntilClosed(answerCompleteRequests, socket => {
				socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
				writeWithPauses(socket, '1\r\nx\r\n');
			}),
			'body without end after the answer': await sendUntilClosed(answerImmediately, socket => {
				socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
				writeContinuously(socket, `1000\r\n${'x'.repeat(4096)}\r\n`);
			}),
		};
		expect(outcomes).toMatchSnapshot();
	});

	// Guards against read timeouts that also interrupt answers.
	it('does not interrupt an answer that takes longer than the read timeouts', async () => {
		const answer = await sendUntilClosed((_req, res) => {
			setTimeout(() => {
				res.end('late');
			}, 3 * TIMEOUTS.requestMs);
		}, socket => {
			socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
		});
		expect(answer).toMatchSnapshot();
	});

	// Guards against requests that are lost, or a connection that stays paused, when many are sent without waiting for their answers.
	it('serves every request of a caller that does not wait for answers', async () => {
		let served = 0;
		const answer = await sendUntilClosed(async (req, res) => {
			const parts = await req.toArray() as Uint8Array[];
			served += parts.length;
			res.end('answer');
		}, socket => {
			const request = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n';
			socket.write(`${`${request}\r\nx`.repeat(PIPELINED_REQUESTS - 1)}${request}Connection: close\r\n\r\nx`);
		});
		expect({answer, served}).to.deep.equal({answer: {answer: 'HTTP/1.1 200 OK', isInTime: true}, served: PIPELINED_REQUESTS});
	});
});
