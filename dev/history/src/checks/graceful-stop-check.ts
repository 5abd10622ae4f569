import type {FaultPeriod, HistoryView} from '../history-view.js';
import type {Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P11: a planned stop ends with exit code 0 and interrupts no request that was in progress. */
export class GracefulStopCheck extends PromiseCheck {
	override readonly promise = 'P11';
	override readonly title = 'a planned stop interrupts no request';
	override readonly unit = 'requests in progress at a stop';

	protected override examine(view: HistoryView): Examination {
		const stops = view.faults.filter(({started}) => started.faultKind === 'stop-host');
		const inProgress = stops.map(stop => this.getInProgress(view, stop));
		return {
			counted: inProgress.reduce((sum, attempts) => sum + attempts.length, 0),
			findings: stops.flatMap((stop, i) => [
				...this.findBadExit(stop),
				...(inProgress[i] ?? []).filter(({ended}) => ended?.end === 'broken' || ended?.end === 'unreachable').map(({started, ended, runs}) => ({
					what: `${started.attempt} was cut by the stop of ${started.host}`, evidence: describeEvents(stop.started, started, ...runs, ended, stop.processEnded),
				})),
			]),
		};
	}

	private getInProgress(view: HistoryView, stop: FaultPeriod) {
		return view.attempts.filter(({started, ended}) => started.host === stop.started.subject && started.atMs < stop.started.atMs
			&& ended !== undefined && ended.atMs > stop.started.atMs);
	}

	private findBadExit({started, processEnded}: FaultPeriod): readonly Finding[] {
		return processEnded === undefined || processEnded.exitCode === 0
			? []
			: [{what: `${started.subject} ended its planned stop with code ${processEnded.exitCode}`, evidence: describeEvents(started, processEnded)}];
	}
}
