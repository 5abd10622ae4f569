import {MAX_STORE_BURST_LOADS, STORE_BURST_S} from './constants.js';

const MS_PER_SECOND = 1000;

/**
 * Loads that the weight store may start. Its rate accumulates for a short time, so that several models that are missing at once are loaded by one plan and plans at
 * long intervals use the whole rate. Any 5 s hold at most 5 times the rate and three loads.
 */
export class StoreBudget {
	private loads = 1;
	private updatedAtMs: number | undefined;

	/** Number of loads that may start now. */
	getLoads(loadsPerSecond: number, nowMs: number): number {
		this.update(loadsPerSecond, nowMs);
		return loadsPerSecond > 0 ? Math.floor(this.loads) : Number.POSITIVE_INFINITY;
	}

	/** Time until one more load may start. */
	getWaitMs(loadsPerSecond: number, nowMs: number): number {
		this.update(loadsPerSecond, nowMs);
		return loadsPerSecond > 0 ? Math.max(0, 1 - this.loads) * MS_PER_SECOND / loadsPerSecond : 0;
	}

	recordLoad(): void {
		this.loads -= 1;
	}

	private update(loadsPerSecond: number, nowMs: number): void {
		if (loadsPerSecond <= 0) {
			// Loads without a limit do not count once a configuration sets one.
			this.loads = 1;
		}

		const maxLoads = Math.min(MAX_STORE_BURST_LOADS, Math.max(1, loadsPerSecond * STORE_BURST_S));
		const addedLoads = (nowMs - (this.updatedAtMs ?? nowMs)) * loadsPerSecond / MS_PER_SECOND;
		this.loads = Math.min(maxLoads, this.loads + addedLoads);
		this.updatedAtMs = nowMs;
	}
}
