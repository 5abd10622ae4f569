import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {exchangeHttp, MAX_ANSWER_BYTES} from '@egretrill/common';
import {expect} from 'chai';
import {isSendFailure, readAnswer} from '../src/relay-answer.js';

const DEADLINE_MS = 20_000;
/** Time in which the client reads what has been sent. */
const TIME_TO_READ_MS = 20;
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

/** Writes as fast as the peer reads until the connection closes. */
function writeEndlessly(socket: Socket, chunk: string): void {
	while (!socket.destroyed) {
		if (!socket.write(chunk)) {
			socket.once('drain', () => {
				writeEndlessly(socket, chunk);
			});
			return;
		}
	}
}

/** Reads the answer of a target that handles each connection with `serve`. */
async function read(serve: (socket: Socket) => Promise<void> | void): Promise<string> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void serve(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const target = {targetId: 't-1', startId: 's-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
	const agent = new Agent();
	const sent = await exchangeHttp(target, {
		requestId: 'req-1', method: 'GET', path: '/', headers: {}, body: new Uint8Array(0), deadlineMs: DEADLINE_MS,
	}, new AbortController().signal, agent);
	const outcome = sent.isErr ? sent.error : await readAnswer(sent.value);
	server.close();
	agent.destroy();
	return isSendFailure(outcome) ? `failed: ${outcome.code}` : `whole: ${Buffer.from(outcome.body).toString()}`;
}

describe('reading of a complete answer', () => {
	// Guards against a truncated answer that is sent to the caller and stored in the at-most-once record as complete.
	it('treats an answer whose connection was cut or reset as a failure', async () => {
		const outcomes: Record<string, string> = {
			'no length, orderly end': await read(socket => {
				socket.end(`${head}\r\nwhole`);
			}),
			'no length, reset together with the data': await read(socket => {
				socket.write(`${head}\r\npart`);
				socket.resetAndDestroy();
			}),
			'no length, reset together with later data': await read(async socket => {
				socket.write(`${head}\r\npa`);
				await delay(TIME_TO_READ_MS);
				socket.write('rt');
				socket.resetAndDestroy();
			}),
			'no length, reset after the data': await read(socket => {
				socket.write(`${head}\r\npart`, async () => {
					await nextTurn();
					socket.resetAndDestroy();
				});
			}),
			'no body by its status, reset with its head': await read(socket => {
				socket.write('HTTP/1.1 204 No Content\r\n\r\n');
				socket.resetAndDestroy();
			}),
			'length, cut': await read(socket => {
				socket.end(`${head}Content-Length: 10\r\n\r\npart`);
			}),
			'length, reset': await read(socket => {
				socket.write(`${head}Content-Length: 10\r\n\r\npart`);
				socket.resetAndDestroy();
			}),
			'chunks, cut': await read(socket => {
				socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
			}),
			'chunks, reset': await read(socket => {
				socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
				socket.resetAndDestroy();
			}),
			'head, cut': await read(socket => {
				socket.end(head);
			}),
		};
		// The code of a failure depends on the timing of the data and the reset.
		expect(Object.fromEntries(Object.entries(outcomes).map(([name, text]) => [name, text.replace(/^failed: .*$/v, 'failed')]))).toMatchSnapshot();
	});

	// Guards against an encoded body that is passed on as the plain one, and against a part of it that counts as whole after a reset.
	it('rejects a transfer coding other than chunked', async () => {
		const outcomes: Record<string, string> = {};
		for (const coding of ['identity', 'gzip', 'chunked, gzip', 'gzip, chunked', '', 'Chunked']) {
			for (const isReset of [false, true]) {
				const outcome = await read(socket => {
					socket.write(`${head}Transfer-Encoding: ${coding}\r\n\r\n4\r\npart\r\n0\r\n\r\n`);
					if (isReset) {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
				outcomes[`${coding || 'empty'}, ${isReset ? 'reset' : 'orderly end'}`] = outcome;
			}
		}

		expect(outcomes).toMatchSnapshot();
	});

	// Guards against an engine in trouble whose invalid status reaches the caller as an answer.
	it('treats an answer with an invalid status as a failure after which the request may have run', async () => {
		const outcomes: string[] = [];
		for (const status of ['000', '099', '200', '599', '600', '999']) {
			outcomes.push(`${status} ${await read(socket => {
				socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`);
			})}`);
		}

		expect(outcomes).toMatchSnapshot();
	});

	// Guards against an endless answer that exhausts memory or occupies its task until the deadline.
	it('stops reading an endless answer once it is too long', async () => {
		const outcomes = {
			body: await read(socket => {
				socket.write(`${head}\r\n`);
				writeEndlessly(socket, ' '.repeat(MAX_ANSWER_BYTES / 64));
			}),
			head: await read(socket => {
				socket.write(head);
				writeEndlessly(socket, 'X-More: of the same\r\n'.repeat(64));
			}),
		};
		expect(outcomes).toMatchSnapshot();
	});
});
