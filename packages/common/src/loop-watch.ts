import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

/** How often the watch looks whether its timer fires in time. */
const PROBE_MS = 50;

/** Time that shares a line. */
const REPORT_MS = 1000;

/** Delay from which on a line is written; the lease of a leader lasts 500 ms. */
export const LOOP_DELAY_WARNING_MS = 150;

/** Takes each delay that a watch measures. */
export abstract class LoopMeter {
	abstract recordDelay(lateMs: number): void;
	abstract recordPlan(tookMs: number): void;
}

/** Measures how late timers fire, since the event loop was blocked or the process stood still, and says so once a second. */
export class LoopWatch {
	private lateMs = 0;
	private planMs = 0;
	private plans = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger, private readonly meter: LoopMeter) {}

	async run(signal: AbortSignal): Promise<void> {
		let reportAtMs = this.clock.now() + REPORT_MS;
		while (!signal.aborted) {
			const dueMs = this.clock.now() + PROBE_MS;
			await this.clock.sleep(PROBE_MS, signal);
			const nowMs = this.clock.now();
			this.recordDelay(Math.max(0, nowMs - dueMs));
			if (signal.aborted || nowMs >= reportAtMs) {
				this.report();
				reportAtMs = nowMs + REPORT_MS;
			}
		}
	}

	/** Takes in how long one round of planning held the event loop. */
	recordPlan(tookMs: number): void {
		this.meter.recordPlan(tookMs);
		this.planMs = Math.max(this.planMs, tookMs);
		this.plans += 1;
	}

	private recordDelay(lateMs: number): void {
		this.meter.recordDelay(lateMs);
		this.lateMs = Math.max(this.lateMs, lateMs);
	}

	private report(): void {
		const {lateMs, planMs, plans} = this;
		this.lateMs = 0;
		this.planMs = 0;
		this.plans = 0;
		if (Math.max(lateMs, planMs) >= LOOP_DELAY_WARNING_MS) {
			this.logger.warn({lateMs: Math.round(lateMs), ...(plans > 0 && {planMs: Math.round(planMs), plans})}, 'The event loop was blocked.');
		}
	}
}
