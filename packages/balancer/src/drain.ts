import {
	refuse, Signal, VerdictError, type Clock,
} from '@egretrill/common';
import {BALANCER_WAIT_MS, DRAIN_RETRY_AFTER_MS} from './constants.js';
import type {DrainReport, UnreadyReason} from './types.js';

/** Reports the end of one unit of started work; further calls have no effect. */
export type EndWork = () => void;

export type DrainLimits = {
	/** Longest wait for started work, counted from the start of the drain. */
	readonly deadlineMs: number;
	readonly balancerWaitMs?: number;
};

export type DrainOptions = DrainLimits & {readonly clock: Clock};

type DrainPhase = 'serving' | 'waiting-for-balancer' | 'refusing';

/** Graceful shutdown: counts started work and waits for it to end before the process exits. */
export class Drain {
	private readonly workEnded = new Signal();
	private readonly workCounts = new Map<string, number>();
	private readonly waitAbort = new AbortController();
	private phase: DrainPhase = 'serving';
	private reason = '';
	private report: Promise<DrainReport> | undefined;

	constructor(private readonly opts: DrainOptions) {}

	/** Counts a unit of work as started; throws a not-run verdict once the balancer has had time to route callers to other hosts. */
	startWork(kind: string): EndWork {
		if (this.phase === 'refusing') {
			throw new VerdictError(refuse(503, 'draining', 'This host is shutting down.', DRAIN_RETRY_AFTER_MS));
		}

		return this.trackWork(kind);
	}

	/** Counts a unit of work as started even while draining, for hosts that serve all requests that still arrive. */
	trackWork(kind: string): EndWork {
		this.workCounts.set(kind, (this.workCounts.get(kind) ?? 0) + 1);
		let hasEnded = false;
		return () => {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			this.endWork(kind);
		};
	}

	/** Returns why this host is not ready, or undefined before the drain. */
	getUnreadyReason(): UnreadyReason | undefined {
		return this.phase === 'serving' ? undefined : {check: 'drain', reason: this.reason};
	}

	/** Returns the number of started units of work that have not ended. */
	getWorkCount(): number {
		return [...this.workCounts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Resolves once no started work is left, or the time is over. */
	async waitUntilEnded(maxMs: number): Promise<void> {
		const {clock} = this.opts;
		const endMs = clock.now() + maxMs;
		while (this.getWorkCount() > 0 && clock.now() < endMs) {
			await this.workEnded.wait(clock, endMs - clock.now());
		}
	}

	/** Starts the drain, with other limits if they have changed, and resolves with its report; a second call ends the wait at once. */
	async start(reason: string, limits: DrainLimits = this.opts): Promise<DrainReport> {
		if (this.report) {
			this.waitAbort.abort();
			return this.report;
		}

		this.reason = reason;
		this.phase = 'waiting-for-balancer';
		this.report = this.run(reason, limits);
		return this.report;
	}

	private async run(reason: string, {deadlineMs, balancerWaitMs = BALANCER_WAIT_MS}: DrainLimits): Promise<DrainReport> {
		const {clock} = this.opts;
		const {signal} = this.waitAbort;
		const startedMs = clock.now();
		await clock.sleep(Math.min(balancerWaitMs, deadlineMs), signal);
		this.phase = 'refusing';
		let remainingMs = startedMs + deadlineMs - clock.now();
		while (this.getWorkCount() > 0 && remainingMs > 0 && !signal.aborted) {
			await this.workEnded.wait(clock, remainingMs, signal);
			remainingMs = startedMs + deadlineMs - clock.now();
		}

		const outcome = signal.aborted ? 'second-signal' : (this.getWorkCount() > 0 ? 'deadline' : 'complete');
		return {
			reason,
			outcome,
			left: [...this.workCounts].map(([kind, count]) => ({kind, count})),
			tookMs: clock.now() - startedMs,
			exitCode: outcome === 'complete' ? 0 : 1,
		};
	}

	private endWork(kind: string): void {
		const count = (this.workCounts.get(kind) ?? 0) - 1;
		if (count > 0) {
			this.workCounts.set(kind, count);
		} else {
			this.workCounts.delete(kind);
		}

		this.workEnded.notify();
	}
}
