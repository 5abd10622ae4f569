import type {HistoryView} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P5: a cold target runs one request at a time at first; the limit doubles with each completed request. */
export class ColdTargetCheck extends PromiseCheck {
	override readonly promise = 'P5';
	override readonly title = 'a cold target gets no more than its ramp allows';
	override readonly unit = 'runs on cold targets';

	protected override examine(view: HistoryView): Examination {
		const cold = view.runs.filter(({isCold}) => isCold);
		const over = cold.filter(({running, completed, limit}) => running > Math.min(limit, 2 ** completed));
		return {
			counted: cold.length,
			findings: [
				...over.map(run => ({what: `${run.targetId} runs ${run.running} requests after ${run.completed} completed ones while it is cold`, evidence: describeEvents(run)})),
				...view.getEvents('collapsed').map(event => ({what: `${event.targetId} collapsed under load while it was cold`, evidence: describeEvents(event)})),
			],
		};
	}
}
