import {
	mayHaveRun, refuse, type TargetRequest, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {refuseExpiredShare} from './admission.js';
import {checkKey} from './authenticate.js';
import {MIN_TIME_LEFT_TO_START_MS, OPEN_CUSTOMER, UNFORWARDED_HEADERS} from './constants.js';
import {decideRetry} from './decide-retry.js';
import type {AttemptResult, Exchange, TargetRequestBuilder} from './exchange-types.js';
import {relayAnswer} from './relay-answer.js';
import {relayStream} from './relay-stream.js';
import type {ChosenTarget, TargetOutcome, TargetRequirements} from './target-pool.js';

type FailedResult = Extract<AttemptResult, {readonly kind: 'failed'}>;

/** How an admitted request ended. */
export type RunResult = {readonly kind: 'completed'; readonly tokens?: number} | {readonly kind: 'cancelled'};

const targetUnavailable: FailedResult = {kind: 'failed', deliveredChunks: 0, failure: {accepted: false, code: 'target-left', reason: 'The chosen target takes no more work.'}};

function getRemainingMs({deadlineMs, deps}: Exchange): number {
	return deadlineMs - deps.clock.now();
}

function createRequestBuilder(exchange: Exchange): TargetRequestBuilder {
	const headers = Object.fromEntries(Object.entries(exchange.req.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)));
	return (resumeFrom): TargetRequest => ({
		requestId: exchange.req.requestId,
		method: exchange.req.method,
		path: exchange.req.path,
		headers: exchange.work.chat ? {...headers, 'content-type': 'application/json'} : headers,
		body: exchange.req.body,
		deadlineMs: getRemainingMs(exchange),
		...(resumeFrom > 0 && {resumeFrom}),
	});
}

function createRequirements(exchange: Exchange, {excluded, resumeAt}: RunState): TargetRequirements {
	const {work, identity, req} = exchange;
	return {
		requestId: req.requestId,
		kind: work.route.kind === 'model' ? 'engine' : 'service',
		prompt: work.prompt,
		excluded,
		timeoutMs: getRemainingMs(exchange),
		...(resumeAt !== undefined && {startId: resumeAt}),
		...(identity.customer && {customer: identity.customer.id}),
		...(work.chat && {model: work.chat.model}),
		...(work.chat?.adapter !== undefined && {adapter: work.chat.adapter}),
		...(work.route.kind === 'service' && {service: work.route.service}),
	};
}

function refuseGoneCaller(): Verdict {
	return refuse(499, 'caller-gone', 'The caller closed the connection.');
}

/** Checks again, right before the request is sent, the conditions that may have changed while it waited. */
export function checkBeforeSend({identity, deps, signal, ...exchange}: Exchange): Result<true, Verdict> {
	const index = deps.config.getIndex();
	if (signal.aborted) {
		return Result.err(refuseGoneCaller());
	}

	if (exchange.deadlineMs - deps.clock.now() < MIN_TIME_LEFT_TO_START_MS) {
		return Result.err(refuse(504, 'deadline-passed', 'The deadline passed before the request could be sent.'));
	}

	if (!index) {
		return Result.err(refuse(503, 'not-ready', 'This host has no configuration yet.', 1000));
	}

	const key = identity.keyDigest === undefined ? Result.ok<unknown, Verdict>(true) : checkKey(index, identity.keyDigest, deps.config.getAgeMs());
	return key.andThen(() => exchange.admission.start() ? Result.ok<true, Verdict>(true) : Result.err<true, Verdict>(refuseExpiredShare()));
}

/** Changes a "not run" refusal to "may have run" if an earlier attempt may have reached a target. */
function adjustForEarlierAttempt(verdict: Verdict, state: RunState): Verdict {
	return state.hasReachedTarget && verdict.run === 'not-run' ? mayHaveRun(verdict.status, verdict.code, verdict.reason) : verdict;
}

function getTargetOutcome(result: AttemptResult): TargetOutcome {
	switch (result.kind) {
		case 'completed': {
			return 'completed';
		}

		case 'cancelled': {
			return 'cancelled';
		}

		case 'failed': {
			// Nothing was sent to a target that accepts no requests, so it must not count as unreachable.
			return result.failure.accepted ? 'failed' : (result.failure === targetUnavailable.failure ? 'cancelled' : 'unreachable');
		}
	}
}

/** State carried from one attempt to the next. */
type RunState = {
	readonly attempt: number;
	readonly excluded: ReadonlySet<string>;
	readonly deliveredChunks: number;
	readonly isTextDelivered: boolean;
	readonly hasReachedTarget: boolean;
	/** The target start that holds the state of the answer to resume. */
	readonly resumeAt?: string;
};

/** Makes one attempt at a chosen target. */
async function attemptOnTarget(exchange: Exchange, chosen: ChosenTarget, state: RunState): Promise<AttemptResult> {
	if (!chosen.isAvailable() && state.resumeAt === undefined) {
		return {...targetUnavailable, deliveredChunks: state.deliveredChunks};
	}

	const {deps, req, identity, work} = exchange;
	const {targetId, startId} = chosen.address;
	deps.observer.recordSend({
		requestId: req.requestId,
		customer: identity.customer?.id,
		keyDigest: identity.keyDigest,
		targetId,
		startId,
		isIdempotent: work.route.idempotent,
		isResume: state.resumeAt !== undefined,
		hasPermit: chosen.hasPermit,
	});
	const buildRequest = createRequestBuilder(exchange);
	return exchange.work.chat?.stream
		? relayStream(exchange, chosen.address, state, buildRequest)
		: relayAnswer(exchange, chosen.address, buildRequest);
}

