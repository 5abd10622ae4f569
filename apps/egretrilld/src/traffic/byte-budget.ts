import type {Clock} from '@egretrill/common';
import {LOG_BURST_BYTES, LOG_BYTES_PER_SECOND} from './constants.js';

/** How many bytes of decision lines may be written now. */
export class ByteBudget {
	private leftBytes = LOG_BURST_BYTES;
	private filledMs: number;

	constructor(private readonly clock: Clock) {
		this.filledMs = clock.now();
	}

	/** Negative while more was written than the rate allows. */
	getRemaining(): number {
		const nowMs = this.clock.now();
		this.leftBytes = Math.min(LOG_BURST_BYTES, this.leftBytes + ((nowMs - this.filledMs) * LOG_BYTES_PER_SECOND / 1000));
		this.filledMs = nowMs;
		return this.leftBytes;
	}

	spend(bytes: number): void {
		this.leftBytes = this.getRemaining() - bytes;
	}
}
