import {isAnswerStatus, type SendFailure, type TargetAnswer} from '@egretrill/common';
import {isRepeatable} from '../stops/decide-at-stop.js';
import type {AttemptFailure, AttemptOutcome, ForwardContext} from '../forward-context.js';
import {listAllKeys} from '../list-keys.js';
import type {SlotOutcome, TargetSlot} from '../waiting/slot-source.js';
import type {AttemptSlot} from '../waiting/slot-search.js';
import type {AnswerMetadata} from '../types.js';
import {getStartId} from './target-ends.js';
import {
	checkAnswer, STATUS_MISDIRECTED, STATUS_REDIRECT, STATUS_UNAVAILABLE,
} from './check-answer.js';

const STATUS_SERVER_ERROR = 500;

/** Errors of a connection attempt for which this host lacks file descriptors, ports or memory; they say nothing of the target. */
const ownShortageCodes: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE', 'EADDRNOTAVAIL', 'ENOBUFS']);

/** An attempt whose target has answered with a valid head. */
export type OpenAttempt = AttemptSlot & {
	readonly kind: 'open';
	/** Cancels the attempt. */
	readonly signal: AbortSignal;
	/** Number of the attempt, from 1. */
	readonly number: number;
	readonly startedMs: number;
	readonly answer: TargetAnswer;
	readonly metadata: AnswerMetadata;
};

type AnsweredHead = Pick<OpenAttempt, 'kind' | 'answer' | 'metadata'>;

/** Failure of an attempt during which an unexpected error was thrown. */
export const EXCHANGE_FAILED: AttemptFailure = {kind: 'broken', reason: 'The exchange failed.', slotOutcome: 'answered'};

/** Sends the request to one target and checks the head of its answer; releases the slot unless the answer is valid. */
export async function openAttempt(context: ForwardContext, attemptSlot: AttemptSlot, signal: AbortSignal): Promise<OpenAttempt | AttemptFailure> {
	const {deps: {clock}, progress} = context;
	const {slot} = attemptSlot;
	const startedMs = clock.now();
	progress.tried.add(slot.targetId);
	progress.sentMs ??= startedMs;
	let head: AnsweredHead | AttemptFailure = EXCHANGE_FAILED;
	try {
		head = await sendRequest(context, slot, signal);
	} finally {
		if (head.kind !== 'open') {
			endAttempt(context, {
				...attemptSlot, signal, startedMs, number: progress.attempts,
			}, head);
		}
	}

	return head.kind === 'open'
		? {
			...head, ...attemptSlot, signal, startedMs, number: progress.attempts,
		}
		: head;
}

/** An attempt that has ended, or whose target has not answered. */
type EndingAttempt = Omit<OpenAttempt, 'kind' | 'answer' | 'metadata'>;

/** Releases the slot of an attempt and records how it ended. */
export function endAttempt(context: ForwardContext, attempt: EndingAttempt, outcome: AttemptOutcome): void {
	const {deps: {clock, observer, durations, sizes}, call, route, progress} = context;
	const {slot, signal, number, startedMs} = attempt;
	slot.release(getSlotOutcome(outcome, signal, progress.status));
	if (outcome.kind === 'answered' && (progress.status ?? 0) < STATUS_SERVER_ERROR) {
		const sentMs = progress.sentMs ?? startedMs;
		if (!route.isStream) {
			sizes.recordAnswer(route.name, clock.now() - startedMs);
		}

		durations.record(route.name, {durationMs: clock.now() - sentMs, firstMs: (progress.chunkTimes.getFirstAtMs() ?? sentMs) - sentMs, size: call});
	}

	progress.mayHaveRun ||= outcome.kind === 'broken';
	observer.recordAttempt({
		call, slot, attempt: number, outcome: outcome.kind, tookMs: clock.now() - startedMs, ...('reason' in outcome && {reason: outcome.reason}),
	});
	void recordEvidence(context, attempt, outcome);
}

/** Records what the end of an attempt says of the request's keys: its target survived it, or ended while the request waited there. The caller's answer does not wait for the probe of the target. */
async function recordEvidence(context: ForwardContext, {slot, sent, signal}: EndingAttempt, outcome: AttemptOutcome): Promise<void> {
	const {deps: {crashes, targetEnds}, call, progress: {status = 0}} = context;
	if (outcome.kind === 'answered' && status < STATUS_REDIRECT) {
		sent.complete();
	}

	const lostConnection = outcome.kind === 'broken' && !signal.aborted ? outcome.lostConnection : undefined;
	if (lostConnection) {
		const isWaiting = !sent.isSettled();
		const hasEnded = await targetEnds.recordBreak(slot, {requestId: call.attemptId, partIds: call.promptParts.map(({id}) => id), hasBegun: !isWaiting});
		if (hasEnded && isWaiting && !slot.isLeaving()) {
			crashes.recordEnd(listAllKeys(context), getStartId(slot));
		}
	}

	sent.release();
}

