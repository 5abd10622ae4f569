import type {Clock} from '@egretrill/common';
import {WAITING_TTL_MS} from './constants.js';

/** Requests that wait at one host for a copy of a model, and those that found all copies full. */
export type WaitingCounts = ReadonlyArray<readonly [service: string, model: string, waiting: number, crowded: number]>;

/** The hosts' reports of waiting requests, each valid for a few seconds. */
export class WaitingReports {
	private readonly reports = new Map<string, {readonly counts: WaitingCounts; readonly receivedAtMs: number}>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the report of a host. */
	record(hostId: string, counts: WaitingCounts): void {
		this.reports.set(hostId, {counts, receivedAtMs: this.clock.now()});
	}

	/** Sums of all hosts by model. */
	sum(service: string): ReadonlyMap<string, {readonly waiting: number; readonly crowded: number}> {
		const sums = new Map<string, {readonly waiting: number; readonly crowded: number}>();
		const minReceivedAtMs = this.clock.now() - WAITING_TTL_MS;
		for (const {counts, receivedAtMs} of this.reports.values()) {
			for (const [countedService, model, waiting, crowded] of receivedAtMs >= minReceivedAtMs ? counts : []) {
				if (countedService === service) {
					const sum = sums.get(model) ?? {waiting: 0, crowded: 0};
					sums.set(model, {waiting: sum.waiting + waiting, crowded: sum.crowded + crowded});
				}
			}
		}

		return sums;
	}
}
