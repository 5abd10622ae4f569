import {NO_NEW_WORK_MS} from '../constants.js';
import type {HistoryView, RunBegun} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

/** P10: a target that announces its leave gets no new work after 2 s. */
export class LeavingTargetCheck extends PromiseCheck {
	override readonly promise = 'P10';
	override readonly title = 'a leaving target gets no new work after 2 s';
	override readonly unit = 'leaves';

	protected override examine(view: HistoryView): Examined {
		const leaves = view.getEvents('leaving');
		const findings = leaves.flatMap(leave => view.runs
			.filter(run => run.startId === leave.startId && run.resumeFrom === 0 && run.atMs > leave.atMs + this.getAllowedMs(view, run, leave.atMs))
			.map(run => ({
				what: `${run.targetId} got new work ${((run.atMs - leave.atMs) / 1000).toFixed(1)} s after it announced its leave`, evidence: describeEvents(leave, view.getAttempt(run)?.begun, run),
			})));
		return {counted: leaves.length, findings};
	}

	/** A host whose process stood still between its last check and the write continues where it was. */
	private getAllowedMs(view: HistoryView, run: RunBegun, fromMs: number): number {
		return NO_NEW_WORK_MS + view.getPausedMs(view.getAttempt(run)?.begun.host ?? '', fromMs, run.atMs);
	}
}
