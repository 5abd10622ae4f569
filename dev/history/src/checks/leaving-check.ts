import {NEW_WORK_CUTOFF_MS} from '../constants.js';
import type {HistoryView, RunStarted} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P10: 2 s after a target announced that it leaves, it gets no new work. */
export class LeavingTargetCheck extends PromiseCheck {
	override readonly promise = 'P10';
	override readonly title = 'a leaving target gets no new work after 2 s';
	override readonly unit = 'leaves';

	protected override examine(view: HistoryView): Examination {
		const leaves = view.getEvents('leaving');
		const findings = leaves.flatMap(leave => view.runs
			.filter(run => run.startId === leave.startId && run.resumeFrom === 0 && run.atMs > leave.atMs + this.getAllowedDelayMs(view, run, leave.atMs))
			.map(run => ({
				what: `${run.targetId} got new work ${((run.atMs - leave.atMs) / 1000).toFixed(1)} s after it announced its leave`, evidence: describeEvents(leave, view.getAttempt(run)?.started, run),
			})));
		return {counted: leaves.length, findings};
	}

	/** A host that was paused between its last check and the write of the request continues with the write when it resumes, so the pause is added to the bound. */
	private getAllowedDelayMs(view: HistoryView, run: RunStarted, fromMs: number): number {
		return NEW_WORK_CUTOFF_MS + view.getPausedMs(view.getAttempt(run)?.started.host ?? '', fromMs, run.atMs);
	}
}
