import type {Clock} from '@egretrill/common';
import {ENTRY_REPORT_TTL_MS} from './constants.js';

/** Number of running requests by target. */
export type TargetCounts = ReadonlyArray<readonly [targetId: string, count: number]>;

type HostCounts = {readonly counts: ReadonlyMap<string, number>; readonly reportedMs: number};

/** Running requests at each target, summed over the reports of the entry hosts. The sums are updated incrementally, since adding up all hosts at each report would take time quadratic in their number. */
export class RunningCounts {
	/** Ordered by the time of the last report, oldest first. */
	private readonly countsByHost = new Map<string, HostCounts>();
	private readonly sums = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the running requests of a host. */
	update(hostId: string, running: TargetCounts): void {
		this.remove(hostId);
		const counts = new Map<string, number>();
		for (const [targetId, count] of running) {
			counts.set(targetId, (counts.get(targetId) ?? 0) + count);
		}

		this.countsByHost.set(hostId, {counts, reportedMs: this.clock.now()});
		this.addToSums(counts, 1);
	}

	/** Running requests of all hosts with a recent report, except one host. */
	getOthers(hostId: string): Array<[targetId: string, count: number]> {
		this.removeExpired();
		const own = this.countsByHost.get(hostId)?.counts;
		const others: Array<[targetId: string, count: number]> = [];
		for (const [targetId, sum] of this.sums) {
			const count = sum - (own?.get(targetId) ?? 0);
			if (count > 0) {
				others.push([targetId, count]);
			}
		}

		return others;
	}

	/** Running requests at each target, summed over all hosts with a recent report. */
	getSums(): ReadonlyMap<string, number> {
		this.removeExpired();
		return this.sums;
	}

	/** Whether each of the hosts has reported recently. */
	hasAll(hostIds: readonly string[]): boolean {
		this.removeExpired();
		return hostIds.every(id => this.countsByHost.has(id));
	}

	private removeExpired(): void {
		const oldestMs = this.clock.now() - ENTRY_REPORT_TTL_MS;
		for (const [hostId, {reportedMs}] of this.countsByHost) {
			if (reportedMs >= oldestMs) {
				break;
			}

			this.remove(hostId);
		}
	}

	private remove(hostId: string): void {
		const previous = this.countsByHost.get(hostId);
		if (previous) {
			this.addToSums(previous.counts, -1);
			this.countsByHost.delete(hostId);
		}
	}

	private addToSums(counts: ReadonlyMap<string, number>, sign: 1 | -1): void {
		for (const [targetId, count] of counts) {
			const sum = (this.sums.get(targetId) ?? 0) + (sign * count);
			if (sum > 0) {
				this.sums.set(targetId, sum);
			} else {
				this.sums.delete(targetId);
			}
		}
	}
}
