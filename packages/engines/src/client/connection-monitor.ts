import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Bytes in a row that may bring nothing of an answer's body. A head has at most 16 KiB, and some interim answers may come before it; the parser alone would read these, empty lines and the digits of a chunk's size without end. */
export const MAX_FRAMING_BYTES = 65_536;

/** How far the answer to one request has arrived. */
export class AnswerProgress {
	private message?: IncomingMessage;
	private takenBytes = 0;

	/** Takes the final head. */
	start(message: IncomingMessage): void {
		this.message = message;
	}

	/** The body in pieces as they arrive. */
	async * readBody(message: IncomingMessage): AsyncGenerator<Uint8Array> {
		for await (const piece of message as AsyncIterable<Uint8Array>) {
			this.takenBytes += piece.length;
			yield piece;
		}
	}

	/** Whether the end of the answer has arrived, whether it has been read or not. */
	isComplete(): boolean {
		return this.message?.complete ?? false;
	}

	/** Bytes of the body that have arrived, whether they have been read or not. */
	getBodyBytes(): number {
		return this.takenBytes + (this.message?.readableLength ?? 0);
	}
}

/** Closes a connection to a target on which bytes arrive that belong to no request or bring no answer on; it listens for as long as the connection is open. */
export class ConnectionMonitor {
	private progress?: AnswerProgress;
	private bodyBytes = 0;
	private framingBytes = 0;

	constructor(private readonly socket: Socket) {
		// An error concerns the exchange under way, which hears of it by itself; between two exchanges nobody listens, and the error would end the process.
		socket.on('error', () => undefined);
		// The parser must not have taken the bytes yet, so that they are not counted as part of the body.
		socket.prependListener('data', (bytes: Uint8Array) => {
			this.count(bytes.length);
		});
	}

	/** Expects the answer to a further request. */
	expectAnswer(progress: AnswerProgress): void {
		this.progress = progress;
		this.bodyBytes = 0;
		this.framingBytes = 0;
	}

	private count(length: number): void {
		const {progress} = this;
		if (!progress || progress.isComplete()) {
			// Bytes that belong to no request; their rest would be taken for the answer to the next one.
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

		// Whether these bytes bring the body on is known only when the next ones arrive.
		this.framingBytes += length;
	}
}
