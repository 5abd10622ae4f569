import {groupBy} from '@egretrill/common';
import type {TargetRun} from '@egretrill/platform/testing';
import {
	EXCUSED_ARRIVAL_MS, EXCUSED_END_MS, LOSS_SLACK_MS, routes, STOP_REACH_MS,
} from './constants.js';
import type {CallRecord, StepRecord, Violation} from './types.js';

/** What was seen in a run. */
export type SoakRecord = {readonly calls: readonly CallRecord[]; readonly runs: readonly TargetRun[]; readonly steps: readonly StepRecord[]};

/** The last SIGTERM to the host of a call that may concern it. */
function findStopMs(call: CallRecord, steps: readonly StepRecord[]): number | undefined {
	const stops = steps.filter(({kind, host, atMs}) => kind === 'stop' && host === call.host && atMs < call.endedMs && call.sentMs < atMs + STOP_REACH_MS);
	return stops.at(-1)?.atMs;
}

/** Describes a request that ended without a whole answer although nothing excuses that. */
function findLoss(call: CallRecord, runs: readonly TargetRun[], steps: readonly StepRecord[]): string | undefined {
	const tookMs = call.endedMs - call.sentMs;
	// Rule: what reaches its time limit is not counted.
	if (call.isComplete || tookMs >= call.timeLimitMs) {
		return undefined;
	}

	const stopMs = findStopMs(call, steps);
	// A request counts as sent with its last byte; one that was not sent in whole is lost only if it was passed on.
	const sentAfterMs = stopMs === undefined ? undefined : Math.min(call.bodySentMs, call.endedMs) - stopMs;
	const endedAfterMs = stopMs === undefined ? undefined : call.endedMs - stopMs;
	const place = stopMs === undefined ? 'without a stop' : `sent ${Math.round(sentAfterMs!)} ms and ended ${Math.round(endedAfterMs!)} ms after SIGTERM`;
	if (runs.length === 0) {
		// Rule: a request that no target got may end without an answer if its connection closes within the slack after its last byte.
		const unansweredMs = call.endedMs - call.bodySentMs;
		return unansweredMs > LOSS_SLACK_MS ? `not passed on, and no answer after ${Math.round(unansweredMs)} ms (${call.error}), ${place}` : undefined;
	}

	// Rule: an answer that its target itself breaks off is not counted; one that goes on at another target is. A target that only falls silent is sound and excuses nothing.
	if (runs.at(-1)?.outcome === 'broke-off') {
		return undefined;
	}

	// Rule: a stop may cut off what its target is still at work on in the last sixth of the grace period if it was sent at most 3 s after the SIGTERM.
	const isAtWork = stopMs !== undefined && runs.some(({endedMs = call.endedMs}) => endedMs - stopMs >= EXCUSED_END_MS);
	if (isAtWork && sentAfterMs! <= EXCUSED_ARRIVAL_MS && endedAfterMs! >= EXCUSED_END_MS) {
		return undefined;
	}

	const silentMs = Math.max(...runs.map(({pauseMs}) => pauseMs));
	const silence = silentMs > 0 ? `, its target silent for ${Math.round(silentMs)} ms` : '';
	return `passed on, cut off after ${Math.round(tookMs)} ms with ${call.body.length} of ${call.expectedBody.length} bytes (${call.error}), ${place}${silence}`;
}

function checkCall(call: CallRecord, runs: readonly TargetRun[], steps: readonly StepRecord[]): readonly Violation[] {
	const route = routes.find(({kind}) => kind === call.kind)!;
	const mayRepeat = route.wireKind === 'idempotent' || route.isResumable;
	const violations: Violation[] = [];
	const loss = findLoss(call, runs, steps);
	if (loss !== undefined) {
		violations.push({rule: 'lost', call, detail: loss});
	}

	if (!mayRepeat && call.status === 503 && runs.length > 0) {
		violations.push({rule: 'refused-but-run', call, detail: 'refused as not run'});
	}

	if (!mayRepeat && runs.length > 1) {
		violations.push({rule: 'run-twice', call, detail: `run ${runs.length} times`});
	}

	if (call.status === 200 && call.isComplete && call.body !== call.expectedBody) {
		violations.push({rule: 'mixed', call, detail: `${call.body.length} bytes in place of ${call.expectedBody.length}`});
	}

	return violations;
}

/** Calls that were sent to a host so late in its stop that nothing excuses a cut. */
export function listLate({calls, steps}: SoakRecord): readonly CallRecord[] {
	return calls.filter(call => {
		const stopMs = findStopMs(call, steps) ?? Number.POSITIVE_INFINITY;
		const hasExited = steps.some(({kind, host, atMs}) => kind === 'exit' && host === call.host && atMs > stopMs && atMs < call.sentMs);
		return !hasExited && call.bodySentMs > stopMs + EXCUSED_ARRIVAL_MS;
	});
}

/** Calls that ended without a whole answer before their time limit, whether or not that is excused. */
export function listIncomplete({calls}: SoakRecord): readonly CallRecord[] {
	return calls.filter(({isComplete, endedMs, sentMs, timeLimitMs}) => !isComplete && endedMs - sentMs < timeLimitMs);
}

/** Checks what callers and targets have seen against what they were promised. */
export function checkCalls({calls, runs, steps}: SoakRecord): readonly Violation[] {
	const runsByAttempt = groupBy(runs, ({attemptId}) => attemptId);
	return calls.flatMap(call => checkCall(call, runsByAttempt.get(call.attemptId) ?? [], steps));
}
