import {SPARSE_COLD_RATIO} from './constants.js';

const MS_PER_SECOND = 1000;

function filterLastSecond(times: readonly number[], nowMs: number): readonly number[] {
	return times.filter(timeMs => nowMs - timeMs < MS_PER_SECOND);
}

/** Time between two sends to a cold target of which this host may take less than one request a second. */
function getIntervalMs(rate: number): number {
	return rate > 0 && rate < 1 ? MS_PER_SECOND / (rate * SPARSE_COLD_RATIO) : 0;
}

/** Sends of this host to a cold target, of which it may take `rate` requests a second. */
export class ColdSends {
	/** Send times of the last second, only recorded while the target is cold. */
	private times: readonly number[] = [];
	/** Time of the next send while this host's share of the target is less than one request a second. */
	private nextMs = 0;

	constructor(nowMs: number, rate: number, random: number) {
		this.restart(nowMs, rate, random);
	}

	hasCapacity(nowMs: number, rate: number): boolean {
		if (rate <= 0) {
			return true;
		}

		return rate < 1 ? nowMs >= this.nextMs : filterLastSecond(this.times, nowMs).length < Math.floor(rate);
	}

	record(nowMs: number, rate: number, isCold: boolean): void {
		this.times = isCold ? [...filterLastSecond(this.times, nowMs), nowMs] : [];
		this.nextMs = nowMs + getIntervalMs(rate);
	}

	/** Begins anew at a target that was warm and is cold again. The hosts begin at random times, since together they could send a cold target one request each at once. */
	restart(nowMs: number, rate: number, random: number): void {
		this.nextMs = nowMs + (random * getIntervalMs(rate));
	}
}
