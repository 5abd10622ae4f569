import type {Attempt, HistoryView} from '../history-view.js';
import type {CallBegun, CallEnded} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

function findStreamFault({tokens}: CallBegun, {chunks, isDone, hasErrorEvent, requestId}: CallEnded): string | undefined {
	if (chunks.some(({id}) => id !== requestId)) {
		return 'holds a chunk of another request';
	}

	if (chunks.some(({seq}, i) => seq !== i)) {
		return 'has chunks out of order, missing or twice';
	}

	if (isDone && chunks.length !== tokens) {
		return `ends as whole with ${chunks.length} of ${tokens} chunks`;
	}

	return isDone || hasErrorEvent ? undefined : 'ends without an end marker or an error';
}

function findAnswerFault(begun: CallBegun, ended: CallEnded): string | undefined {
	if (begun.tokens === 0) {
		return ended.runDigest === begun.bodyDigest ? undefined : 'belongs to another request';
	}

	if (ended.runId !== ended.requestId) {
		return 'belongs to another request';
	}

	return ended.chunks.length === begun.tokens ? undefined : `holds ${ended.chunks.length} of ${begun.tokens} tokens`;
}

/** P7: every answer is whole and comes from a run of the caller's own request. */
export class WholeAnswerCheck extends PromiseCheck {
	override readonly promise = 'P7';
	override readonly title = 'every caller gets the whole answer to its own request';
	override readonly unit = 'answers';

	protected override examine(view: HistoryView): Examined {
		const digests = new Map(view.runs.map(run => [run.requestId, run.bodyDigest]));
		const answered = view.attempts.filter(({ended}) => ended?.status === 200 && ended.end === 'answered');
		const findings = answered.flatMap(attempt => {
			const fault = this.findFault(attempt, digests);
			return fault === undefined ? [] : [{what: `the answer to ${attempt.begun.attempt} ${fault}`, evidence: describeEvents(attempt.begun, ...attempt.runs, attempt.ended)}];
		});
		return {counted: answered.length, findings};
	}

	private findFault({begun, ended}: Attempt, digests: ReadonlyMap<string, string>): string | undefined {
		if (!ended) {
			return undefined;
		}

		const fault = begun.isStream ? findStreamFault(begun, ended) : findAnswerFault(begun, ended);
		const runId = begun.isStream ? ended.requestId : ended.runId;
		return fault ?? (digests.get(runId ?? '') === begun.bodyDigest ? undefined : 'comes from no run of this request');
	}
}
