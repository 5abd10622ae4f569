import type {Clock} from '@egretrill/common';
import {MAX_STORE_BURST_LOADS, STORE_WINDOW_MS} from './constants.js';

const MS_PER_SECOND = 1000;

/** Starts of loads from the weight store. Unloads of different duration bring loads together that were planned seconds apart; those beyond the rate wait. */
export class StoreStarts {
	/** Times of the starts within the window, the earliest first. */
	private startsMs: number[] = [];

	constructor(private readonly clock: Clock) {}

	/** Waits until a load may start and counts it, or until the signal aborts. */
	async wait(loadsPerSecond: number, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const waitMs = this.getWaitMs(loadsPerSecond);
			if (waitMs <= 0) {
				this.startsMs.push(this.clock.now());
				return;
			}

			await this.clock.sleep(waitMs, signal);
		}
	}

	private getWaitMs(loadsPerSecond: number): number {
		const nowMs = this.clock.now();
		this.startsMs = this.startsMs.filter(startMs => nowMs - startMs < STORE_WINDOW_MS);
		const maxStarts = Math.floor(loadsPerSecond * STORE_WINDOW_MS / MS_PER_SECOND) + MAX_STORE_BURST_LOADS;
		const isFull = loadsPerSecond > 0 && this.startsMs.length >= maxStarts;
		return isFull ? this.startsMs[0]! + STORE_WINDOW_MS - nowMs : 0;
	}
}
