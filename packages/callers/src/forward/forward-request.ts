import {
	mayHaveRun, refuse, type TrafficCustomer, type TrafficRoute, type Verdict,
} from '@egretrill/common';
import {type CallerExchange, UNREAD_ANSWER} from './caller-exchange.js';
import {MIN_RETRY_AFTER_MS, NO_TARGET_RETRY_MS, OVERLOADED_RETRY_MS} from './constants.js';
import type {ForwardEndEvent, ForwardDependencies} from './forward-dependencies.js';
import type {ForwardContext, ForwardProgress} from './forward-context.js';
import {refuseUnconfirmedKey} from './refuse-key.js';
import {refuseBeforeStop, refuseForStop, type StopCheck} from './stops/refuse-before-stop.js';
import {ChunkTimes} from './streams/chunk-times.js';
import {forwardToTarget} from './attempts/forward-to-target.js';
import {GuardedSender} from './attempts/guarded-sender.js';
import {listKeys} from './list-keys.js';
import {spendRate} from './rates/spend-rate.js';
import {getCost, pickService, type RouteTable} from './route-table.js';
import {type BodyFailure, HeldBody} from './held-body.js';
import {acquireSlot} from './waiting/slot-search.js';
import {mayRetry} from './attempts/open-attempt.js';
import type {ForwardCall} from './types.js';

/** How a forwarded request ended. */
type ForwardOutcome = 'answered' | 'broken' | Verdict;

/** What is known of a request so far. */
type RequestState = {
	readonly startedMs: number;
	readonly table: RouteTable | undefined;
	readonly progress: ForwardProgress;
	readonly body: HeldBody;
	call?: ForwardCall;
	admitted?: Admitted | Refused;
	/** Whether the exchange with the caller has been ended. */
	hasEnded?: boolean;
};

/** Serves a caller's request from its arrival to its answer. Ends the request after an unexpected exception as well, and then rejects with it. */
export async function forwardRequest(exchange: CallerExchange, deps: ForwardDependencies): Promise<void> {
	const startedMs = deps.clock.now();
	const state: RequestState = {
		startedMs,
		table: deps.getTable(),
		body: new HeldBody(deps.memory),
		progress: {
			tried: new Set(), attempts: 0, mayHaveRun: false, waitMs: 0, lastEventId: undefined, relayedBytes: 0, chunkTimes: new ChunkTimes(deps.clock, startedMs),
		},
	};
	const sender = new GuardedSender(deps.sender);
	try {
		finish(exchange, deps, state, await runRequest(exchange, {...deps, sender}, state));
	} catch (err: unknown) {
		if (!state.hasEnded) {
			sender.destroyLastAnswer();
			finish(exchange, deps, state, getFailedOutcome(exchange, state.progress));
		}

		throw err;
	} finally {
		state.body.release();
	}
}

/** Runs a request and returns its outcome; keeps in the state what becomes known of it. */
async function runRequest(exchange: CallerExchange, deps: ForwardDependencies, state: RequestState): Promise<ForwardOutcome> {
	const {startedMs, table, progress} = state;
	const call = deps.dialect.readCall(exchange.head);
	state.call = call;
	if (!table) {
		return refuse(503, 'not-ready', 'This host has no configuration yet.', NO_TARGET_RETRY_MS);
	}

	if (!call) {
		return refuse(400, 'invalid-request', 'The request lacks what it needs to be served.');
	}

	const admitted = await admit(exchange, deps, state, {table, call});
	state.admitted = admitted;
	if ('refusal' in admitted) {
		return admitted.refusal;
	}

	progress.lastEventId = call.lastEventId;
	return runWithDeadline({
		...admitted, deps, exchange, call, table, progress,
	}, startedMs);
}

/** The outcome of a request that an unexpected exception ended. */
function getFailedOutcome(exchange: CallerExchange, {attempts, answerSummary}: ForwardProgress): ForwardOutcome {
	if (answerSummary) {
		return 'answered';
	}

	if (exchange.hasStarted()) {
		return 'broken';
	}

	return attempts > 0
		? mayHaveRun(502, 'internal-error', 'The request failed unexpectedly after it was sent to a target.')
		: refuse(503, 'internal-error', 'The request failed unexpectedly before it was sent to a target.', MIN_RETRY_AFTER_MS);
}

/** Ends the exchange with the caller and records the end. */
function finish(exchange: CallerExchange, deps: ForwardDependencies, state: RequestState, outcome: ForwardOutcome): void {
	const isRequestComplete = exchange.isRequestComplete();
	state.hasEnded = true;
	try {
		endExchange(exchange, outcome);
	} finally {
		deps.observer.recordEnd(createEndEvent(exchange, deps, state, {outcome, isRequestComplete}));
	}
}

type End = {readonly outcome: ForwardOutcome; readonly isRequestComplete: boolean};

