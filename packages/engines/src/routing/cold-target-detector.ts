import {
	COLD_LATENCY_RATIO, MIN_COLD_LATENCY_MS, COLD_DETECTION_SAMPLES, LATENCY_BASELINE_SAMPLES, MAX_TRACKED_TARGETS,
} from './constants.js';

type LatencyState = {readonly startId: string; readonly usualMs: number; readonly samples: number; readonly slowStreak: number};

/** Notices from latency and errors that a warm target has turned cold without announcing it. */
export class ColdTargetDetector {
	private readonly states = new Map<string, LatencyState>();

	/** Notes a time to first token, or a failure; returns true when the target looks cold. */
	record(targetId: string, startId: string, firstTokenMs: number | 'failed'): boolean {
		const known = this.states.get(targetId);
		const state = known?.startId === startId
			? known
			: {
				startId, usualMs: 0, samples: 0, slowStreak: 0,
			};
		const isSlow = firstTokenMs === 'failed' || (state.samples >= LATENCY_BASELINE_SAMPLES && firstTokenMs > Math.max(MIN_COLD_LATENCY_MS, state.usualMs * COLD_LATENCY_RATIO));
		if (isSlow) {
			const slowStreak = state.slowStreak + 1;
			const hasCollapsed = slowStreak >= COLD_DETECTION_SAMPLES;
			this.store(targetId, {...state, slowStreak: hasCollapsed ? 0 : slowStreak});
			return hasCollapsed;
		}

		// A mean over the first samples, then one that follows slow changes of the usual load.
		const samples = Math.min(state.samples + 1, LATENCY_BASELINE_SAMPLES);
		const usualMs = state.usualMs + ((firstTokenMs - state.usualMs) / samples);
		this.store(targetId, {
			startId, usualMs, samples, slowStreak: 0,
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
