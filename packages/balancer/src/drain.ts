import {
	refuse, Signal, VerdictError, type Clock,
} from '@egretrill/common';
import {BALANCER_WAIT_MS, DRAIN_RETRY_AFTER_MS} from './constants.js';
import type {DrainReport, UnreadyReason} from './types.js';

/** Ends one piece of begun work; further calls have no effect. */
export type EndWork = () => void;

export type DrainOptions = {
	readonly clock: Clock;
	/** Longest wait for begun work, counted from the start of the drain. */
	readonly deadlineMs: number;
	readonly balancerWaitMs?: number;
};

type DrainPhase = 'serving' | 'waiting-for-balancer' | 'refusing';

/** Counts begun work and ends a process without interrupting it. */
export class Drain {
	private readonly opts: Required<DrainOptions>;
	private readonly changed = new Signal();
	private readonly counts = new Map<string, number>();
	private readonly interruption = new AbortController();
	private phase: DrainPhase = 'serving';
	private reason = '';
	private report: Promise<DrainReport> | undefined;

	constructor(opts: DrainOptions) {
		this.opts = {balancerWaitMs: BALANCER_WAIT_MS, ...opts};
	}

	/** Counts a piece of work as begun; throws a not-run verdict once the balancer has had time to move callers. */
	startWork(kind: string): EndWork {
		if (this.phase === 'refusing') {
			throw new VerdictError(refuse(503, 'draining', 'This host is shutting down.', DRAIN_RETRY_AFTER_MS));
		}

		return this.trackWork(kind);
	}

	/** Counts a piece of work as begun also while draining, for hosts that serve whatever still arrives. */
	trackWork(kind: string): EndWork {
		this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
		let ended = false;
		return () => {
			if (ended) {
				return;
			}

			ended = true;
			this.end(kind);
		};
	}

	/** Why this host is not ready, or undefined while it serves. */
	getUnreadyReason(): UnreadyReason | undefined {
		return this.phase === 'serving' ? undefined : {check: 'drain', reason: this.reason};
	}

	/** Amount of begun work that has not ended. */
	getWorkCount(): number {
		return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Starts the drain and resolves with its report; a second call ends the waiting at once. */
	async start(reason: string): Promise<DrainReport> {
		if (this.report) {
			this.interruption.abort();
			return this.report;
		}

		this.reason = reason;
		this.phase = 'waiting-for-balancer';
		this.report = this.run(reason);
		return this.report;
	}

	private async run(reason: string): Promise<DrainReport> {
		const {clock, deadlineMs, balancerWaitMs} = this.opts;
		const {signal} = this.interruption;
		const startedMs = clock.now();
		await clock.sleep(Math.min(balancerWaitMs, deadlineMs), signal);
		this.phase = 'refusing';
		let remainingMs = startedMs + deadlineMs - clock.now();
		while (this.getWorkCount() > 0 && remainingMs > 0 && !signal.aborted) {
			await this.changed.wait(clock, remainingMs, signal);
			remainingMs = startedMs + deadlineMs - clock.now();
		}

		const outcome = signal.aborted ? 'second-signal' : (this.getWorkCount() > 0 ? 'deadline' : 'complete');
		return {
			reason,
			outcome,
			left: [...this.counts].map(([kind, count]) => ({kind, count})),
			tookMs: clock.now() - startedMs,
			exitCode: outcome === 'complete' ? 0 : 1,
		};
	}

	private end(kind: string): void {
		const count = (this.counts.get(kind) ?? 0) - 1;
		if (count > 0) {
			this.counts.set(kind, count);
		} else {
			this.counts.delete(kind);
		}

		this.changed.notify();
	}
}
