import type {HistoryView} from '../history-view.js';
import type {CheckResult, Finding} from '../types.js';

/** What a check looked at and what it found there. */
export type Examination = {readonly counted: number; readonly findings: readonly Finding[]};

/** The check of one promise over a whole history. */
export abstract class PromiseCheck {
	/** Name of the promise in the design page. */
	abstract readonly promise: string;
	abstract readonly title: string;
	/** What `counted` counts. */
	abstract readonly unit: string;

	run(view: HistoryView): CheckResult {
		const {promise, title, unit} = this;
		const {counted, findings} = this.examine(view);
		return {
			promise, title, unit, counted, findings: [...findings],
		};
	}

	protected abstract examine(view: HistoryView): Examination;
}
