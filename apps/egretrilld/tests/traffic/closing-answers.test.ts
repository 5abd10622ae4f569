import {once} from 'node:events';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {createCallerApp, sendRefusal} from '@egretrill/callers';
import {createHttpServer, createLogger, refuse} from '@egretrill/common';
import {createAdminApp, type FleetControl} from '@egretrill/operators';
import {expect} from 'chai';
import {CallerSocket} from './support/caller-socket.js';

const PARTS = 4;
const PART = 'x'.repeat(50_000);
const PAUSE_MS = 5;
const DIGEST_LENGTH = 64;

const logger = createLogger('test', 'fatal');

const noControl: Partial<FleetControl> = {};

const listeners: Readonly<Record<string, RequestListener>> = {
	'plain listener'(_req, res) {
		res.writeHead(503, {'content-type': 'text/plain'});
		res.end('not ready');
	},
	'front end': createCallerApp({
		stopping: new AbortController().signal,
		logger, async handle(_req, reply) {
			await sendRefusal(reply, refuse(404, 'unknown-route', 'No route.'));
		},
	}) as RequestListener,
	operators: createAdminApp({control: noControl as FleetControl, adminKeyDigest: '0'.repeat(DIGEST_LENGTH), logger}) as RequestListener,
};

/** Sends a body in parts, reads only afterwards, and returns the status line and whether the answer is whole. */
async function sendInParts(listener: RequestListener, header: string): Promise<string> {
	const server = createHttpServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = await CallerSocket.open((server.address() as AddressInfo).port);
	caller.socket.pause();
	caller.write(`POST /v1/config HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${header}Content-Length: ${PARTS * PART.length}\r\n\r\n`);
	for (let sent = 0; sent < PARTS; sent += 1) {
		caller.write(PART);
		await setTimeout(PAUSE_MS);
	}

	caller.socket.resume();
	const {text, isReset} = await caller.readToEnd();
	server.closeAllConnections();
	server.close();
	return `${text === '' ? 'no answer' : text.split('\r\n', 1)[0]}${isReset ? '; reset' : ''}`;
}

describe('an answer that closes its connection before the request has arrived', () => {
	// Guards against a reset that overtakes the answer, in each of the ways in which this product answers.
	it('reaches a caller that sends the rest of its body afterwards', async () => {
		const answers: Record<string, string> = {};
		for (const [name, listener] of Object.entries(listeners)) {
			answers[name] = await sendInParts(listener, '');
			answers[`${name}, unknown coding`] = await sendInParts(listener, 'Content-Encoding: other\r\n');
		}

		expect(answers).toMatchSnapshot();
	});
});
