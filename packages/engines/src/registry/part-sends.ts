import {MAX_CACHED_PARTS, PART_SENDS_MS, SHARED_PART_SENDS} from './constants.js';

/** Counts how often this host sends each prompt part to any target. */
export class PartSends {
	/** Decayed counts by chain of parts, least recently sent first. */
	private readonly counts = new Map<string, {readonly count: number; readonly updatedMs: number}>();

	record(chain: string, nowMs: number): void {
		const count = this.getCount(chain, nowMs) + 1;
		this.counts.delete(chain);
		this.counts.set(chain, {count, updatedMs: nowMs});
		const [oldest] = this.counts.keys();
		if (this.counts.size > MAX_CACHED_PARTS && oldest !== undefined) {
			this.counts.delete(oldest);
		}
	}

	/** Sends per millisecond beyond those that a part of a single session may have. */
	getSharedRate(chain: string, nowMs: number): number {
		return Math.max(0, this.getCount(chain, nowMs) - SHARED_PART_SENDS) / PART_SENDS_MS;
	}

	private getCount(chain: string, nowMs: number): number {
		const sends = this.counts.get(chain);
		return sends ? sends.count * Math.exp((sends.updatedMs - nowMs) / PART_SENDS_MS) : 0;
	}
}