function createEndEvent({callerDisconnected}: CallerExchange, {clock}: ForwardDependencies, {startedMs, table, progress, call, admitted}: RequestState, {outcome, isRequestComplete}: End): ForwardEndEvent {
	return {
		...(call && {call}),
		...(admitted && {route: admitted.route?.name, targetLatencyMs: admitted.route?.targetLatencyMs, customer: admitted.customer?.name}),
		configVersion: table?.config.version,
		outcome: callerDisconnected.aborted && outcome !== 'answered' ? getDisconnectOutcome(callerDisconnected) : outcome,
		status: progress.status,
		targetId: progress.targetId,
		outstanding: progress.outstanding,
		attempts: progress.attempts,
		waitMs: progress.waitMs,
		tookMs: clock.now() - startedMs,
		...getChunkTimes(progress.chunkTimes),
		...(!isRequestComplete && {isRequestIncomplete: true}),
		...getStopDetails(progress),
		...(progress.answerSummary && {bodyEnd: progress.answerSummary.framing, bodyBytes: progress.answerSummary.bytes}),
	};
}

/** What a planned stop has to do with a request. */
function getStopDetails({
	stopRefusal, stopArrival, stopEstimate, wasCutByStop, attempts, answerSummary, relayedBytes,
}: ForwardProgress): Pick<ForwardEndEvent, 'stopArrival' | 'stopEstimate' | 'stopRefusal' | 'wasCutByStop' | 'relayedBytes'> {
	const isCut = wasCutByStop && attempts > 0 && !answerSummary;
	return {
		...(stopRefusal && !answerSummary && {stopRefusal}),
		...(stopArrival && {stopArrival}),
		...(stopEstimate && {stopEstimate}),
		...(isCut && {wasCutByStop, relayedBytes}),
	};
}

function getDisconnectOutcome({reason}: AbortSignal): 'left' | 'unread' {
	return reason === UNREAD_ANSWER ? 'unread' : 'left';
}

function getChunkTimes(chunkTimes: ChunkTimes): Pick<ForwardEndEvent, 'firstMs' | 'longestPauseMs'> {
	const firstMs = chunkTimes.getFirstMs();
	return firstMs === undefined ? {} : {firstMs, longestPauseMs: chunkTimes.getLongestPauseMs()};
}

function endExchange(exchange: CallerExchange, outcome: ForwardOutcome): void {
	if (outcome === 'answered' || exchange.callerDisconnected.aborted) {
		return;
	}

	if (outcome === 'broken' || exchange.hasStarted()) {
		exchange.abort();
		return;
	}

	exchange.refuse(outcome);
}

type Admitted = Pick<ForwardContext, 'route' | 'service' | 'customer' | 'body'>;

/** A refused request, with what is known about it. */
type Refused = {readonly refusal: Verdict; readonly route?: TrafficRoute; readonly customer?: TrafficCustomer};

type ParsedRequest = {readonly table: RouteTable; readonly call: ForwardCall};

/** Time at which a request reaches its time limit. */
function getEndsMs({timeoutMs}: TrafficRoute, {timeLeftMs}: ForwardCall, startedMs: number): number {
	return startedMs + Math.min(timeoutMs, timeLeftMs ?? timeoutMs);
}

/** Checks that the configuration allows a request, and charges it to its customer's rate. */
async function admit(exchange: CallerExchange, deps: ForwardDependencies, {startedMs, progress, body: heldBody}: RequestState, {table, call}: ParsedRequest): Promise<Admitted | Refused> {
	const route = table.findRoute(call.hostName, call.url);
	if (route.isErr) {
		return {refusal: route.error};
	}

	const customer = table.findCustomer(route.value, call);
	if (customer.isErr) {
		return {refusal: customer.error, route: route.value};
	}

	const known = {route: route.value, customer: customer.value};
	const unconfirmed = refuseUnconfirmedKey(customer.value, deps);
	if (unconfirmed) {
		return {refusal: unconfirmed, ...known};
	}

	const body = await readAllowedBody(exchange, heldBody, {
		table, deps, stopCheck: {
			route: route.value, call, progress, endsMs: getEndsMs(route.value, call, startedMs),
		},
	});
	if ('status' in body) {
		return {refusal: body, ...known};
	}

	// A refused request is neither charged to a rate nor counted as demand.
	const blocked = deps.crashGate.getRefusal(listKeys({
		deps, call, progress, customer: customer.value, body,
	}));
	if (blocked) {
		return {refusal: blocked, ...known};
	}

	const service = pickService(route.value, deps.random());
	if (service === undefined) {
		return {refusal: refuse(503, 'no-service', 'The route leads to no service.', NO_TARGET_RETRY_MS), ...known};
	}

	const overRate = customer.value && await spendRate(customer.value, call, deps);
	if (overRate) {
		return {refusal: overRate, ...known};
	}

	// No copy of a model serves requests over the customer's rate, so they do not count as demand.
	deps.observer.recordArrival(service, call);
	return {...known, service, body};
}

