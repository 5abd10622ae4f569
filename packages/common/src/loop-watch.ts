import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

/** How often the event loop delay is measured. */
const PROBE_INTERVAL_MS = 50;

/** Period that one log line covers. */
const REPORT_INTERVAL_MS = 1000;

/** Shortest delay that is logged; it is well below the lease of a leader, which lasts 500 ms. */
export const LOOP_DELAY_WARNING_MS = 150;

/** Receives each measurement of a `LoopWatch`, for example to export it as a metric. */
export abstract class LoopMeter {
	abstract recordDelay(lateMs: number): void;
	abstract recordPlan(tookMs: number): void;
}

/** Measures how late timers fire because the event loop is blocked or the process is suspended, and logs long delays once a second. */
export class LoopWatch {
	/** Longest delay since the last report. */
	private lateMs = 0;
	/** Longest round of planning since the last report. */
	private planMs = 0;
	/** Number of rounds of planning since the last report. */
	private plans = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger, private readonly meter: LoopMeter) {}

	async run(signal: AbortSignal): Promise<void> {
		let reportAtMs = this.clock.now() + REPORT_INTERVAL_MS;
		while (!signal.aborted) {
			const dueMs = this.clock.now() + PROBE_INTERVAL_MS;
			await this.clock.sleep(PROBE_INTERVAL_MS, signal);
			const nowMs = this.clock.now();
			this.recordDelay(Math.max(0, nowMs - dueMs));
			if (signal.aborted || nowMs >= reportAtMs) {
				this.report();
				reportAtMs = nowMs + REPORT_INTERVAL_MS;
			}
		}
	}

	/** Records how long one round of planning blocked the event loop. */
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
