import type {Clock} from '@egretrill/common';

/** When the pieces of a streamed answer were passed on, for logs. */
export class ChunkTimes {
	private firstAtMs: number | undefined;
	private lastAtMs = 0;
	private longestMs = 0;

	constructor(private readonly clock: Clock, private readonly startedMs: number) {}

	recordChunk(): void {
		const nowMs = this.clock.now();
		this.longestMs = this.firstAtMs === undefined ? 0 : Math.max(this.longestMs, nowMs - this.lastAtMs);
		this.firstAtMs ??= nowMs;
		this.lastAtMs = nowMs;
	}

	/** Time from the arrival of the request to its first piece; undefined before there is one. */
	getFirstMs(): number | undefined {
		return this.firstAtMs === undefined ? undefined : this.firstAtMs - this.startedMs;
	}

	/** Longest time between two pieces. */
	getLongestPauseMs(): number {
		return this.longestMs;
	}
}
