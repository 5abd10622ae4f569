import type {Clock} from '@egretrill/common';
import {
	EARLY_SLICE_MS, MAX_EARLY_SLICES, MAX_REPORTED_WINDOWS, MAX_RETAINED_WINDOWS, MAX_WINDOW_CUSTOMERS,
} from './constants.js';
import {FollowedTime} from './fleet-time.js';
import type {UsagePlan, UsageReport, UsageWindow} from './types.js';

type Counts = Map<string, number>;

/** Returns the counts under a key; drops those of the lowest keys beyond the limit. */
function getCounts(countsByKey: Map<number, Counts>, key: number, limit: number): Counts {
	const existing = countsByKey.get(key);
	if (existing) {
		return existing;
	}

	const created: Counts = new Map();
	countsByKey.set(key, created);
	if (countsByKey.size > limit) {
		countsByKey.delete(Math.min(...countsByKey.keys()));
	}

	return created;
}

function addCount(counts: Counts, customer: string, amount: number): void {
	if (counts.has(customer) || counts.size < MAX_WINDOW_CUSTOMERS) {
		counts.set(customer, (counts.get(customer) ?? 0) + amount);
	}
}

/** Counts at an entry host, by window, the requests of each customer that engines began to run, until the leader says that a window is settled. */
export class UsageCounter {
	private readonly time: FollowedTime;
	private readonly windows = new Map<number, Counts>();
	/** Counts from before this host knew the time of the fleet, by slice of its own clock. */
	private readonly early = new Map<number, Counts>();
	/** Length of a window; undefined until a leader has told the time of the fleet. */
	private windowMs: number | undefined;
	private openWindow = 0;

	constructor(private readonly clock: Clock, private readonly getTimeOfDayMs: () => number) {
		this.time = new FollowedTime(clock);
	}

	/** Counts a request that an engine has begun to run. */
	record(customer: string): void {
		const nowMs = this.clock.now();
		if (this.windowMs === undefined) {
			addCount(getCounts(this.early, Math.floor(nowMs / EARLY_SLICE_MS), MAX_EARLY_SLICES), customer, 1);
		} else {
			addCount(getCounts(this.windows, this.updateOpenWindow(this.windowMs), MAX_RETAINED_WINDOWS), customer, 1);
		}
	}

	/** Creates the report of a poll: the oldest windows that are not settled, and the open one. */
	createReport(): UsageReport {
		const timeOfDayMs = this.getTimeOfDayMs();
		if (this.windowMs === undefined) {
			return {timeOfDayMs, windows: []};
		}

		const open = this.updateOpenWindow(this.windowMs);
		const ended = [...this.windows.keys()].filter(window => window < open).toSorted((first, second) => first - second);
		const reported = [...ended.slice(0, MAX_REPORTED_WINDOWS), open];
		return {
			timeOfDayMs,
			completeBefore: ended[MAX_REPORTED_WINDOWS] ?? open,
			windows: reported.flatMap(window => this.listWindow(window)),
		};
	}

	/** Follows the leader's answer, at its arrival. A leader without a plan does not know the time yet or is of an earlier build; counts are then retained. */
	follow(plan: UsagePlan | undefined): void {
		if (!plan) {
			return;
		}

		this.time.follow(plan.fleetTimeMs);
		this.windowMs = plan.windowMs;
		this.assignEarly(plan.windowMs);
		for (const window of this.windows.keys()) {
			if (window <= plan.settledThrough) {
				this.windows.delete(window);
			}
		}
	}

	private listWindow(window: number): UsageWindow[] {
		const counts = this.windows.get(window);
		return counts ? [{window, counts: [...counts]}] : [];
	}

	private assignEarly(windowMs: number): void {
		for (const [slice, counts] of this.early) {
			const window = this.getWindow(slice * EARLY_SLICE_MS, windowMs);
			for (const [customer, amount] of counts) {
				addCount(getCounts(this.windows, window, MAX_RETAINED_WINDOWS), customer, amount);
			}
		}

		this.early.clear();
	}

	private getWindow(clockMs: number, windowMs: number): number {
		return Math.max(0, Math.floor((this.time.at(clockMs) ?? 0) / windowMs));
	}

	/** A window that was reported as ended stays so when the time of the fleet is corrected by less than a window. */
	private updateOpenWindow(windowMs: number): number {
		const current = this.getWindow(this.clock.now(), windowMs);
		this.openWindow = this.openWindow === current + 1 ? this.openWindow : current;
		return this.openWindow;
	}
}
