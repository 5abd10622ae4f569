import {
	type Agent, type ClientRequest, type IncomingMessage, request,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '@egretrill/common';
import type {CallRecord} from './types.js';

/** How a caller sends the parts of its body and reads the answer. */
export type CallPace = {readonly parts: readonly string[]; readonly gapMs: number; readonly isChunked: boolean; readonly readPauseMs: number};

/** A request as it goes on the wire. */
export type CallRequest = {readonly agent: Agent; readonly address: string; readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly pace: CallPace};

/** Fractions of the callers' requests with a body in chunks, with a body that comes slowly, and with an answer that is not read for a while. */
const CHUNKED_RATIO = 0.25;
const SLOW_BODY_RATIO = 0.15;
const SLOW_READER_RATIO = 0.1;
const MAX_SLOW_PARTS = 5;
const MAX_GAP_MS = 400;
const MAX_READ_PAUSE_MS = 2000;
/** How long a caller waits beyond its time limit. */
const PATIENCE_MS = 1000;

/** Draws how a body is sent and an answer read. */
export function drawPace(body: string, random: Random): CallPace {
	const isChunked = random() < CHUNKED_RATIO;
	const isSlow = random() < SLOW_BODY_RATIO;
	const count = isSlow ? 2 + Math.floor((MAX_SLOW_PARTS - 1) * random()) : 1;
	const size = Math.ceil(body.length / count);
	return {
		parts: Array.from({length: count}, (_, i) => body.slice(i * size, (i + 1) * size)).filter(part => part !== ''),
		gapMs: MAX_GAP_MS * random(),
		isChunked,
		readPauseMs: random() < SLOW_READER_RATIO ? MAX_READ_PAUSE_MS * random() : 0,
	};
}

async function sendBody(req: ClientRequest, call: CallRecord, {parts, gapMs}: CallPace): Promise<void> {
	for (const [i, part] of parts.entries()) {
		if (i > 0) {
			await delay(gapMs);
		}

		if (req.destroyed || req.errored) {
			return;
		}

		req.write(part);
	}

	call.bodySentMs = performance.now();
	req.end();
}

/** Records an answer; a slow reader stops reading for a while after the first bytes. */
function readAnswer(res: IncomingMessage, call: CallRecord, {readPauseMs}: CallPace): void {
	call.status = res.statusCode ?? 0;
	res.setEncoding('utf8');
	res.on('data', (text: string) => {
		call.body += text;
	});
	res.on('error', (err: NodeJS.ErrnoException) => {
		call.error ??= err.code ?? err.message;
	});
	if (readPauseMs > 0) {
		res.once('data', () => {
			res.pause();
			setTimeout(() => res.resume(), readPauseMs);
		});
	}
}

/** Sends one request and records what its caller sees, until the answer or the connection has ended. */
export async function sendCall(call: CallRecord, {agent, address, path, headers, pace}: CallRequest): Promise<void> {
	const [hostname, port] = address.split(':');
	await new Promise<void>(resolve => {
		const req = request({
			agent, hostname, port, method: 'POST', path, headers,
		});
		let hasGivenUp = false;
		const timer = setTimeout(() => {
			hasGivenUp = true;
			req.destroy(new Error('time limit'));
		}, call.timeLimitMs + PATIENCE_MS);
		const end = (): void => {
			clearTimeout(timer);
			call.endedMs = performance.now();
			resolve();
		};

		req.on('error', (err: NodeJS.ErrnoException) => {
			call.error ??= err.code ?? err.message;
			if (call.status === 0) {
				end();
			}
		});
		req.once('response', res => {
			readAnswer(res, call, pace);
			res.once('close', () => {
				// What a slow reader that gives up has received and not read is thrown away.
				call.isComplete = res.complete && !hasGivenUp;
				end();
			});
		});
		void sendBody(req, call, pace);
	});
}
