import type {Clock} from '@egretrill/common';
import {
	STREAM_END_DEADLINE_MS, STREAM_HEARTBEAT_DEADLINE_MS, STREAM_PROGRESS_DEADLINE_MS, STREAM_WATCHDOG_INTERVAL_MS,
} from '../constants.js';

/** A longer time between two checks shows that this host itself stood still. */
const MAX_CHECK_INTERVAL_MS = 2 * STREAM_WATCHDOG_INTERVAL_MS;

/** Aborts a stream whose connection is silent, whose engine makes no progress, or that does not end after its end marker. */
export class StreamWatchdog {
	private pausedMs: number | undefined;
	private lastByteMs: number;
	private lastProgressMs: number;
	private lastCheckMs: number;
	private doneMs: number | undefined;
	private cause: 'connection-silent' | 'no-progress' | 'no-end' | undefined;
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly clock: Clock, private readonly stop: AbortController) {
		this.lastByteMs = clock.now();
		this.lastProgressMs = clock.now();
		this.lastCheckMs = clock.now();
		this.timer = setInterval(() => {
			this.check();
		}, STREAM_WATCHDOG_INTERVAL_MS);
	}

	/** Suspends the deadlines while the caller is slow to read what was received. */
	pause(): void {
		this.pausedMs = this.clock.now();
	}

	/** Resumes the deadlines: silence is measured from now, progress from the last chunk, excluding the pause. */
	resume(): void {
		const now = this.clock.now();
		this.lastByteMs = now;
		this.lastProgressMs += now - (this.pausedMs ?? now);
		this.pausedMs = undefined;
	}

	/** Records received bytes of any kind, including heartbeats. */
	recordBytes(): void {
		this.lastByteMs = this.clock.now();
	}

	/** Records a received part of the answer. */
	recordProgress(): void {
		this.lastProgressMs = this.clock.now();
	}

	/** Records the end marker; the end of the HTTP answer must follow within a second. */
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
		const now = this.clock.now();
		const sinceLastCheckMs = now - this.lastCheckMs;
		this.lastCheckMs = now;
		// After a standstill of this host its timers fire before what arrived meanwhile is read, so the deadlines are checked only the next time.
		if (this.pausedMs !== undefined || sinceLastCheckMs > MAX_CHECK_INTERVAL_MS) {
			return;
		}

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
