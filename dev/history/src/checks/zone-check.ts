import {
	MAX_CONNECT_MS, KEY_LEASE_MS, NEW_WORK_CUTOFF_MS, RECOVERY_MS,
} from '../constants.js';
import type {HistoryView, Operation, RunStarted} from '../history-view.js';
import type {FaultKind, Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** Faults that can delay the delivery of a configuration change to a host. */
const isolatingFaultKinds: readonly FaultKind[] = ['kill-host', 'pause-host', 'cut-zone', 'cut-one-way', 'stop-host'];

type OutOfServicePeriod = {readonly zoneOut: Operation; readonly fromMs: number; readonly toMs: number};

function getOutOfServicePeriods(view: HistoryView): readonly OutOfServicePeriod[] {
	const changes = view.operations.filter(({started}) => started.action === 'zone-out' || started.action === 'zone-back');
	return changes.filter(({started, ended}) => started.action === 'zone-out' && ended?.result === 'accepted').map(zoneOut => {
		// The period ends with the first attempt to return the zone to service: it may take effect although its answer is lost.
		const zoneBack = changes.find(({started}) => started.action === 'zone-back' && started.subject === zoneOut.started.subject && started.atMs > zoneOut.started.atMs);
		return {zoneOut, fromMs: zoneOut.ended?.atMs ?? 0, toMs: zoneBack?.started.atMs ?? Number.POSITIVE_INFINITY};
	});
}

/** P6: 2 s after operators took a zone out of service, its targets get no new work. */
export class ZoneCheck extends PromiseCheck {
	override readonly promise = 'P6';
	override readonly title = 'a zone out of service gets no new work after 2 s';
	override readonly unit = 'absences of a zone';

	protected override examine(view: HistoryView): Examination {
		const periods = getOutOfServicePeriods(view);
		return {counted: periods.length, findings: periods.flatMap(period => this.checkPeriod(view, period))};
	}

	private checkPeriod(view: HistoryView, {zoneOut, fromMs, toMs}: OutOfServicePeriod): readonly Finding[] {
		return view.runs
			.filter(run => run.zone === zoneOut.started.subject && run.resumeFrom === 0 && run.atMs < toMs && run.atMs > fromMs + this.getAllowedDelayMs(view, run, fromMs))
			.map(run => ({
				what: `${run.targetId} got new work ${((run.atMs - fromMs) / 1000).toFixed(1)} s after ${run.zone} was taken out`,
				evidence: describeEvents(zoneOut.ended, view.getAttempt(run)?.started, run),
			}));
	}

	/** A host that may not have received the change serves keyed calls until its key lease expires, and open routes until it is connected again. */
	private getAllowedDelayMs(view: HistoryView, run: RunStarted, fromMs: number): number {
		if (view.getFaultsBetween(isolatingFaultKinds, fromMs, run.atMs, RECOVERY_MS).length === 0) {
			return NEW_WORK_CUTOFF_MS;
		}

		const started = view.getAttempt(run)?.started;
		return started?.isKeyed ? KEY_LEASE_MS + MAX_CONNECT_MS + view.getPausedMs(started.host, fromMs, run.atMs) : Number.POSITIVE_INFINITY;
	}
}