/** Determines what follows a failed attempt: the state of the next attempt or the verdict that ends the request. */
async function getNextState(exchange: Exchange, chosen: ChosenTarget, state: RunState, failed: FailedResult): Promise<Result<RunState, Verdict>> {
	const {deps, work, req} = exchange;
	const {targetId, startId} = chosen.address;
	// An engine that has answered with a status is still running.
	const mayHaveEnded = failed.failure.accepted && failed.failure.code !== 'engine-status';
	const hasProcessEnded = mayHaveEnded && await chosen.hasEnded();
	if (hasProcessEnded && !exchange.sent?.isSettled()) {
		// The crash is reported to the leader before the request is sent to another target.
		await deps.observer.recordCrash(exchange.keys, startId);
	}

	const decision = decideRetry({
		failure: failed.failure,
		attempt: state.attempt,
		isIdempotent: work.route.idempotent,
		isDeterministic: work.isDeterministic,
		deliveredChunks: failed.deliveredChunks,
		isProcessAnnounced: chosen.isProcessAnnounced(),
		hasProcessEnded,
	}, () => deps.retries.tryConsumeRetry());
	deps.logger.info({
		requestId: req.requestId, targetId, attempt: state.attempt, failure: failed.failure.code, next: decision.next,
	}, 'An attempt failed.');
	if (decision.next === 'give-up') {
		return Result.err(decision.verdict);
	}

	const isResume = decision.next === 'resume-same';
	// A target that accepts no requests without a permit may be chosen again with one; the pool itself skips a target that is leaving.
	const isExcluded = !isResume && failed.failure !== targetUnavailable.failure;
	return Result.ok({
		attempt: state.attempt + 1,
		excluded: isExcluded ? new Set([...state.excluded, targetId]) : state.excluded,
		deliveredChunks: failed.deliveredChunks,
		isTextDelivered: failed.isTextDelivered ?? state.isTextDelivered,
		hasReachedTarget: state.hasReachedTarget || failed.failure.accepted,
		...(isResume && {resumeAt: startId}),
	});
}

function recordTimes({deps, identity, work}: Exchange, chosen: ChosenTarget, result: AttemptResult): void {
	if (result.kind === 'completed' && result.times) {
		chosen.recordFirstToken(result.times.firstTokenMs);
		deps.observer.recordTimes({customer: identity.customer?.id ?? OPEN_CUSTOMER, model: work.chat?.model, ...result.times});
	}
}

/** Runs an admitted request on one target after another until it is answered or must not be retried. */
export async function runOnTargets(exchange: Exchange): Promise<Result<RunResult, Verdict>> {
	let state: RunState = {
		attempt: 1, excluded: new Set(), deliveredChunks: 0, isTextDelivered: false, hasReachedTarget: false,
	};
	for (;;) {
		const refusal = await exchange.deps.crashGate.waitForTurn(exchange.keys, getRemainingMs(exchange), exchange.signal);
		if (refusal) {
			return Result.err(adjustForEarlierAttempt(refusal, state));
		}

		const chosen = await exchange.deps.targets.choose(createRequirements(exchange, state), exchange.signal);
		if (chosen.isErr) {
			return Result.err(adjustForEarlierAttempt(chosen.error, state));
		}

		const refreshed = await exchange.admission.refresh();
		// The last check before the request is sent: key, deadline and caller may have changed during the waits above.
		const allowed = refreshed.andThen(() => checkBeforeSend(exchange));
		if (allowed.isErr) {
			chosen.value.release('cancelled');
			return Result.err(adjustForEarlierAttempt(allowed.error, state));
		}

		const sent = exchange.deps.crashGate.start(exchange.keys);
		if (!sent) {
			chosen.value.release('cancelled');
			continue;
		}

		const attempt = {...exchange, sent};
		const result = await attemptOnTarget(attempt, chosen.value, state);
		const isCancelledUnsent = result.kind === 'cancelled' && result.isUnsent === true;
		const isFailedUnsent = result.kind === 'failed' && !result.failure.accepted;
		if (isCancelledUnsent || isFailedUnsent) {
			exchange.deps.observer.recordUnsent(exchange.req.requestId);
		}

		recordTimes(exchange, chosen.value, result);
		chosen.value.release(getTargetOutcome(result));
		if (isCancelledUnsent) {
			sent.release();
			return Result.err(adjustForEarlierAttempt(refuseGoneCaller(), state));
		}

		if (result.kind === 'completed') {
			sent.complete();
		}

		if (result.kind !== 'failed') {
			sent.release();
			return Result.ok(result);
		}

		const next = await getNextState(attempt, chosen.value, state, result);
		sent.release();
		if (next.isErr) {
			return Result.err(adjustForEarlierAttempt(next.error, state));
		}

		state = next.value;
	}
}
