import {SHRINK_PERIOD_MS, USE_GAP_MS, USE_SMOOTHING_MS} from './constants.js';

type Sample = {readonly atMs: number; readonly slots: number};

/** The slots that the demand of a zone takes, over the last waves of traffic. */
export class ZoneUse {
	private samples: Sample[] = [];
	private startedMs = 0;

	/** Takes the demand of this moment, smoothed over less than a wave. */
	add(atMs: number, slots: number): void {
		const last = this.samples.at(-1);
		if (!last || atMs - last.atMs > USE_GAP_MS) {
			this.startedMs = atMs;
			this.samples = [{atMs, slots}];
			return;
		}

		const weight = 1 - Math.exp((last.atMs - atMs) / USE_SMOOTHING_MS);
		this.samples.push({atMs, slots: last.slots + (weight * (slots - last.slots))});
		if (atMs - (this.samples[0]?.atMs ?? atMs) > SHRINK_PERIOD_MS) {
			this.samples.shift();
		}
	}

	/** Time for which the use has been measured without a gap. */
	getMeasuredMs(): number {
		return (this.samples.at(-1)?.atMs ?? 0) - this.startedMs;
	}

	/** Returns the largest use of the last period. */
	getPeak(periodMs: number): number {
		return Math.max(0, ...this.getRecent(periodMs));
	}

	/** Returns the mean use of the last period. */
	getMean(periodMs: number): number {
		const recent = this.getRecent(periodMs);
		return recent.reduce((sum, slots) => sum + slots, 0) / Math.max(1, recent.length);
	}

	private getRecent(periodMs: number): readonly number[] {
		const oldestMs = (this.samples.at(-1)?.atMs ?? 0) - periodMs;
		return this.samples.filter(({atMs}) => atMs >= oldestMs).map(({slots}) => slots);
	}
}
