import {HIGH_DURATION_QUANTILE, MAX_DURATION_ROUTES, MAX_DURATIONS_PER_ROUTE} from './constants.js';
import type {ObservedDurations} from './decide-at-stop.js';

/** Remembers how long the latest answered requests of each route took at their targets. */
export class RouteDurations {
	private readonly byRoute = new Map<string, number[]>();

	record(route: string, durationMs: number): void {
		const durations = this.byRoute.get(route) ?? [];
		durations.push(durationMs);
		if (durations.length > MAX_DURATIONS_PER_ROUTE) {
			durations.shift();
		}

		// The least recently used route comes first.
		this.byRoute.delete(route);
		this.byRoute.set(route, durations);
		const [oldest] = this.byRoute.keys();
		if (this.byRoute.size > MAX_DURATION_ROUTES && oldest !== undefined) {
			this.byRoute.delete(oldest);
		}
	}

	getObserved(route: string): ObservedDurations {
		const sorted = (this.byRoute.get(route) ?? []).toSorted((a, b) => a - b);
		const highIndex = Math.ceil(sorted.length * HIGH_DURATION_QUANTILE) - 1;
		return {count: sorted.length, highMs: sorted[highIndex] ?? 0, longestMs: sorted.at(-1) ?? 0};
	}
}
