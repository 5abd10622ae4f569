import type {ForwardEndNote} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {ByteBudget} from './byte-budget.js';
import {FOLD_MS, LINE_OVERHEAD_BYTES, LINE_RESERVE_BYTES} from './constants.js';
import {FoldedAnswers} from './folded-answers.js';

type Fields = Readonly<Record<string, unknown>>;

/** Writes decision lines up to a number of bytes a second: failures one by one while there is room, answered requests in one line a second. */
export class DecisionLog {
	private readonly budget: ByteBudget;
	private readonly answers = new FoldedAnswers();
	private hasLine = false;
	private leftOut = 0;
	private isEnded = false;

	constructor(private readonly clock: Clock, private readonly logger: Logger) {
		this.budget = new ByteBudget(clock);
	}

	/** Writes what was collected once a second and when aborted; what comes later is written at once. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.clock.sleep(FOLD_MS, signal);
			this.flush();
		}

		this.isEnded = true;
	}

	/** Writes a line, or returns false when there is no room for it. The first of each second always has room. */
	tryLine(fields: Fields, message: string): boolean {
		if (this.hasLine && this.getRoom() < LINE_RESERVE_BYTES) {
			return false;
		}

		this.hasLine = true;
		const leftOut = this.leftOut > 0 && {leftOut: this.leftOut};
		this.leftOut = 0;
		this.write({...fields, ...leftOut}, message);
		return true;
	}

	/** Writes a line of a failure; without room it is counted. */
	noteFailure(fields: Fields, message: string): void {
		this.leftOut += this.tryLine(fields, message) ? 0 : 1;
	}

	/** Notes an answered request for the line of its second. */
	noteAnswer(note: ForwardEndNote, knowledgeAgeMs: number): void {
		this.answers.add(note, knowledgeAgeMs, this.getRoom());
		if (this.isEnded) {
			this.flush();
		}
	}

	private flush(): void {
		this.hasLine = false;
		const answers = this.answers.take();
		if (answers) {
			this.write(answers, 'Requests were answered.');
		}
	}

	private getRoom(): number {
		return this.budget.getLeft() - this.answers.getBytes();
	}

	private write(fields: Fields, message: string): void {
		this.budget.take(JSON.stringify(fields).length + LINE_OVERHEAD_BYTES);
		this.logger.info(fields, message);
	}
}
