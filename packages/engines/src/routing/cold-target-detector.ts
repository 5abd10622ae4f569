import type {Clock} from '@egretrill/common';
import {
	COLD_LATENCY_RATIO, MIN_COLD_LATENCY_MS, COLD_DETECTION_SAMPLES, LATENCY_BASELINE_SAMPLES, MAX_TRACKED_TARGETS,
} from './constants.js';

type LatencyState = {
	readonly startId: string;
	readonly baselineMs: number;
	readonly samples: number;
	readonly slowStreak: number;
	/** Time of the last slow answer of the streak. */
	readonly lastSlowMs: number;
};

/** Detects from latencies and errors that a warm target has become cold without announcing it. */
export class ColdTargetDetector {
	private readonly states = new Map<string, LatencyState>();

	constructor(private readonly clock: Clock) {}

	/** Records a time to first token or a failure; returns true if the target appears to be cold. */
	record(targetId: string, startId: string, firstTokenMs: number | 'failed'): boolean {
		const known = this.states.get(targetId);
		const state = known?.startId === startId
			? known
			: {
				startId, baselineMs: 0, samples: 0, slowStreak: 0, lastSlowMs: 0,
			};
		const isSlow = firstTokenMs === 'failed' || (state.samples >= LATENCY_BASELINE_SAMPLES && firstTokenMs > Math.max(MIN_COLD_LATENCY_MS, state.baselineMs * COLD_LATENCY_RATIO));
		const nowMs = this.clock.now();
		if (isSlow) {
			// A request that was sent before the last slow answer came may have been delayed by the same silence.
			if (firstTokenMs !== 'failed' && state.slowStreak > 0 && nowMs - firstTokenMs < state.lastSlowMs) {
				return false;
			}

			const slowStreak = state.slowStreak + 1;
			const isCold = slowStreak >= COLD_DETECTION_SAMPLES;
			this.store(targetId, {...state, slowStreak: isCold ? 0 : slowStreak, lastSlowMs: nowMs});
			return isCold;
		}

		// The mean of the first samples, then an exponential moving average that follows slow load changes.
		const samples = Math.min(state.samples + 1, LATENCY_BASELINE_SAMPLES);
		const baselineMs = state.baselineMs + ((firstTokenMs - state.baselineMs) / samples);
		this.store(targetId, {
			startId, baselineMs, samples, slowStreak: 0, lastSlowMs: 0,
		});
		return false;
	}

	private store(targetId: string, state: LatencyState): void {
		this.states.delete(targetId);
		this.states.set(targetId, state);
		if (this.states.size > MAX_TRACKED_TARGETS) {
			const [oldest] = this.states.keys();
			this.states.delete(oldest!);
		}
	}
}
