import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CallerExchange, type RequestHead, UNREAD_ANSWER} from '@egretrill/callers';
import {
	type MemoryBudget, type TurnQueue, TurnShare, type Verdict,
} from '@egretrill/common';
import {frameChunk, LAST_CHUNK} from './chunk-framing.js';
import {createRefusalBody, getRetryAfter} from './refusal-body.js';

/** Bytes of an answer that wait on their way from the target while the caller reads nothing: what the connection has read at once, which its stream keeps until it is used. */
const WAITING_ANSWER_BYTES = 65_536;

export type NodeExchangeOptions = {
	readonly memory: MemoryBudget;
	/** Shares the event loop among long requests. */
	readonly turns: TurnQueue;
	/** Whether a planned stop of this host has begun. */
	readonly isStopping: () => boolean;
};

/** A caller's request and response on Node's HTTP server. */
export class NodeExchange extends CallerExchange {
	readonly head: RequestHead;
	private readonly callerDisconnect = new AbortController();
	private writeSignal = this.callerDisconnect.signal;
	private isAborting = false;
	/** Whether the answer has begun in chunked encoding. */
	private isChunked = false;
	private isEnding = false;

	constructor(private readonly req: IncomingMessage, private readonly res: ServerResponse, private readonly opts: NodeExchangeOptions) {
		super();
		this.head = {method: req.method ?? '', url: req.url ?? '', rawHeaders: req.rawHeaders};
		res.once('close', () => {
			if (!res.writableFinished && !this.isAborting) {
				this.callerDisconnect.abort();
			}
		});
		// A broken connection is handled by the response's close event; without error listeners it would crash the process.
		req.on('error', () => undefined);
		res.on('error', () => undefined);
	}

	get callerDisconnected(): AbortSignal {
		return this.callerDisconnect.signal;
	}

	async readBody(onChunk: (chunk: Uint8Array) => boolean): Promise<boolean> {
		const {socket} = this.req;
		// The parser takes longer for the framing of small chunks than for their content, so other work goes on after much of it.
		let readBytes = socket.bytesRead;
		const share = new TurnShare(this.opts.turns);
		try {
			// Destroying the request on return would close the connection before a refusal is sent.
			for await (const chunk of this.req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
				if (!onChunk(chunk)) {
					return false;
				}

				const {bytesRead} = socket;
				const turn = share.spend(Math.max(0, bytesRead - readBytes - chunk.length));
				if (turn) {
					await turn;
				}

				readBytes = bytesRead;
			}
		} catch {
			// The caller disconnected, which the response's close event reports.
			return false;
		}

		return true;
	}

	isRequestComplete(): boolean {
		return this.req.complete;
	}

	hasStarted(): boolean {
		return this.res.headersSent;
	}

	start(status: number, headers: readonly string[], bodyLength?: number): void {
		this.prepare();
		const length = bodyLength === undefined ? [] : ['Content-Length', String(bodyLength)];
		this.res.writeHead(status, [...headers, ...length]);
		// The chunks of this body are framed here.
		this.isChunked = this.res.chunkedEncoding;
		this.res.chunkedEncoding = false;
		if (bodyLength === undefined) {
			// Sends the head at once, so that the caller has it also if the connection is closed right after the first event.
			this.res.flushHeaders();
		}
	}

	cancelWritesOn(signal: AbortSignal): void {
		this.writeSignal = signal;
	}

	write(bytes: Uint8Array): Promise<void> | undefined {
		if (bytes.length === 0) {
			return undefined;
		}

		const hasRoom = this.res.write(this.isChunked ? frameChunk(bytes) : bytes);
		return hasRoom || this.res.destroyed ? undefined : this.waitForCaller();
	}

	/** Whether the answer or the connection has been ended, or will be once the rest of the request has arrived. */
	hasEnded(): boolean {
		return this.isEnding;
	}

	end(): void {
		this.isEnding = true;
		if (this.isChunked) {
			this.res.write(LAST_CHUNK);
		}

		this.res.end();
	}

	refuse(verdict: Verdict): void {
		this.prepare();
		// The connection of an incomplete request is not used again.
		this.res.shouldKeepAlive &&= this.isRequestComplete();
		const body = createRefusalBody(verdict);
		const retryAfter = getRetryAfter(verdict);
		this.res.writeHead(verdict.status, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
			...(retryAfter !== undefined && {'retry-after': retryAfter}),
		});
		this.isEnding = true;
		this.res.end(body);
	}

	abort(): void {
		this.isEnding = true;
		this.isAborting = true;
		// Destroying a fully read request would leave its connection open, so the socket is closed instead.
		const {socket} = this.req;
		if (this.res.headersSent && !this.isChunked) {
			// Without chunked encoding, an orderly close could be taken for the end of the body, so the connection is reset.
			socket.resetAndDestroy();
			return;
		}

		socket.destroy();
	}

	/** Waits until the caller has read what was written; meanwhile that counts as held, and the connection is closed if it must give way. */
	private async waitForCaller(): Promise<void> {
		const unread = this.opts.memory.open({
			onEvicted: () => {
				this.abort();
				this.callerDisconnect.abort(UNREAD_ANSWER);
			},
		});
		try {
			const drained = once(this.res, 'drain', {signal: this.writeSignal});
			unread.add(this.res.writableLength + WAITING_ANSWER_BYTES);
			await drained;
		} finally {
			unread.release();
		}
	}

	private prepare(): void {
		if (this.opts.isStopping()) {
			this.res.shouldKeepAlive = false;
		}
	}
}
