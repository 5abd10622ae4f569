import type {Clock} from '@egretrill/common';
import {LOG_BURST_BYTES, LOG_BYTES_PER_SECOND} from './constants.js';

/** Token bucket that limits the bytes of decision lines. */
export class ByteBudget {
	private remainingBytes = LOG_BURST_BYTES;
	private refilledMs: number;

	constructor(private readonly clock: Clock) {
		this.refilledMs = clock.now();
	}

	/** Bytes that may be written now; negative while more was written than the rate allows. */
	getRemaining(): number {
		const nowMs = this.clock.now();
		this.remainingBytes = Math.min(LOG_BURST_BYTES, this.remainingBytes + ((nowMs - this.refilledMs) * LOG_BYTES_PER_SECOND / 1000));
		this.refilledMs = nowMs;
		return this.remainingBytes;
	}

	spend(bytes: number): void {
		this.remainingBytes = this.getRemaining() - bytes;
	}
}
