import type {IncomingMessage} from 'node:http';
import {finished} from 'node:stream';

/** Takes what has arrived of a message's body. Node's own iterator creates several promises for each chunk. */
export class MessageReader {
	private end: {readonly error: Error | undefined} | undefined;
	private wake: (() => void) | undefined;
	private readonly stopWatching: () => void;

	constructor(private readonly message: IncomingMessage) {
		const onReadable = (): void => {
			this.wake?.();
		};

		message.on('readable', onReadable);
		const stopFinished = finished(message, {writable: false}, err => {
			this.end = {error: err ?? undefined};
			this.wake?.();
		});
		this.stopWatching = () => {
			message.off('readable', onReadable);
			stopFinished();
		};
	}

	/** What has arrived and was not taken yet; undefined if there is nothing. */
	read(): Uint8Array | undefined {
		const chunk = this.message.destroyed ? null : this.message.read() as Uint8Array | undefined;
		return chunk ?? undefined;
	}

	/** Whether the message has ended and its body was taken completely; throws if it broke off. */
	hasEnded(): boolean {
		if (this.end?.error) {
			throw this.end.error;
		}

		return this.end !== undefined;
	}

	/** Resolves when more has arrived or the message has ended. */
	async waitForMore(): Promise<void> {
		if (this.end) {
			return;
		}

		await new Promise<void>(resolve => {
			this.wake = resolve;
		});
	}

	/** Stops reading; a message that has not ended is closed with its connection. */
	close(): void {
		this.stopWatching();
		this.message.destroy();
	}
}
