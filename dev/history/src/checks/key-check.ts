import {CONNECT_MS} from '../constants.js';
import type {Attempt, HistoryView, Operation} from '../history-view.js';
import type {Finding} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

/** P3: a keyed request runs only with a key that is valid, and no target sees the key. */
export class KeyCheck extends PromiseCheck {
	override readonly promise = 'P3';
	override readonly title = 'a request runs only for the customer of its valid key';
	override readonly unit = 'runs and refusals of keyed calls';

	protected override examine(view: HistoryView): Examined {
		const keyed = view.attempts.filter(({begun}) => begun.isKeyed);
		const inForce = view.operations.filter(({ended}) => ended?.result === 'in-force');
		const firstInForce = new Map(inForce.toReversed().map(operation => [operation.begun.subject, operation]));
		return {
			counted: keyed.length,
			findings: [
				...view.runs.filter(({seesKey}) => seesKey).map(run => ({what: `${run.targetId} saw the key of ${run.attempt}`, evidence: describeEvents(run)})),
				...keyed.flatMap(attempt => this.findUnknownKey(attempt)),
				...keyed.flatMap(attempt => this.findWithdrawnKey(view, attempt, firstInForce.get(attempt.begun.keyId))),
			],
		};
	}

	private findUnknownKey({begun, ended, runs}: Attempt): readonly Finding[] {
		const isServed = begun.customer === '' && (runs.length > 0 || ended?.status === 200);
		return isServed ? [{what: `${begun.attempt} was served with a key that the fleet does not know`, evidence: describeEvents(begun, ...runs, ended)}] : [];
	}

	private findWithdrawnKey(view: HistoryView, {begun, ended, runs}: Attempt, withdrawal: Operation | undefined): readonly Finding[] {
		const inForceMs = withdrawal?.ended?.atMs;
		if (inForceMs === undefined) {
			return [];
		}

		const isBegunLater = begun.atMs > inForceMs;
		// A call that began before may be on its way to the target at that moment, but no longer than a connect may take.
		const late = runs.filter(run => isBegunLater || run.atMs > inForceMs + CONNECT_MS + view.getPausedMs(begun.host, inForceMs, run.atMs));
		const isAnswered = isBegunLater && ended?.status === 200;
		return late.length > 0 || isAnswered
			? [{what: `${begun.attempt} was served with ${begun.keyId} after its withdrawal was in force`, evidence: describeEvents(withdrawal?.ended, begun, ...late, ended)}]
			: [];
	}
}
