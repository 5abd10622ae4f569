import type {TrafficRoute} from '@egretrill/common';
import {checkAnswer, STATUS_MISDIRECTED} from './check-answer.js';
import {EventOrder} from './event-order.js';
import type {ForwardContext, AttemptOutcome} from './forward-context.js';
import type {TargetSlot, SlotOutcome} from './place-queue.js';
import {relayEvents, type RelayResult, relayBuffered} from './relay.js';
import type {AnswerMetadata} from './types.js';

const STATUS_SERVER_ERROR = 500;

/** Sends the request to one target and relays its answer. */
export async function forwardToTarget(context: ForwardContext, slot: TargetSlot): Promise<AttemptOutcome> {
	const {deps: {clock, observer}, call, progress} = context;
	const startedMs = clock.now();
	progress.targetId = slot.targetId;
	progress.outstanding = slot.outstanding;
	let outcome: AttemptOutcome = {kind: 'broken', reason: 'The exchange failed.', slotOutcome: 'answered'};
	try {
		outcome = await sendAndRelay(context, slot);
	} finally {
		slot.release(getSlotOutcome(context, outcome));
		progress.tried.add(slot.targetId);
	}

	progress.mayHaveRun ||= outcome.kind === 'broken';
	observer.recordAttempt({
		call, slot, attempt: progress.attempts, outcome: outcome.kind, tookMs: clock.now() - startedMs, ...('reason' in outcome && {reason: outcome.reason}),
	});
	return outcome;
}

/** The result of an attempt for the health of its target; an attempt that the caller, the timeout or a stopping host cancelled does not count as a failure. */
function getSlotOutcome({signal, progress}: ForwardContext, outcome: AttemptOutcome): SlotOutcome {
	if (outcome.kind === 'answered') {
		return (progress.status ?? 0) >= STATUS_SERVER_ERROR ? 'failed' : 'answered';
	}

	return signal.aborted ? 'answered' : outcome.slotOutcome;
}

async function sendAndRelay(context: ForwardContext, slot: TargetSlot): Promise<AttemptOutcome> {
	const {deps, call, body, route, customer, progress, signal, endsMs} = context;
	const headers = deps.dialect.writeSendHeaders(call, {
		targetId: slot.targetId,
		timeLeftMs: Math.max(1, Math.floor(endsMs - deps.clock.now())),
		bodyLength: body.length,
		customer: customer?.name,
		priority: customer?.priority ?? route.priority,
		lastEventId: progress.lastEventId,
	});
	const sent = await deps.sender.send({
		address: slot.address, method: call.method, url: call.url, headers, body, mayReuse: isRetryable(route),
	}, signal);
	if (sent.isErr) {
		progress.attempts += sent.error.accepted ? 1 : 0;
		return sent.error.accepted
			? {kind: 'broken', reason: `The target broke off: ${sent.error.reason}`, slotOutcome: 'broke-off'}
			: {kind: 'not-run', reason: `The target cannot be reached: ${sent.error.reason}`, slotOutcome: 'unreachable'};
	}

	progress.attempts += 1;
	const answer = sent.value;
	const metadata = deps.dialect.readAnswer(answer);
	if (metadata.outstanding !== undefined) {
		slot.updateOutstanding(metadata.outstanding);
	}

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

	return relay(context, answer, metadata);
}

async function relay(context: ForwardContext, answer: Parameters<typeof relayBuffered>[0]['answer'], metadata: AnswerMetadata): Promise<AttemptOutcome> {
	const {deps: {clock}, exchange, route, progress} = context;
	const isEventStream = metadata.isEventStream && answer.status < 300 && answer.framing !== 'none';
	if (exchange.hasStarted() && !(isEventStream && answer.status === progress.status)) {
		answer.destroy();
		return {kind: 'broken', reason: `The target answered the rest of a stream with ${answer.status}.`, slotOutcome: 'answered'};
	}

	progress.status = answer.status;
	const relayed = {
		exchange, answer, headers: metadata.headers, onChunk() {
			progress.chunkTimes.recordChunk();
		},
	};
	let result: RelayResult;
	if (isEventStream) {
		progress.eventOrder ??= new EventOrder(route.isResumable ? progress.lastEventId : undefined);
		result = await relayEvents(relayed, progress.eventOrder, route.isResumable ? {clock} : undefined);
	} else {
		progress.eventOrder = undefined;
		result = await relayBuffered(relayed);
	}

	progress.lastEventId = result.lastEventId ?? progress.lastEventId;
	if (result.kind === 'complete') {
		progress.answerSummary = {framing: answer.framing, bytes: result.bytes};
		return {kind: 'answered'};
	}

	answer.destroy();
	return {kind: 'broken', reason: result.reason ?? 'The answer ended early.', slotOutcome: 'broke-off'};
}

function isRetryable({repeat, isStream, isResumable}: TrafficRoute): boolean {
	return isStream ? isResumable : repeat === 'idempotent';
}

/** Whether a request may be sent to another target after an attempt. */
export function mayRetry({route, progress, exchange}: ForwardContext, outcome: 'not-run' | 'broken'): boolean {
	if (exchange.hasStarted() && !(route.isStream && route.isResumable && progress.eventOrder?.canContinue())) {
		return false;
	}

	return progress.attempts < route.maxAttempts && (outcome === 'not-run' || isRetryable(route));
}
