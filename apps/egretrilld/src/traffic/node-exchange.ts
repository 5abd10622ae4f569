import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CallerExchange, type RequestHead} from '@egretrill/callers';
import type {Verdict} from '@egretrill/common';

/** A caller's request on a connection of Node's HTTP server. */
export class NodeExchange extends CallerExchange {
	readonly head: RequestHead;
	private readonly callerDisconnect = new AbortController();
	private isAborting = false;

	constructor(private readonly req: IncomingMessage, private readonly res: ServerResponse, private readonly isStopping: () => boolean) {
		super();
		this.head = {method: req.method ?? '', url: req.url ?? '', rawHeaders: req.rawHeaders};
		res.once('close', () => {
			if (!res.writableFinished && !this.isAborting) {
				this.callerDisconnect.abort();
			}
		});
		// A connection that breaks shows in the close of the answer; without a listener the error would end the process.
		req.on('error', () => undefined);
		res.on('error', () => undefined);
	}

	get callerLeft(): AbortSignal {
		return this.callerDisconnect.signal;
	}

	async readBody(maxBytes: number): Promise<Uint8Array | undefined> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		try {
			for await (const chunk of this.req as AsyncIterable<Uint8Array>) {
				length += chunk.length;
				if (length > maxBytes) {
					return undefined;
				}

				chunks.push(chunk);
			}
		} catch {
			// The caller broke off, which the close of the answer tells.
			return undefined;
		}

		return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
	}

	hasBegun(): boolean {
		return this.res.headersSent;
	}

	begin(status: number, headers: readonly string[], bodyLength?: number): void {
		this.prepare();
		const length = bodyLength === undefined ? [] : ['Content-Length', String(bodyLength)];
		this.res.writeHead(status, [...headers, ...length]);
		if (bodyLength === undefined) {
			// The first event follows at once, but the head must not wait for it.
			this.res.flushHeaders();
		}
	}

	async write(bytes: Uint8Array): Promise<void> {
		if (bytes.length > 0 && !this.res.write(bytes) && !this.res.destroyed) {
			await once(this.res, 'drain', {signal: this.callerDisconnect.signal});
		}
	}

	end(): void {
		if (this.isStopping()) {
			// The head may have promised that the connection stays open, but a further request on it would come too late.
			this.res.once('finish', () => {
				this.req.socket.end();
			});
		}

		this.res.end();
	}

	refuse({status, code, reason, retryAfterMs, run}: Verdict): void {
		this.prepare();
		const body = JSON.stringify({error: {verdict: run, code, message: reason}});
		this.res.writeHead(status, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
			...(retryAfterMs !== undefined && {'retry-after': (retryAfterMs / 1000).toFixed(3)}),
		});
		this.res.end(body);
		if (!this.req.complete) {
			// The rest of a body that is not read would be taken for the next request.
			this.req.destroy();
		}
	}

	abort(): void {
		this.isAborting = true;
		// Destroying a request that has been read leaves its connection open.
		const {socket} = this.req;
		if (this.res.headersSent && !this.res.chunkedEncoding) {
			// Without chunks an orderly end of the connection may be the end of the answer.
			socket.resetAndDestroy();
			return;
		}

		socket.destroy();
	}

	private prepare(): void {
		if (this.isStopping()) {
			this.res.shouldKeepAlive = false;
		}
	}
}
