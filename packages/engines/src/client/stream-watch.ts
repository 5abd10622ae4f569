import type {Clock} from '@egretrill/common';
import {STREAM_HEARTBEAT_DEADLINE_MS, STREAM_PROGRESS_DEADLINE_MS, STREAM_WATCH_INTERVAL_MS} from '../constants.js';

/** Ends a stream whose connection has gone silent, or whose engine makes no progress. */
export class StreamWatch {
	private isPaused = false;
	private lastByteMs: number;
	private lastProgressMs: number;
	private cause: 'connection-silent' | 'no-progress' | undefined;
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly clock: Clock, private readonly stop: AbortController) {
		this.lastByteMs = clock.now();
		this.lastProgressMs = clock.now();
		this.timer = setInterval(() => {
			this.check();
		}, STREAM_WATCH_INTERVAL_MS);
	}

	/** Stops judging the engine while the caller is slow to take what has arrived. */
	pause(): void {
		this.isPaused = true;
	}

	/** Judges the engine again: silence counts from now, missing progress still from the last part of the answer. */
	resume(): void {
		this.isPaused = false;
		this.lastByteMs = this.clock.now();
	}

	/** Notes bytes of any kind, heartbeats included. */
	noteBytes(): void {
		this.lastByteMs = this.clock.now();
	}

	/** Notes a part of the answer. */
	noteProgress(): void {
		this.lastProgressMs = this.clock.now();
	}

	getCause(): string | undefined {
		return this.cause;
	}

	close(): void {
		clearInterval(this.timer);
	}

	private check(): void {
		if (this.isPaused) {
			return;
		}

		const now = this.clock.now();
		if (now - this.lastByteMs > STREAM_HEARTBEAT_DEADLINE_MS) {
			this.cause = 'connection-silent';
		} else if (now - this.lastProgressMs > STREAM_PROGRESS_DEADLINE_MS) {
			this.cause = 'no-progress';
		}

		if (this.cause !== undefined) {
			this.stop.abort();
		}
	}
}
