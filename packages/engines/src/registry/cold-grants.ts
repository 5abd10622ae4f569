import type {Clock} from '@egretrill/common';
import {COLD_GRANT_RATIO, COLD_GRANT_TTL_MS} from './constants.js';
import type {ColdWant} from './types.js';

/** Any second holds only sends that were granted in this time before its end. */
const WINDOW_MS = 1000 + COLD_GRANT_TTL_MS;

/** The leader's grants of sends to cold targets, for hosts that may take less than one request a second by themselves. */
export class ColdGrants {
	private readonly startedMs: number;
	/** Times of the grants in the window, by target. */
	private readonly grantedMs = new Map<string, readonly number[]>();

	constructor(private readonly clock: Clock) {
		this.startedMs = clock.now();
	}

	/** Grants one send to each target that bears it; returns the ids of those targets. The grants of an earlier leader may still be used at first. */
	grant(wants: readonly ColdWant[]): readonly string[] {
		const nowMs = this.clock.now();
		if (nowMs - this.startedMs < WINDOW_MS) {
			return [];
		}

		this.forget(nowMs);
		const granted = wants.filter(({targetId, perSecond}) => this.getRecent(targetId).length < Math.floor(perSecond * COLD_GRANT_RATIO));
		for (const {targetId} of granted) {
			this.grantedMs.set(targetId, [...this.getRecent(targetId), nowMs]);
		}

		return granted.map(({targetId}) => targetId);
	}

	private getRecent(targetId: string): readonly number[] {
		return this.grantedMs.get(targetId) ?? [];
	}

	private forget(nowMs: number): void {
		for (const [targetId, times] of this.grantedMs) {
			const recent = times.filter(timeMs => nowMs - timeMs < WINDOW_MS);
			if (recent.length > 0) {
				this.grantedMs.set(targetId, recent);
			} else {
				this.grantedMs.delete(targetId);
			}
		}
	}
}
