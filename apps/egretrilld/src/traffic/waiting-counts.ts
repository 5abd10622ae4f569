import type {Clock} from '@egretrill/common';
import {ENTRY_REPORT_TTL_MS} from './constants.js';
import type {EntryReport} from './methods.js';

/** Requests that wait for a slot, as the entry hosts last reported them. */
export class WaitingCounts {
	private readonly countsByHost = new Map<string, {readonly counts: EntryReport['waiting']; readonly reportedMs: number}>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the waiting requests of a host. */
	update(hostId: string, counts: EntryReport['waiting']): void {
		this.countsByHost.set(hostId, {counts, reportedMs: this.clock.now()});
	}

	/** Sums by service the requests for which all copies of a model were full. */
	getByService(): ReadonlyMap<string, number> {
		const oldestMs = this.clock.now() - ENTRY_REPORT_TTL_MS;
		const sums = new Map<string, number>();
		for (const [hostId, {counts, reportedMs}] of this.countsByHost) {
			if (reportedMs < oldestMs) {
				this.countsByHost.delete(hostId);
				continue;
			}

			for (const [service, _model, _withoutCopy, crowded] of counts) {
				sums.set(service, (sums.get(service) ?? 0) + crowded);
			}
		}

		return sums;
	}
}
