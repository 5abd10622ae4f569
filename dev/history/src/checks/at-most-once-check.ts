import type {HistoryView} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

/** P9: all attempts of a non-idempotent call together run at most once and get one outcome. */
export class AtMostOnceCheck extends PromiseCheck {
	override readonly promise = 'P9';
	override readonly title = 'a non-idempotent request runs at most once';
	override readonly unit = 'non-idempotent calls';

	protected override examine(view: HistoryView): Examined {
		const attempts = view.attempts.filter(({begun}) => !begun.isIdempotent);
		const digests = [...new Set(attempts.map(({begun}) => begun.bodyDigest))];
		const findings = digests.flatMap(digest => {
			const own = attempts.filter(({begun}) => begun.bodyDigest === digest);
			const runs = view.runs.filter(({bodyDigest}) => bodyDigest === digest);
			const outcomes = new Set(own.filter(({ended}) => ended?.status === 200).map(({ended}) => ended?.runId));
			const evidence = describeEvents(...own.flatMap(({begun, ended}) => [begun, ended]), ...runs);
			return [
				...(runs.length > 1 ? [{what: `${own[0]?.begun.attempt} ran ${runs.length} times`, evidence}] : []),
				...(outcomes.size > 1 ? [{what: `${own[0]?.begun.attempt} got ${outcomes.size} different outcomes`, evidence}] : []),
			];
		});
		return {counted: digests.length, findings};
	}
}
