import {once} from 'node:events';
import {runWithTimeout} from '@egretrill/common';
import type {Response} from 'express';
import {CallerReply} from './caller-reply.js';
import {CALLER_STALL_MS} from './constants.js';

/** Answers a caller through express. */
export class ExpressReply extends CallerReply {
	private isStream = false;

	constructor(private readonly res: Response, private readonly disconnected: AbortSignal, private readonly stallMs = CALLER_STALL_MS) {
		super();
	}

	override get isStarted(): boolean {
		return this.res.headersSent;
	}

	override get isEventStream(): boolean {
		return this.isStream;
	}

	override start(status: number, headers: Readonly<Record<string, string>>): void {
		this.isStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
		// The head is sent together with the first bytes of the body, which saves a system call per answer.
		this.res.set(headers).writeHead(status);
	}

	override async write(bytes: Uint8Array | string): Promise<void> {
		if (this.disconnected.aborted) {
			throw new Error('The caller closed the connection.');
		}

		if (!this.res.write(bytes)) {
			await this.waitForDrain();
		}
	}

	override async end(): Promise<void> {
		this.res.end();
	}

	override abort(): void {
		this.res.destroy();
	}

	private async waitForDrain(): Promise<void> {
		try {
			await runWithTimeout(this.stallMs, this.disconnected, async signal => once(this.res, 'drain', {signal}));
		} catch (err: unknown) {
			// Otherwise a caller that accepts no data would keep its connection and buffer in use.
			this.abort();
			throw err;
		}
	}
}
