import type {HistoryView} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P8: an attempt whose answer has the verdict "not run" has no run at any target, before or after the answer. */
export class TrueRefusalCheck extends PromiseCheck {
	override readonly promise = 'P8';
	override readonly title = 'a refusal that says "not run" is true';
	override readonly unit = 'refusals as not run';

	protected override examine(view: HistoryView): Examination {
		const refused = view.attempts.filter(({ended}) => ended?.verdict === 'not-run');
		const findings = refused.filter(({runs}) => runs.length > 0)
			.map(({started, ended, runs}) => ({what: `${started.attempt} was refused as not run but ran`, evidence: describeEvents(started, ...runs, ended)}));
		return {counted: refused.length, findings};
	}
}
