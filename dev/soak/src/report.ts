import {groupBy} from '@egretrill/common';
import {
	checkCalls, listIncomplete, listLate, type SoakRecord,
} from './check-calls.js';
import {EXCUSED_ARRIVAL_MS, routes} from './constants.js';
import type {CallRecord, Violation} from './types.js';

export type SoakReport = {readonly lines: readonly string[]; readonly violations: readonly Violation[]};

/** Summarizes a run: what was played, how calls ended, and what callers must not see. */
export function createReport(record: SoakRecord): SoakReport {
	const violations = checkCalls(record);
	const excused = listIncomplete(record).filter(call => !violations.some(violation => violation.call === call));
	const {calls, steps} = record;
	const getOutcome = ({status, isComplete}: CallRecord): string => `${status}${isComplete ? '' : ' incomplete'}`;
	const late = listLate(record).filter(({kind}) => routes.find(route => route.kind === kind)?.wireKind === 'streaming');
	const stepCounts = groupBy(steps, ({kind}) => kind);
	const format = (counts: ReadonlyMap<string, readonly unknown[]>): string => [...counts].map(([name, items]) => `${name} ${items.length}`).toSorted().join(', ');
	return {
		lines: [
			`steps: ${format(stepCounts)}`,
			`${calls.length} calls, ${calls.filter(({isKept}) => isKept).length} on kept connections: ${format(groupBy(calls, getOutcome))}`,
			`${late.length} streams sent more than ${EXCUSED_ARRIVAL_MS} ms after a SIGTERM: ${format(groupBy(late, getOutcome))}`,
			`${excused.length} calls without a whole answer that are excused${excused.map(({attemptId, kind}) => ` ${attemptId} (${kind})`).join(',')}`,
			...violations.map(({rule, call: {attemptId, kind, host}, detail}) => `${rule}: ${attemptId} (${kind}) at host ${host}: ${detail}`),
		],
		violations,
	};
}
