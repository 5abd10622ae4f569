import type {Clock} from '@egretrill/common';
import {ENTRY_REPORT_TTL_MS} from './constants.js';

/** Requests that run at each target. */
export type TargetCounts = ReadonlyArray<readonly [targetId: string, count: number]>;

type HostCounts = {readonly counts: ReadonlyMap<string, number>; readonly reportedMs: number};

/** Requests that run at each target, as the entry hosts report them. The sums change with each report, since a sum over all hosts for each report costs the square of their number. */
export class RunningCounts {
	/** The host that reported last comes last. */
	private readonly countsByHost = new Map<string, HostCounts>();
	private readonly sums = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	/** Replaces what a host has running. */
	update(hostId: string, running: TargetCounts): void {
		this.remove(hostId);
		const counts = new Map<string, number>();
		for (const [targetId, count] of running) {
			counts.set(targetId, (counts.get(targetId) ?? 0) + count);
		}

		this.countsByHost.set(hostId, {counts, reportedMs: this.clock.now()});
		this.addToSums(counts, 1);
	}

	/** Requests of all hosts that reported lately, except one. */
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
		const known = this.countsByHost.get(hostId);
		if (known) {
			this.addToSums(known.counts, -1);
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
