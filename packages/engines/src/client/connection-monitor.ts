import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {type TurnQueue, TurnShare} from '@egretrill/common';
import {MessageReader} from './message-reader.js';

/** Limit of consecutive bytes that add nothing to an answer's body. An HTTP head has at most 16 KiB and may follow interim answers; the parser alone would accept interim answers, empty lines and digits of a chunk size without a limit. */
export const MAX_FRAMING_BYTES = 65_536;

/** Receive progress of the answer to one request. */
export class AnswerProgress {
	/** Whether the connection has carried an earlier request, whose answer the target may repeat. */
	isConnectionReused = false;
	private message?: IncomingMessage;
	private readBytes = 0;
	/** Bytes of the connection, framing included, since the last chunk of the body was taken. */
	private receivedBytes = 0;
	private readonly share: TurnShare;

	constructor(turns: TurnQueue) {
		this.share = new TurnShare(turns);
	}

	/** Called with the final (not an interim) response head. */
	start(message: IncomingMessage): void {
		this.message = message;
	}

	/** Counts bytes of the connection, which the parser has yet to read. */
	recordReceived(bytes: number): void {
		this.receivedBytes += bytes;
	}

	/** Yields the chunks of the body as they arrive, but lets other work go on after much framing: chunks of one byte take the parser much longer than their content. */
	async * readBody(message: IncomingMessage): AsyncGenerator<Uint8Array> {
		const reader = new MessageReader(message);
		try {
			while (!reader.hasEnded()) {
				const chunk = reader.read();
				if (!chunk) {
					await reader.waitForMore();
					continue;
				}

				const turn = this.recordRead(chunk.length);
				if (turn) {
					await turn;
				}

				yield chunk;
			}
		} finally {
			reader.close();
		}
	}

	/** Whether the end of the answer has been received, even if its body has not been read yet. */
	isComplete(): boolean {
		return this.message?.complete ?? false;
	}

	/** Number of body bytes received, including those not read yet. */
	getBodyBytes(): number {
		return this.readBytes + (this.message?.readableLength ?? 0);
	}

	/** Counts a chunk that is taken; returns a wait for a further turn after much framing. */
	private recordRead(bytes: number): Promise<void> | undefined {
		this.readBytes += bytes;
		const framingBytes = Math.max(0, this.receivedBytes - bytes);
		this.receivedBytes = 0;
		return this.share.spend(framingBytes);
	}
}

/** Closes a connection to a target when bytes arrive outside a request or without progress of the answer. Active for the lifetime of the connection. */
export class ConnectionMonitor {
	private progress?: AnswerProgress;
	private bodyBytes = 0;
	private framingBytes = 0;

	constructor(private readonly socket: Socket) {
		// A request in progress has its own error listener. Between two requests there is none, and an unhandled error event would terminate the process.
		socket.on('error', () => undefined);
		// Runs before the HTTP parser consumes the bytes, so that they are not yet counted as part of the body.
		socket.prependListener('data', (bytes: Uint8Array) => {
			this.countBytes(bytes.length);
		});
	}

	/** Starts monitoring the answer to the next request on this connection. */
	expectAnswer(progress: AnswerProgress): void {
		progress.isConnectionReused = this.progress !== undefined;
		this.progress = progress;
		this.bodyBytes = 0;
		this.framingBytes = 0;
	}

	private countBytes(length: number): void {
		const {progress} = this;
		if (!progress || progress.isComplete()) {
			// Bytes outside a request: the remainder would be parsed as the answer to the next request.
			this.socket.destroy();
			return;
		}

		const bodyBytes = progress.getBodyBytes();
		if (bodyBytes !== this.bodyBytes) {
			this.bodyBytes = bodyBytes;
			this.framingBytes = 0;
		}

		if (this.framingBytes > MAX_FRAMING_BYTES) {
			this.socket.destroy(new Error(`More than ${MAX_FRAMING_BYTES} bytes brought nothing of an answer.`));
			return;
		}

		progress.recordReceived(length);
		// Whether these bytes belong to the body is only known when the next ones arrive.
		this.framingBytes += length;
	}
}
