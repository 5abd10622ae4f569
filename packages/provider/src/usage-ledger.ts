import type {Clock} from '@egretrill/common';
import {
	AWAITED_HOST_TTL_MS, HOST_USAGE_TTL_MS, MAX_SETTLED_AT_ONCE, MAX_WINDOW_CUSTOMERS,
} from './constants.js';
import type {UsageCounts, UsageReport, UsageWindow} from './types.js';

type HostUsage = {
	readonly hostId: string;
	readonly completeBefore: number;
	readonly windows: ReadonlyMap<number, UsageCounts>;
	readonly reportedMs: number;
};

/** What decides which windows may be settled. */
export type SettleState = {
	readonly settledThrough: number;
	readonly fleetTimeMs: number;
	readonly windowMs: number;
	/** Time after the end of a window at which it is settled without the hosts that have not reported it; undefined while they are waited for in any case. */
	readonly waitMs: number | undefined;
	/** Entry hosts in the log. */
	readonly hostIds: readonly string[];
};

/** A window that may be settled, and whether all hosts have reported it. */
export type DueWindow = UsageWindow & {readonly isComplete: boolean};

/** The last reports of the entry hosts at the leader. */
export class UsageLedger {
	/** By host and start of its process: a host that restarts loses what its earlier process did not report, but not what it did. */
	private readonly usages = new Map<string, HostUsage>();
	private readonly lastStarts = new Map<string, string>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the counts of a process of an entry host. */
	record(hostId: string, startId: string, {completeBefore = 0, windows}: UsageReport): void {
		this.lastStarts.set(hostId, startId);
		this.usages.set(JSON.stringify([hostId, startId]), {
			hostId, completeBefore, windows: new Map(windows.map(({window, counts}) => [window, counts])), reportedMs: this.clock.now(),
		});
	}

	/** Returns the windows that may be settled now, in order: all hosts have reported past their end, or the time to wait for that is over. */
	listDue({settledThrough, fleetTimeMs, windowMs, waitMs, hostIds}: SettleState): readonly DueWindow[] {
		this.removeExpired();
		const windows = this.listWindows(settledThrough, Math.floor(fleetTimeMs / windowMs));
		const completeBefore = windows.length > 0 ? this.getCompleteBefore(hostIds) : 0;
		const due: DueWindow[] = [];
		for (const window of windows) {
			const isComplete = window < completeBefore;
			const isOverdue = waitMs !== undefined && fleetTimeMs >= ((window + 1) * windowMs) + waitMs;
			if ((!isComplete && !isOverdue) || due.length === MAX_SETTLED_AT_ONCE) {
				break;
			}

			due.push({window, counts: this.sumCounts(window), isComplete});
		}

		return due;
	}

	private listWindows(after: number, before: number): readonly number[] {
		const windows = new Set([...this.usages.values()].flatMap(usage => [...usage.windows.keys()]));
		return [...windows].filter(window => window > after && window < before).toSorted((first, second) => first - second);
	}

	/** Returns the first window that some host has not reported as ended. */
	private getCompleteBefore(hostIds: readonly string[]): number {
		const oldestMs = this.clock.now() - AWAITED_HOST_TTL_MS;
		const recent = [...this.usages.values()].filter(({reportedMs}) => reportedMs >= oldestMs).map(({hostId}) => hostId);
		const awaited = new Set([...hostIds, ...recent]);
		return Math.min(...[...awaited].map(hostId => this.usages.get(JSON.stringify([hostId, this.lastStarts.get(hostId)]))?.completeBefore ?? 0));
	}

	/** Sums the counts of a window over all hosts, sorted by customer; beyond what one entry of the log takes, the smallest are left out. */
	private sumCounts(window: number): UsageCounts {
		const sums = new Map<string, number>();
		for (const {windows} of this.usages.values()) {
			for (const [customer, count] of windows.get(window) ?? []) {
				sums.set(customer, (sums.get(customer) ?? 0) + count);
			}
		}

		const largest = sums.size > MAX_WINDOW_CUSTOMERS ? [...sums].toSorted(([, first], [, second]) => second - first).slice(0, MAX_WINDOW_CUSTOMERS) : [...sums];
		return largest.toSorted(([first], [second]) => first < second ? -1 : 1);
	}

	private removeExpired(): void {
		const oldestMs = this.clock.now() - HOST_USAGE_TTL_MS;
		for (const [key, {hostId, reportedMs}] of this.usages) {
			if (reportedMs < oldestMs) {
				this.usages.delete(key);
				if (key === JSON.stringify([hostId, this.lastStarts.get(hostId)])) {
					this.lastStarts.delete(hostId);
				}
			}
		}
	}
}
