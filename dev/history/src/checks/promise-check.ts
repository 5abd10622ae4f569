import type {HistoryView} from '../history-view.js';
import type {CheckResult, Finding} from '../types.js';

/** Number of items that a check examined, and the violations among them. */
export type Examination = {readonly counted: number; readonly findings: readonly Finding[]};

/** Checks one promise against a whole history. */
export abstract class PromiseCheck {
	/** Number of the promise on the design page. */
	abstract readonly promise: string;
	abstract readonly title: string;
	/** Unit of `counted`. */
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
