import type {Clock} from './clock.js';

type Report = {readonly counts: ReadonlyMap<string, number>; readonly seenMs: number};

/** Sums of whole numbers that hosts report, each report until the next one or for a time. The sums change with each report, since a sum over all hosts for each report costs the square of their number. */
export class ReportedSums {
	/** The host that reported last comes last. */
	private readonly reports = new Map<string, Report>();
	private readonly sums = new Map<string, number>();

	constructor(private readonly clock: Clock, private readonly ttlMs: number) {}

	/** Replaces what a host has reported. */
	note(hostId: string, reported: Iterable<readonly [name: string, count: number]>): void {
		this.drop(hostId);
		const counts = new Map<string, number>();
		for (const [name, count] of reported) {
			counts.set(name, (counts.get(name) ?? 0) + count);
		}

		this.reports.set(hostId, {counts, seenMs: this.clock.now()});
		this.add(counts, 1);
	}

	/** Sum of one name over all hosts that reported lately. */
	get(name: string): number {
		this.dropSilent();
		return this.sums.get(name) ?? 0;
	}

	/** Sums that are not 0 over all hosts that reported lately, except one. */
	getOthers(hostId: string): Array<[name: string, count: number]> {
		this.dropSilent();
		const own = this.reports.get(hostId)?.counts;
		const others: Array<[name: string, count: number]> = [];
		for (const [name, sum] of this.sums) {
			const count = sum - (own?.get(name) ?? 0);
			if (count > 0) {
				others.push([name, count]);
			}
		}

		return others;
	}

	private dropSilent(): void {
		const oldestMs = this.clock.now() - this.ttlMs;
		for (const [hostId, {seenMs}] of this.reports) {
			if (seenMs >= oldestMs) {
				break;
			}

			this.drop(hostId);
		}
	}

	private drop(hostId: string): void {
		const known = this.reports.get(hostId);
		if (known) {
			this.add(known.counts, -1);
			this.reports.delete(hostId);
		}
	}

	private add(counts: ReadonlyMap<string, number>, sign: 1 | -1): void {
		for (const [name, count] of counts) {
			const sum = (this.sums.get(name) ?? 0) + (sign * count);
			if (sum > 0) {
				this.sums.set(name, sum);
			} else {
				this.sums.delete(name);
			}
		}
	}
}
