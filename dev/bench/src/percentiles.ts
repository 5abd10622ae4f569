import {build} from 'hdr-histogram-js';

const STEPS_PER_MS = 1000;

/** Percentiles of durations in milliseconds. */
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number; readonly count: number};

/** Computes percentiles with a histogram of microseconds. */
export function getPercentiles(durationsMs: readonly number[]): Percentiles {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000 * STEPS_PER_MS, numberOfSignificantValueDigits: 3});
	for (const duration of durationsMs) {
		if (Number.isFinite(duration)) {
			histogram.recordValue(Math.max(0, Math.round(duration * STEPS_PER_MS)));
		}
	}

	const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / STEPS_PER_MS;
	return {
		p50: getMs(50), p95: getMs(95), p99: getMs(99), max: histogram.maxValue / STEPS_PER_MS, count: histogram.totalCount,
	};
}
