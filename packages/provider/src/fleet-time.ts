import type {Clock} from '@egretrill/common';
import {
	MEDIAN_INTERVAL_MS, TIME_SAMPLE_TTL_MS, TIME_SAMPLES, TIME_TRUST_MS,
} from './constants.js';

type OffsetSample = {readonly offsetMs: number; readonly atMs: number};

function getMedian(values: readonly number[]): number | undefined {
	return values.toSorted((first, second) => first - second)[Math.floor(values.length / 2)];
}

/** The time of the fleet at the leader: the median of the wall-clock times of the hosts that poll it, since the clocks of some jump by seconds. */
export class FleetTime {
	private readonly samples = new Map<string, OffsetSample>();
	private readonly startedMs: number;
	private offsetMs: number | undefined;
	private computedMs = Number.NEGATIVE_INFINITY;

	/** `countHosts`: number of entry hosts in the log. */
	constructor(private readonly clock: Clock, private readonly countHosts: () => number) {
		this.startedMs = clock.now();
	}

	/** Takes the wall-clock time of a host at the arrival of its poll. */
	record(hostId: string, timeOfDayMs: number): void {
		const nowMs = this.clock.now();
		this.samples.set(hostId, {offsetMs: timeOfDayMs - nowMs, atMs: nowMs});
	}

	/** Returns the time of the fleet; undefined until enough hosts have polled. */
	now(): number | undefined {
		const nowMs = this.clock.now();
		if (nowMs - this.computedMs >= MEDIAN_INTERVAL_MS) {
			this.computedMs = nowMs;
			this.offsetMs = this.computeOffset(nowMs) ?? this.offsetMs;
		}

		return this.offsetMs === undefined ? undefined : nowMs + this.offsetMs;
	}

	private computeOffset(nowMs: number): number | undefined {
		for (const [id, {atMs}] of this.samples) {
			if (nowMs - atMs > TIME_SAMPLE_TTL_MS) {
				this.samples.delete(id);
			}
		}

		const isTrusted = 2 * this.samples.size > this.countHosts() || nowMs - this.startedMs >= TIME_TRUST_MS;
		return isTrusted ? getMedian([...this.samples.values()].map(({offsetMs}) => offsetMs)) : undefined;
	}
}

/** The time of the fleet at an entry host, which goes on with its own clock between the leader's answers. */
export class FollowedTime {
	private offsets: number[] = [];

	constructor(private readonly clock: Clock) {}

	/** Takes the time of the fleet at the arrival of an answer. */
	follow(fleetTimeMs: number): void {
		this.offsets = [...this.offsets, fleetTimeMs - this.clock.now()].slice(-TIME_SAMPLES);
	}

	/** Returns the time of the fleet at a time of this host's clock; undefined before the first answer. A delayed answer makes it seem earlier, so the largest of several offsets is the most accurate. */
	at(clockMs: number): number | undefined {
		return this.offsets.length === 0 ? undefined : clockMs + Math.max(...this.offsets);
	}
}
