import type {Writable} from 'node:stream';
import {SESSION_WRITE_AHEAD_BYTES} from '../constants.js';
import {SerialQueue} from '../serial-queue.js';

/** A frame and the number of bytes of its content. */
export type SizedFrame<Frame> = {readonly frame: Frame; readonly bytes: number};

/** Writes frames to a stream in their order, each once the other host has taken most of those before it. */
export class PacedWriter<Frame> {
	private readonly queue = new SerialQueue();
	private untakenBytes = 0;
	private hasEnded = false;
	private wakeWaiters = new Set<() => void>();

	constructor(private readonly stream: Writable) {
		stream.once('close', () => {
			this.end();
		});
	}

	/** Resolves once the frame is written or the stream has ended; the frame is created when its turn comes, and may be absent by then. */
	async send(createFrame: () => SizedFrame<Frame> | undefined): Promise<void> {
		await this.queue.run(async () => {
			await this.waitForRoom();
			const sized = this.hasEnded ? undefined : createFrame();
			if (sized) {
				this.write(sized);
			}
		});
	}

	/** Resolves when less than `SESSION_WRITE_AHEAD_BYTES` wait to be taken, or when the stream has ended. */
	async waitForRoom(): Promise<void> {
		while (this.untakenBytes >= SESSION_WRITE_AHEAD_BYTES && !this.hasEnded) {
			await new Promise<void>(resolve => {
				this.wakeWaiters.add(resolve);
			});
		}
	}

	/** Wakes all waiting tasks for good; a stream that was cancelled does not complete its last writes. */
	end(): void {
		this.hasEnded = true;
		this.wake();
	}

	private write({frame, bytes}: SizedFrame<Frame>): void {
		this.untakenBytes += bytes;
		this.stream.write(frame, () => {
			this.untakenBytes -= bytes;
			this.wake();
		});
	}

	private wake(): void {
		const woken = this.wakeWaiters;
		this.wakeWaiters = new Set();
		for (const wake of woken) {
			wake();
		}
	}
}
