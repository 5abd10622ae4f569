import type {HistoryView} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P9: a non-idempotent call runs at most once over all its attempts, and all attempts get the same outcome. */
export class AtMostOnceCheck extends PromiseCheck {
	override readonly promise = 'P9';
	override readonly title = 'a non-idempotent request runs at most once';
	override readonly unit = 'non-idempotent calls';

	protected override examine(view: HistoryView): Examination {
		const attempts = view.attempts.filter(({started}) => !started.isIdempotent);
		const digests = [...new Set(attempts.map(({started}) => started.bodyDigest))];
		const findings = digests.flatMap(digest => {
			const callAttempts = attempts.filter(({started}) => started.bodyDigest === digest);
			const runs = view.runs.filter(({bodyDigest}) => bodyDigest === digest);
			const outcomes = new Set(callAttempts.filter(({ended}) => ended?.status === 200).map(({ended}) => ended?.runId));
			const evidence = describeEvents(...callAttempts.flatMap(({started, ended}) => [started, ended]), ...runs);
			return [
				...(runs.length > 1 ? [{what: `${callAttempts[0]?.started.attempt} ran ${runs.length} times`, evidence}] : []),
				...(outcomes.size > 1 ? [{what: `${callAttempts[0]?.started.attempt} got ${outcomes.size} different outcomes`, evidence}] : []),
			];
		});
		return {counted: digests.length, findings};
	}
}
