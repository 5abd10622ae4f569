import {Buffer} from 'node:buffer';
import type {ForwardEndEvent} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {AggregatedAnswers} from './aggregated-answers.js';
import {AggregatedFailures} from './aggregated-failures.js';
import {ByteBudget} from './byte-budget.js';
import {
	AGGREGATION_INTERVAL_MS, CAUSE_LINE_INTERVAL_MS, FULL_LINE_RESERVE_BYTES, LINE_OVERHEAD_BYTES, MAX_LOSS_LINES,
} from './constants.js';

type Fields = Readonly<Record<string, unknown>>;

/** A failure with the line that describes it. */
export type Failure = {
	readonly cause: string;
	/** Whether further failures of this cause carry no more information than the first. */
	readonly isRepetitive: boolean;
	readonly requestId: string;
	readonly fields: Fields;
	readonly message: string;
};

/** Writes decision lines within a byte budget: a separate line for the first failure of each cause in a second, and one aggregated line a second for all other requests. */
export class DecisionLog {
	private readonly budget: ByteBudget;
	private readonly answers = new AggregatedAnswers();
	private readonly failures = new AggregatedFailures();
	/** Time of the last separate line of each cause. */
	private readonly lastLineMsByCause = new Map<string, number>();
	private intervalStartedMs: number;
	private hasFailureLine = false;
	private isStopped = false;
	private lossLines = 0;

	constructor(private readonly clock: Clock, private readonly logger: Logger) {
		this.budget = new ByteBudget(clock);
		this.intervalStartedMs = clock.now();
	}

	/** Writes the aggregated line once a second and when the signal aborts; later entries are written immediately. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.clock.sleep(AGGREGATION_INTERVAL_MS, signal);
			this.flush();
		}

		this.isStopped = true;
	}

	/** Writes a line, or returns false if the budget does not allow it. */
	tryWrite(fields: Fields, message: string): boolean {
		const isAffordable = this.getAvailableBytes() >= FULL_LINE_RESERVE_BYTES;
		if (isAffordable) {
			this.write(fields, message);
		}

		return isAffordable;
	}

	/** Writes a line whatever the budget allows, for losses by this host itself; returns false once it has written many. */
	tryWriteLoss(fields: Fields, message: string): boolean {
		this.lossLines += 1;
		const isAllowed = this.lossLines <= MAX_LOSS_LINES;
		if (isAllowed) {
			this.write(fields, message);
		}

		return isAllowed;
	}

	/** Writes a failure to a separate line or adds it to the aggregated one. */
	recordFailure({cause, isRepetitive, requestId, fields, message}: Failure): void {
		if (!this.mayWriteLine(cause, isRepetitive)) {
			this.failures.add(cause, requestId, this.getAvailableBytes());
			this.flushIfStopped();
			return;
		}

		this.hasFailureLine = true;
		this.lastLineMsByCause.set(cause, this.clock.now());
		this.write(fields, message);
	}

	/** Adds an answered request to the aggregated line. */
	recordAnswer(event: ForwardEndEvent, knowledgeAgeMs: number): void {
		this.answers.add(event, knowledgeAgeMs, this.getAvailableBytes());
		this.flushIfStopped();
	}

	/** When the budget is low, one failure a second still gets a separate line if its cause has had none for a while. */
	private mayWriteLine(cause: string, isRepetitive: boolean): boolean {
		const lineMs = this.lastLineMsByCause.get(cause) ?? Number.NEGATIVE_INFINITY;
		if (this.getAvailableBytes() >= FULL_LINE_RESERVE_BYTES) {
			return !isRepetitive || lineMs < this.intervalStartedMs;
		}

		return !this.hasFailureLine && this.clock.now() - lineMs >= CAUSE_LINE_INTERVAL_MS;
	}

	private flushIfStopped(): void {
		if (this.isStopped) {
			this.flush();
		}
	}

	private flush(): void {
		this.startInterval();
		const answers = this.answers.flush();
		const failures = this.failures.flush();
		if (answers ?? failures) {
			this.write({...answers, ...failures}, 'Requests of a second.');
		}
	}

	private startInterval(): void {
		this.hasFailureLine = false;
		this.intervalStartedMs = this.clock.now();
		for (const [cause, lineMs] of this.lastLineMsByCause) {
			if (this.intervalStartedMs - lineMs >= CAUSE_LINE_INTERVAL_MS) {
				this.lastLineMsByCause.delete(cause);
			}
		}
	}

	private getAvailableBytes(): number {
		return this.budget.getRemaining() - this.answers.getBytes() - this.failures.getBytes();
	}

	private write(fields: Fields, message: string): void {
		this.budget.spend(Buffer.byteLength(JSON.stringify(fields)) + LINE_OVERHEAD_BYTES);
		this.logger.info(fields, message);
	}
}
