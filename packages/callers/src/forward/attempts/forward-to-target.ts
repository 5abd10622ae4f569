import type {MemoryHolding} from '@egretrill/common';
import {STREAM_IDLE_TIMEOUT_MS} from '../constants.js';
import {EventOrder} from '../streams/event-order.js';
import {StreamPace} from '../streams/stream-pace.js';
import {NO_ROOM} from '../streams/event-splitter.js';
import type {AttemptFailure, AttemptOutcome, ForwardContext} from '../forward-context.js';
import type {AttemptSlot} from '../waiting/slot-search.js';
import {relayBuffered, relayEvents, type RelayResult} from '../streams/relay.js';
import {SwitchWatch} from '../streams/switch-watch.js';
import {
	endAttempt, EXCHANGE_FAILED, isEventStream, openAttempt, type OpenAttempt,
} from './open-attempt.js';

/** Sends the request to a target and relays its answer; a stream that falls silent may go on at other targets. */
export async function forwardToTarget(context: ForwardContext, attemptSlot: AttemptSlot): Promise<AttemptOutcome> {
	recordTarget(context, attemptSlot);
	let attempt = await openAttempt(context, attemptSlot, context.signal);
	if (attempt.kind !== 'open') {
		return attempt;
	}

	for (;;) {
		const watch = createWatch(context, attempt);
		const outcome = await relayAttempt(context, attempt, watch);
		const next = await watch?.getNext();
		if (!next) {
			return outcome;
		}

		recordTarget(context, next);
		attempt = next;
	}
}

function recordTarget({progress}: ForwardContext, {slot: {targetId, outstanding}}: AttemptSlot): void {
	progress.targetId = targetId;
	progress.outstanding = outstanding;
}

function createWatch(context: ForwardContext, attempt: OpenAttempt): SwitchWatch | undefined {
	return context.route.isResumable && isEventStream(attempt.answer, attempt.metadata) ? new SwitchWatch(context, attempt) : undefined;
}

async function relayAttempt(context: ForwardContext, attempt: OpenAttempt, watch: SwitchWatch | undefined): Promise<AttemptOutcome> {
	let outcome: AttemptOutcome = EXCHANGE_FAILED;
	try {
		outcome = await relay(context, attempt, watch);
	} finally {
		watch?.endSearch(outcome.kind === 'answered');
		endAttempt(context, attempt, outcome);
	}

	return outcome;
}

function recordBegun({call, customer, deps: {observer}, progress}: ForwardContext): void {
	// A stream that its caller resumes was counted by the host where it began.
	if (customer && call.lastEventId === undefined && !progress.hasBegun) {
		progress.hasBegun = true;
		observer.recordBegun?.(customer.name);
	}
}

/** The order of the events that the caller has; those of an answer that never began did not reach it. */
function getEventOrder({exchange, progress, route}: ForwardContext): EventOrder {
	const delivered = exchange.hasStarted() ? progress.eventOrder : undefined;
	return delivered ?? new EventOrder(route.isResumable ? progress.lastEventId : undefined);
}

/** Opens the holding of an answer: events have to be held until they are complete; other answers are buffered only while there is room. */
function openHolding({deps: {memory}}: ForwardContext, {answer, metadata}: OpenAttempt): MemoryHolding {
	return memory.open({
		isOptional: !isEventStream(answer, metadata),
		onEvicted() {
			// The body then ends with an error.
			answer.destroy();
		},
	});
}

async function relay(context: ForwardContext, attempt: OpenAttempt, watch: SwitchWatch | undefined): Promise<AttemptOutcome> {
	const {exchange, progress} = context;
	const {answer, metadata, sent, slot} = attempt;
	const holding = openHolding(context, attempt);
	progress.status = answer.status;
	const pace = new StreamPace();
	const relayed = {
		exchange, holding, answer, turns: context.deps.turns, headers: metadata.headers, onChunk(lastEventId: number | undefined) {
			recordBegun(context);
			progress.chunkTimes.recordChunk();
			pace.recordChunk(progress.chunkTimes.getLastAtMs(), lastEventId);
			sent.recordEvent();
			slot.recordActivity();
			progress.lastEventId = lastEventId ?? progress.lastEventId;
		},
	};
	let result: RelayResult;
	try {
		if (isEventStream(answer, metadata)) {
			const order = getEventOrder(context);
			progress.eventOrder = order;
			result = await relayEvents(relayed, order, watch);
		} else {
			recordBegun(context);
			progress.eventOrder = undefined;
			result = await relayBuffered(relayed);
		}
	} finally {
		holding.release();
	}

	progress.relayedBytes += result.bytes;
	if (result.kind === 'complete') {
		recordPace(context, attempt, pace);
		progress.answerSummary = {framing: answer.framing, bytes: progress.relayedBytes};
		return {kind: 'answered'};
	}

	answer.destroy();
	return describeBroken(context, result, {wasEvicted: holding.wasEvicted, watch});
}

/** Records how fast the target has sent a complete stream, and how long streams of the route are. */
function recordPace({deps: {sizes}, route, call}: ForwardContext, {slot}: OpenAttempt, {events, durationMs}: StreamPace): void {
	if (events > 0) {
		slot.recordStream(events, durationMs);
		if (call.lastEventId === undefined) {
			sizes.recordStream(route.name, call, events);
		}
	}
}

type RelayEnd = {readonly wasEvicted: boolean; readonly watch: SwitchWatch | undefined};

function describeBroken({signal}: ForwardContext, {reason}: RelayResult, {wasEvicted, watch}: RelayEnd): AttemptFailure {
	if (watch?.hasMoved()) {
		return watch.hasLeft()
			? {kind: 'broken', reason: 'The target leaves before the end of the stream, and another one goes on with it.', slotOutcome: 'answered'}
			: {kind: 'broken', reason: `The target completed no event for ${STREAM_IDLE_TIMEOUT_MS} ms, and another one goes on with the stream.`, slotOutcome: 'replaced'};
	}

	// The target is not to blame for what this host has no memory for.
	if (wasEvicted || reason === NO_ROOM) {
		return {kind: 'broken', reason: NO_ROOM, slotOutcome: 'answered'};
	}

	if (signal.aborted) {
		return {kind: 'broken', reason: String(signal.reason), slotOutcome: 'answered'};
	}

	return {
		kind: 'broken', reason: reason ?? 'The answer ended early.', slotOutcome: 'broke-off', ...(reason === undefined && {lostConnection: true}),
	};
}