/** What a request has to meet before its body is read, and after. */
type BodyCheck = {readonly table: RouteTable; readonly deps: ForwardDependencies; readonly stopCheck: Omit<StopCheck, 'deps'>};

/** Reads the body of a request, unless it is too long or not expected to end before this host stops. */
async function readAllowedBody(exchange: CallerExchange, heldBody: HeldBody, {table: {config: {limits}}, deps, stopCheck}: BodyCheck): Promise<Uint8Array | Verdict> {
	const refusal = refuseBeforeStop({...stopCheck, deps}, 'arrival');
	if (refusal) {
		return refusal;
	}

	const body = await heldBody.read(exchange, limits.maxBodyBytes, deps.stop.ended);
	return refuseBeforeStop({...stopCheck, deps}, 'body')
		?? (body.isOk ? body.value : refuseBody(body.error, limits.maxBodyBytes));
}

function refuseBody(failure: BodyFailure, maxBytes: number): Verdict {
	return failure === 'no-room'
		? refuse(503, 'host-overloaded', 'This host has no memory left for the body.', OVERLOADED_RETRY_MS)
		: refuse(413, 'body-too-large', `The body is longer than ${maxBytes} bytes.`);
}

/** Runs a request until it is answered, times out, its caller disconnects or this host stops. */
async function runWithDeadline(admitted: Omit<ForwardContext, 'endsMs' | 'signal'>, startedMs: number): Promise<ForwardOutcome> {
	const {deps, exchange, call, route} = admitted;
	const {clock, stop: {ended}} = deps;
	const endsMs = getEndsMs(route, call, startedMs);
	const aborter = new AbortController();
	const end = (reason: string): void => {
		aborter.abort(reason);
	};

	const stop = (): void => {
		admitted.progress.wasCutByStop = true;
		end('The stop of this host ended the request.');
	};

	const leave = (): void => {
		end('The caller left.');
	};

	const cancelExpiry = clock.schedule(endsMs - clock.now(), () => {
		end('The time limit of the request was reached.');
	});

	exchange.cancelWritesOn(aborter.signal);
	exchange.callerDisconnected.addEventListener('abort', leave, {once: true});
	ended.addEventListener('abort', stop, {once: true});
	try {
		if (ended.aborted) {
			// Its answer might not arrive before the connections are closed.
			return refuseForStop();
		}

		return exchange.callerDisconnected.aborted
			? refuse(503, 'caller-left', 'The caller left before the request was placed.')
			: await forwardUntilAnswered({...admitted, endsMs, signal: aborter.signal});
	} finally {
		cancelExpiry();
		// An attempt that is still being opened at another target, as after an exception, ends with its request.
		end('The request has ended.');
		exchange.callerDisconnected.removeEventListener('abort', leave);
		ended.removeEventListener('abort', stop);
		refundUnsent(admitted);
	}
}

/** Refunds a request that certainly reached no target. */
function refundUnsent({deps, customer, call, progress}: Omit<ForwardContext, 'endsMs' | 'signal'>): void {
	if (customer && progress.attempts === 0) {
		deps.rates.refund(customer.name, getCost(customer, call));
	}
}

/** Tries one target after another until one has answered or no further attempt is allowed. */
async function forwardUntilAnswered(context: ForwardContext): Promise<ForwardOutcome> {
	const {deps, progress, service} = context;
	const retries = deps.getRetries(service);
	retries.countRequest();
	for (;;) {
		const acquired = await acquireSlot(context);
		if ('status' in acquired) {
			return getUnansweredOutcome(context, acquired);
		}

		const outcome = await forwardToTarget(context, acquired);
		if (outcome.kind === 'answered') {
			return 'answered';
		}

		// The budget limits the load that retries put on targets; an attempt that reached no target does not count against it.
		const isUnsent = outcome.kind === 'not-run' && ['unreachable', 'unsent'].includes(outcome.slotOutcome);
		if (context.signal.aborted || !mayRetry(context, outcome.kind) || !(isUnsent || retries.tryConsumeRetry())) {
			return getUnansweredOutcome(context, refuse(503, 'target-failed', outcome.reason, MIN_RETRY_AFTER_MS));
		}
	}
}

/** The outcome of a request without a complete answer; a refusal with "not run" is correct only if no target may have run the request. */
function getUnansweredOutcome({deps, progress, exchange, signal}: ForwardContext, verdict: Verdict): ForwardOutcome {
	if (exchange.hasStarted()) {
		return 'broken';
	}

	if (deps.stop.ended.aborted) {
		return progress.mayHaveRun ? mayHaveRun(504, 'stopping', 'This host shut down before a target had answered.') : refuseForStop();
	}

	if (progress.mayHaveRun) {
		return signal.aborted
			? mayHaveRun(504, 'timeout', 'No target answered in time.')
			: mayHaveRun(502, 'target-broke-off', verdict.reason);
	}

	return verdict;
}
