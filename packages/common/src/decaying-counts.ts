import type {Clock} from './clock.js';

type Count = {readonly value: number; readonly atMs: number};

const MS_PER_SECOND = 1000;

/** Counts by name that decay exponentially with the given time constant. */
export class DecayingCounts {
	private readonly counts = new Map<string, Count>();

	constructor(private readonly clock: Clock, private readonly timeConstantMs: number) {}

	add(name: string, amount: number): void {
		this.counts.set(name, {value: this.get(name) + amount, atMs: this.clock.now()});
	}

	get(name: string): number {
		const count = this.counts.get(name);
		return count ? count.value * Math.exp((count.atMs - this.clock.now()) / this.timeConstantMs) : 0;
	}

	/** Forgets the counts that have decayed below a minimum. */
	removeBelow(minimum: number): void {
		for (const name of this.counts.keys()) {
			if (this.get(name) < minimum) {
				this.counts.delete(name);
			}
		}
	}

	getPerSecond(name: string): number {
		return this.get(name) * MS_PER_SECOND / this.timeConstantMs;
	}
}
