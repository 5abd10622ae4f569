import {MAX_CONNECT_MS} from '../constants.js';
import type {Attempt, HistoryView, Operation} from '../history-view.js';
import type {Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P3: a keyed request runs only with a valid key, and no target receives the key. */
export class KeyCheck extends PromiseCheck {
	override readonly promise = 'P3';
	override readonly title = 'a request runs only for the customer of its valid key';
	override readonly unit = 'runs and refusals of keyed calls';

	protected override examine(view: HistoryView): Examination {
		const keyed = view.attempts.filter(({started}) => started.isKeyed);
		const withdrawalsInForce = view.operations.filter(({ended}) => ended?.result === 'in-force');
		const firstInForceByKey = new Map(withdrawalsInForce.toReversed().map(operation => [operation.started.subject, operation]));
		return {
			counted: keyed.length,
			findings: [
				...view.runs.filter(({seesKey}) => seesKey).map(run => ({what: `${run.targetId} saw the key of ${run.attempt}`, evidence: describeEvents(run)})),
				...keyed.flatMap(attempt => this.findServedUnknownKey(attempt)),
				...keyed.flatMap(attempt => this.findServedWithdrawnKey(view, attempt, firstInForceByKey.get(attempt.started.keyId))),
			],
		};
	}

	private findServedUnknownKey({started, ended, runs}: Attempt): readonly Finding[] {
		const isServed = started.customer === '' && (runs.length > 0 || ended?.status === 200);
		return isServed ? [{what: `${started.attempt} was served with a key that the fleet does not know`, evidence: describeEvents(started, ...runs, ended)}] : [];
	}

	private findServedWithdrawnKey(view: HistoryView, {started, ended, runs}: Attempt, withdrawal: Operation | undefined): readonly Finding[] {
		const inForceMs = withdrawal?.ended?.atMs;
		if (inForceMs === undefined) {
			return [];
		}

		const isStartedLater = started.atMs > inForceMs;
		// A call that started before the withdrawal may still be connecting to its target at that moment, so its run may start up to the connect bound later.
		const lateRuns = runs.filter(run => isStartedLater || run.atMs > inForceMs + MAX_CONNECT_MS + view.getPausedMs(started.host, inForceMs, run.atMs));
		const isAnswered = isStartedLater && ended?.status === 200;
		return lateRuns.length > 0 || isAnswered
			? [{what: `${started.attempt} was served with ${started.keyId} after its withdrawal was in force`, evidence: describeEvents(withdrawal?.ended, started, ...lateRuns, ended)}]
			: [];
	}
}