/** The result of an attempt for the health of its target; a cancelled attempt does not count as a failure. */
function getSlotOutcome(outcome: AttemptOutcome, {aborted}: AbortSignal, status = 0): SlotOutcome {
	if (outcome.kind === 'answered') {
		return status >= STATUS_SERVER_ERROR ? 'failed' : 'answered';
	}

	return aborted ? 'answered' : outcome.slotOutcome;
}

/** Describes a failed send by its error, or by the reason of its cancellation if one was given. */
function describeFailure(summary: string, failure: SendFailure, {reason}: AbortSignal): string {
	return typeof reason === 'string' ? reason : `${summary}: ${failure.reason}`;
}

function writeHeaders({deps, call, body, customer, route, progress, endsMs}: ForwardContext, {targetId}: TargetSlot): string[] {
	return deps.dialect.writeSendHeaders(call, {
		targetId,
		timeLeftMs: Math.max(1, Math.floor(endsMs - deps.clock.now())),
		bodyLength: body.length,
		customer: customer?.name,
		priority: customer?.priority ?? route.priority,
		lastEventId: progress.lastEventId,
	});
}

/** Whether an exchange failed because its connection ended, rather than by an answer that cannot be read. */
function isConnectionLost({code}: SendFailure): boolean {
	return code !== 'ERR_ANSWER' && code !== 'ERR_SENDER';
}

/** What a failed send says of the request and of its target. */
function toAttemptFailure(failure: SendFailure, signal: AbortSignal): AttemptFailure {
	if (failure.accepted) {
		return {
			kind: 'broken', reason: describeFailure('The target broke off', failure, signal), slotOutcome: 'broke-off', ...(isConnectionLost(failure) && {lostConnection: true}),
		};
	}

	return ownShortageCodes.has(failure.code)
		? {kind: 'not-run', reason: describeFailure('This host cannot open a connection', failure, signal), slotOutcome: 'unsent'}
		: {kind: 'not-run', reason: describeFailure('The target cannot be reached', failure, signal), slotOutcome: 'unreachable'};
}

/** Records what the target says of itself in an answer to this request; an answer with 421 may come from another target at its address. */
function recordNotices({call}: ForwardContext, slot: TargetSlot, {status}: TargetAnswer, {attemptId = call.attemptId, isLeaving, retryAfterMs}: AnswerMetadata): void {
	if (!isAnswerStatus(status) || status === STATUS_MISDIRECTED || attemptId !== call.attemptId) {
		return;
	}

	if (isLeaving) {
		slot.reportLeaving();
	}

	if (status === STATUS_UNAVAILABLE && retryAfterMs !== undefined) {
		slot.reportPause(retryAfterMs);
	}
}

async function sendRequest(context: ForwardContext, slot: TargetSlot, signal: AbortSignal): Promise<AnsweredHead | AttemptFailure> {
	const {deps, call, body, route, progress, exchange} = context;
	const sent = await deps.sender.send({
		address: slot.address, method: call.method, url: call.url, headers: writeHeaders(context, slot), body, mayReuse: isRepeatable(route),
	}, signal);
	if (sent.isErr) {
		progress.attempts += sent.error.accepted ? 1 : 0;
		return toAttemptFailure(sent.error, signal);
	}

	progress.attempts += 1;
	const answer = sent.value;
	slot.recordActivity();
	const metadata = deps.dialect.readAnswer(answer);
	if (metadata.load) {
		slot.recordLoad(metadata.load);
	}

	recordNotices(context, slot, answer, metadata);
	const check = checkAnswer(answer, metadata, call.attemptId);
	if (check.isErr) {
		answer.destroy();
		return {kind: 'broken', reason: check.error, slotOutcome: 'broke-off'};
	}

	if (check.value === 'refusal') {
		answer.discard();
		return {kind: 'not-run', reason: `The target refused with ${answer.status}.`, slotOutcome: answer.status === STATUS_MISDIRECTED ? 'answered' : 'failed'};
	}

	if (answer.status >= STATUS_SERVER_ERROR && mayRetry(context, 'broken') && deps.getRetries(context.service).hasRetry()) {
		answer.destroy();
		return {kind: 'broken', reason: `The target failed with ${answer.status}.`, slotOutcome: 'failed'};
	}

	if (exchange.hasStarted() && !(isEventStream(answer, metadata) && answer.status === progress.status)) {
		answer.destroy();
		return {kind: 'broken', reason: `The target answered the rest of a stream with ${answer.status}.`, slotOutcome: 'answered'};
	}

	return {kind: 'open', answer, metadata};
}

/** Whether an answer is relayed event by event. */
export function isEventStream({status, framing}: Pick<TargetAnswer, 'status' | 'framing'>, metadata: AnswerMetadata): boolean {
	return metadata.isEventStream && status < STATUS_REDIRECT && framing !== 'none';
}

/** Whether a request may be sent to another target after an attempt. */
export function mayRetry({route, progress, exchange}: ForwardContext, outcome: 'not-run' | 'broken'): boolean {
	if (exchange.hasStarted() && !(route.isStream && route.isResumable && progress.eventOrder?.canContinue())) {
		return false;
	}

	return progress.attempts < route.maxAttempts && (outcome === 'not-run' || isRepeatable(route));
}
