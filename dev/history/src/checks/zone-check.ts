import {
	CONNECT_MS, KEY_LEASE_MS, NO_NEW_WORK_MS, RECOVERY_MS,
} from '../constants.js';
import type {HistoryView, Operation, RunBegun} from '../history-view.js';
import type {FaultKind, Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

/** Faults that can keep a change from reaching a host. */
const isolating: readonly FaultKind[] = ['kill-host', 'pause-host', 'cut-zone', 'cut-one-way', 'stop-host'];

type Absence = {readonly out: Operation; readonly fromMs: number; readonly toMs: number};

function getAbsences(view: HistoryView): readonly Absence[] {
	const changes = view.operations.filter(({begun}) => begun.action === 'zone-out' || begun.action === 'zone-back');
	return changes.filter(({begun, ended}) => begun.action === 'zone-out' && ended?.result === 'accepted').map(out => {
		// An attempt to put the zone back may take effect although its answer is lost.
		const back = changes.find(({begun}) => begun.action === 'zone-back' && begun.subject === out.begun.subject && begun.atMs > out.begun.atMs);
		return {out, fromMs: out.ended?.atMs ?? 0, toMs: back?.begun.atMs ?? Number.POSITIVE_INFINITY};
	});
}

/** P6: a zone that operators took out of service gets no new work after 2 s. */
export class ZoneCheck extends PromiseCheck {
	override readonly promise = 'P6';
	override readonly title = 'a zone out of service gets no new work after 2 s';
	override readonly unit = 'absences of a zone';

	protected override examine(view: HistoryView): Examined {
		const absences = getAbsences(view);
		return {counted: absences.length, findings: absences.flatMap(absence => this.checkAbsence(view, absence))};
	}

	private checkAbsence(view: HistoryView, {out, fromMs, toMs}: Absence): readonly Finding[] {
		return view.runs
			.filter(run => run.zone === out.begun.subject && run.resumeFrom === 0 && run.atMs < toMs && run.atMs > fromMs + this.getAllowedMs(view, run, fromMs))
			.map(run => ({
				what: `${run.targetId} got new work ${((run.atMs - fromMs) / 1000).toFixed(1)} s after ${run.zone} was taken out`,
				evidence: describeEvents(out.ended, view.getAttempt(run)?.begun, run),
			}));
	}

	/** A host that may not have heard of the change serves keyed calls until its key lease ends, and open routes until it is back in touch. */
	private getAllowedMs(view: HistoryView, run: RunBegun, fromMs: number): number {
		if (view.getFaultsBetween(isolating, fromMs, run.atMs, RECOVERY_MS).length === 0) {
			return NO_NEW_WORK_MS;
		}

		const begun = view.getAttempt(run)?.begun;
		return begun?.isKeyed ? KEY_LEASE_MS + CONNECT_MS + view.getPausedMs(begun.host, fromMs, run.atMs) : Number.POSITIVE_INFINITY;
	}
}
