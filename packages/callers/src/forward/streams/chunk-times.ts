import type {Clock} from '@egretrill/common';

/** Timing of the relayed chunks of a streamed answer, for logs. */
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

	/** Time from the arrival of the request to the first chunk; undefined before the first chunk. */
	getFirstMs(): number | undefined {
		return this.firstAtMs === undefined ? undefined : this.firstAtMs - this.startedMs;
	}

	/** Time at which the first chunk arrived; undefined before it. */
	getFirstAtMs(): number | undefined {
		return this.firstAtMs;
	}

	/** Time at which the last chunk arrived. */
	getLastAtMs(): number {
		return this.lastAtMs;
	}

	/** Longest time between two chunks. */
	getLongestPauseMs(): number {
		return this.longestMs;
	}
}
