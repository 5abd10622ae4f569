import type {Clock} from '@egretrill/common';
import type {TargetStart} from '@egretrill/engines';
import {LEAVING_HINT_TTL_MS, MAX_LEAVING_TARGETS} from './constants.js';

/** Targets that have told an entry host in their answers that they leave. The leader passes them on as hints: only the registration or an own answer takes a target out. */
export class LeavingHints {
	private readonly reportedMs = new Map<string, {readonly startedAtMs: number; readonly atMs: number}>();

	constructor(private readonly clock: Clock) {}

	record(starts: readonly TargetStart[]): void {
		for (const {targetId, startedAtMs} of starts) {
			this.reportedMs.delete(targetId);
			this.reportedMs.set(targetId, {startedAtMs, atMs: this.clock.now()});
		}
	}

	list(): TargetStart[] {
		for (const [targetId, {atMs}] of this.reportedMs) {
			if (this.clock.now() - atMs > LEAVING_HINT_TTL_MS) {
				this.reportedMs.delete(targetId);
			}
		}

		return [...this.reportedMs].slice(-MAX_LEAVING_TARGETS).map(([targetId, {startedAtMs}]) => ({targetId, startedAtMs}));
	}
}
