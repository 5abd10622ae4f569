import type {Clock} from '@egretrill/common';
import {
	STREAM_END_DEADLINE_MS, STREAM_HEARTBEAT_DEADLINE_MS, STREAM_PROGRESS_DEADLINE_MS, STREAM_WATCHDOG_INTERVAL_MS,
} from '../constants.js';

/** Ends a stream whose connection has gone silent, or whose engine makes no progress. */
export class StreamWatchdog {
	private pausedMs: number | undefined;
	private lastByteMs: number;
	private lastProgressMs: number;
	private doneMs: number | undefined;
	private cause: 'connection-silent' | 'no-progress' | 'no-end' | undefined;
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly clock: Clock, private readonly stop: AbortController) {
		this.lastByteMs = clock.now();
		this.lastProgressMs = clock.now();
		this.timer = setInterval(() => {
			this.check();
		}, STREAM_WATCHDOG_INTERVAL_MS);
	}

	/** Stops judging the engine while the caller is slow to take what has arrived. */
	pause(): void {
		this.pausedMs = this.clock.now();
	}

	/** Judges the engine again: silence counts from now, missing progress from the last part of the answer, without the pause. */
	resume(): void {
		const now = this.clock.now();
		this.lastByteMs = now;
		this.lastProgressMs += now - (this.pausedMs ?? now);
		this.pausedMs = undefined;
	}

	/** Notes bytes of any kind, heartbeats included. */
	recordBytes(): void {
		this.lastByteMs = this.clock.now();
	}

	/** Notes a part of the answer. */
	recordProgress(): void {
		this.lastProgressMs = this.clock.now();
	}

	/** Notes the end marker, which the end of the answer has to follow soon. */
	recordDone(): void {
		this.doneMs ??= this.clock.now();
	}

	getCause(): string | undefined {
		return this.cause;
	}

	close(): void {
		clearInterval(this.timer);
	}

	private check(): void {
		if (this.pausedMs !== undefined) {
			return;
		}

		const now = this.clock.now();
		if (now - this.lastByteMs > STREAM_HEARTBEAT_DEADLINE_MS) {
			this.cause = 'connection-silent';
		} else if (now - this.lastProgressMs > STREAM_PROGRESS_DEADLINE_MS) {
			this.cause = 'no-progress';
		} else if (this.doneMs !== undefined && now - this.doneMs > STREAM_END_DEADLINE_MS) {
			this.cause = 'no-end';
		}

		if (this.cause !== undefined) {
			this.stop.abort();
		}
	}
}
