import {Buffer} from 'node:buffer';
import {VERDICT_HEADER, type Verdict} from '@egretrill/common';
import type {ErrorBody} from './types.js';

/** The answer channel to one caller. */
export abstract class CallerReply {
	/** True once the status line has been sent. */
	abstract get isStarted(): boolean;
	/** True if the answer is an event stream. */
	abstract get isEventStream(): boolean;
	abstract start(status: number, headers: Readonly<Record<string, string>>): void;
	/** Resolves when the caller can accept more data; rejects when the caller has disconnected or accepts nothing. */
	abstract write(bytes: Uint8Array | string): Promise<void>;
	/** Ends a complete answer. */
	abstract end(): Promise<void>;
	/** Closes the connection, so that an incomplete answer does not look complete. */
	abstract abort(): void;
}

/** Sends a refusal with its verdict in status, header and body. */
export async function sendRefusal(reply: CallerReply, verdict: Verdict): Promise<void> {
	const error: ErrorBody = {error: {verdict: verdict.run, code: verdict.code, message: verdict.reason}};
	const body = Buffer.from(JSON.stringify(error));
	reply.start(verdict.status, {
		'content-type': 'application/json',
		// With a length, the refusal of a request that is still arriving is complete before the rest has been read.
		'content-length': String(body.length),
		[VERDICT_HEADER]: verdict.run,
		...(verdict.retryAfterMs !== undefined && {'retry-after': String(Math.ceil(verdict.retryAfterMs / 1000))}),
	});
	await reply.write(body);
	await reply.end();
}
