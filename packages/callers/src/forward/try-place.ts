import type {TrafficRoute} from '@egretrill/common';
import type {Forwarding, Outcome} from './forwarding.js';
import type {Place, PlaceEnd} from './place-queue.js';
import {relayEvents, type RelayEnd, relayWhole} from './relay.js';
import type {AnswerFacts, ForwardCall} from './types.js';

const STATUS_MISDIRECTED = 421;
const STATUS_SERVER_ERROR = 500;
/** Statuses that promise a caller that its request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/** Sends the request to one target and passes on its answer. */
export async function tryPlace(work: Forwarding, place: Place): Promise<Outcome> {
	const {parts: {clock, observer}, call, progress} = work;
	const startedMs = clock.now();
	progress.targetId = place.targetId;
	progress.outstanding = place.outstanding;
	let outcome: Outcome = {kind: 'broken', reason: 'The exchange failed.', targetEnd: 'answered'};
	try {
		outcome = await exchangeWith(work, place);
	} finally {
		place.release(getTargetEnd(work, outcome));
		progress.tried.add(place.targetId);
	}

	progress.mayHaveRun ||= outcome.kind === 'broken';
	observer.noteAttempt({
		call, place, attempt: progress.attempts, outcome: outcome.kind, tookMs: clock.now() - startedMs, ...('reason' in outcome && {reason: outcome.reason}),
	});
	return outcome;
}

/** What an attempt tells of its target; a caller that leaves tells nothing against it. */
function getTargetEnd({signal, progress}: Forwarding, outcome: Outcome): PlaceEnd {
	if (outcome.kind === 'answered') {
		return (progress.status ?? 0) >= STATUS_SERVER_ERROR ? 'failed' : 'answered';
	}

	return signal.aborted ? 'answered' : outcome.targetEnd;
}

async function exchangeWith(work: Forwarding, place: Place): Promise<Outcome> {
	const {parts, call, body, route, customer, progress, signal, endsMs} = work;
	const headers = parts.dialect.writeSendHeaders(call, {
		targetId: place.targetId,
		timeLeftMs: Math.max(1, Math.floor(endsMs - parts.clock.now())),
		bodyLength: body.length,
		customer: customer?.name,
		priority: customer?.priority ?? route.priority,
		lastEventId: progress.lastEventId,
	});
	const sent = await parts.sender.send({
		address: place.address, method: call.method, url: call.url, headers, body, mayReuse: isRepeatable(route),
	}, signal);
	if (sent.isErr) {
		progress.attempts += sent.error.accepted ? 1 : 0;
		return sent.error.accepted
			? {kind: 'broken', reason: `The target broke off: ${sent.error.reason}`, targetEnd: 'broke-off'}
			: {kind: 'not-run', reason: `The target cannot be reached: ${sent.error.reason}`, targetEnd: 'unreachable'};
	}

	progress.attempts += 1;
	const answer = sent.value;
	const facts = parts.dialect.readAnswer(answer);
	if (facts.outstanding !== undefined) {
		place.updateOutstanding(facts.outstanding);
	}

	const isOther = facts.attemptId !== undefined && facts.attemptId !== call.attemptId;
	if (!isOther && (facts.isNotExecuted || answer.status === STATUS_MISDIRECTED)) {
		answer.discard();
		return {kind: 'not-run', reason: `The target refused with ${answer.status}.`, targetEnd: answer.status === STATUS_MISDIRECTED ? 'answered' : 'failed'};
	}

	const fault = findFault(facts, answer.status, call);
	if (fault !== undefined) {
		answer.destroy();
		return {kind: 'broken', reason: fault, targetEnd: 'broke-off'};
	}

	if (answer.status >= STATUS_SERVER_ERROR && mayRepeat(work, 'broken') && parts.getRetries(work.service).hasRetry()) {
		answer.destroy();
		return {kind: 'broken', reason: `The target failed with ${answer.status}.`, targetEnd: 'failed'};
	}

	return relay(work, answer, facts);
}

/** Why an answer cannot belong to the request, or undefined. */
function findFault({attemptId, isSigned}: AnswerFacts, status: number, call: ForwardCall): string | undefined {
	if (attemptId !== undefined && attemptId !== call.attemptId) {
		return 'The answer belongs to another request.';
	}

	if (!isSigned || (status < 300 && attemptId === undefined)) {
		return 'The answer does not carry the signature of a target.';
	}

	// These statuses promise callers that nothing has run, which this target does not say.
	return notRunStatuses.has(status) ? `The target answered ${status} and may have run the request.` : undefined;
}

async function relay(work: Forwarding, answer: Parameters<typeof relayWhole>[0]['answer'], facts: AnswerFacts): Promise<Outcome> {
	const {parts: {clock}, exchange, route, progress} = work;
	const isEvents = facts.isEventStream && answer.status < 300;
	if (exchange.hasBegun() && !isEvents) {
		answer.destroy();
		return {kind: 'broken', reason: `The target answered the rest of a stream with ${answer.status}.`, targetEnd: 'answered'};
	}

	progress.status = answer.status;
	const relayed = {
		exchange, answer, headers: facts.headers, onPiece() {
			progress.pieces.note();
		},
	};
	const end: RelayEnd = isEvents
		? await relayEvents(relayed, progress.lastEventId, route.isResumable ? {clock} : undefined)
		: await relayWhole(relayed);
	progress.lastEventId = end.lastEventId ?? progress.lastEventId;
	if (end.kind === 'complete') {
		progress.answerEnd = {framing: answer.framing, bytes: end.bytes};
		return {kind: 'answered'};
	}

	answer.destroy();
	return {kind: 'broken', reason: end.reason ?? 'The answer ended early.', targetEnd: 'broke-off'};
}

function isRepeatable({repeat, isStream, isResumable}: TrafficRoute): boolean {
	return isStream ? isResumable : repeat === 'idempotent';
}

/** Whether a request may go to another target after an attempt. */
export function mayRepeat({route, progress, exchange}: Forwarding, outcome: 'not-run' | 'broken'): boolean {
	if (exchange.hasBegun() && !(route.isStream && route.isResumable)) {
		return false;
	}

	return progress.attempts < route.maxAttempts && (outcome === 'not-run' || isRepeatable(route));
}
