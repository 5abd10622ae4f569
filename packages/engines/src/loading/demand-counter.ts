import type {Clock} from '@egretrill/common';
import {LOAD_DEMAND_MS} from './constants.js';

type Count = {value: number; atMs: number};

/** Counts arrivals by name; older ones weigh less. */
export class DemandCounter {
	private readonly counts = new Map<string, Count>();

	constructor(private readonly clock: Clock) {}

	add(name: string, amount: number): void {
		const nowMs = this.clock.now();
		this.counts.set(name, {value: this.decay(name, nowMs) + amount, atMs: nowMs});
	}

	getPerSecond(name: string): number {
		return this.decay(name, this.clock.now()) * 1000 / LOAD_DEMAND_MS;
	}

	private decay(name: string, nowMs: number): number {
		const count = this.counts.get(name);
		return count ? count.value * Math.exp((count.atMs - nowMs) / LOAD_DEMAND_MS) : 0;
	}
}
