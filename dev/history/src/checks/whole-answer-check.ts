import type {Attempt, HistoryView} from '../history-view.js';
import type {CallStarted, CallEnded} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

function findStreamDefect({tokens}: CallStarted, {chunks, isDone, hasErrorEvent, requestId}: CallEnded): string | undefined {
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

function findAnswerDefect(started: CallStarted, ended: CallEnded): string | undefined {
	if (started.tokens === 0) {
		return ended.runDigest === started.bodyDigest ? undefined : 'belongs to another request';
	}

	if (ended.runId !== ended.requestId) {
		return 'belongs to another request';
	}

	return ended.chunks.length === started.tokens ? undefined : `holds ${ended.chunks.length} of ${started.tokens} tokens`;
}

/** P7: every answer is complete and comes from a run of the caller's own request. */
export class WholeAnswerCheck extends PromiseCheck {
	override readonly promise = 'P7';
	override readonly title = 'every caller gets the whole answer to its own request';
	override readonly unit = 'answers';

	protected override examine(view: HistoryView): Examination {
		const digests = new Map(view.runs.map(run => [run.requestId, run.bodyDigest]));
		const answered = view.attempts.filter(({ended}) => ended?.status === 200 && ended.end === 'answered');
		const findings = answered.flatMap(attempt => {
			const defect = this.findDefect(attempt, digests);
			return defect === undefined ? [] : [{what: `the answer to ${attempt.started.attempt} ${defect}`, evidence: describeEvents(attempt.started, ...attempt.runs, attempt.ended)}];
		});
		return {counted: answered.length, findings};
	}

	private findDefect({started, ended}: Attempt, digests: ReadonlyMap<string, string>): string | undefined {
		if (!ended) {
			return undefined;
		}

		const defect = started.isStream ? findStreamDefect(started, ended) : findAnswerDefect(started, ended);
		const runId = started.isStream ? ended.requestId : ended.runId;
		return defect ?? (digests.get(runId ?? '') === started.bodyDigest ? undefined : 'comes from no run of this request');
	}
}
