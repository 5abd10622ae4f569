import type {HistoryView} from '../history-view.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

/** P1: by the target's own accounting, resident and loading models together never exceed its memory. */
export class MemoryCheck extends PromiseCheck {
	override readonly promise = 'P1';
	override readonly title = 'accelerator memory is never overcommitted';
	override readonly unit = 'changes of memory';

	protected override examine(view: HistoryView): Examination {
		const changes = view.getEvents('memory');
		const findings = changes.filter(({usedMb, limitMb}) => usedMb > limitMb)
			.map(change => ({what: `${change.targetId} uses ${change.usedMb} MB of ${change.limitMb} MB`, evidence: describeEvents(change)}));
		return {counted: changes.length, findings};
	}
}
