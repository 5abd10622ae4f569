import {
	mayHaveRun, refuse, type TrafficCustomer, type TrafficRoute, type Verdict,
} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {
	MIN_RETRY_AFTER_MS, MIN_TIME_LEFT_TO_SEND_MS, NO_TARGET_RETRY_MS,
} from './constants.js';
import type {ForwardEndEvent, ForwardDependencies} from './forward-dependencies.js';
import type {ForwardContext, ForwardProgress} from './forward-context.js';
import {ChunkTimes} from './chunk-times.js';
import type {TargetSlot, SlotRequirements} from './slot-queue.js';
import type {RateDecision} from './rate-allocations.js';
import {getCost, pickService, type RouteTable} from './route-table.js';
import {mayRetry, forwardToTarget} from './forward-to-target.js';
import type {ForwardCall} from './types.js';
import {getWaitLimits} from './wait-limits.js';

/** The end of a forwarded request. */
type ForwardOutcome = 'answered' | 'broken' | Verdict;

/** Serves one request of a caller from its arrival to its answer. */
export async function forwardRequest(exchange: CallerExchange, deps: ForwardDependencies): Promise<void> {
	const startedMs = deps.clock.now();
	const progress: ForwardProgress = {
		tried: new Set(), attempts: 0, mayHaveRun: false, waitMs: 0, lastEventId: undefined, chunkTimes: new ChunkTimes(deps.clock, startedMs),
	};
	const table = deps.getTable();
	const call = deps.dialect.readCall(exchange.head);
	const admitted = table && call ? await admit(exchange, table, call, deps) : undefined;
	let end: ForwardOutcome;
	if (!table) {
		end = refuse(503, 'not-ready', 'This host has no configuration yet.', NO_TARGET_RETRY_MS);
	} else if (!call) {
		end = refuse(400, 'invalid-request', 'The request lacks what it needs to be served.');
	} else if (!admitted || 'refusal' in admitted) {
		end = admitted?.refusal ?? refuse(400, 'invalid-request', 'The request was not read.');
	} else {
		progress.lastEventId = call.lastEventId;
		end = await runWithDeadline({
			...admitted, deps, exchange, call, table, progress,
		}, startedMs);
	}

	endExchange(exchange, end);
	deps.observer.recordEnd({
		...(call && {call}),
		...(admitted && {route: admitted.route?.name, targetLatencyMs: admitted.route?.targetLatencyMs, customer: admitted.customer?.name}),
		configVersion: table?.config.version,
		outcome: exchange.callerDisconnected.aborted && end !== 'answered' ? 'left' : end,
		status: progress.status,
		targetId: progress.targetId,
		outstanding: progress.outstanding,
		attempts: progress.attempts,
		waitMs: progress.waitMs,
		tookMs: deps.clock.now() - startedMs,
		...getChunkTimes(progress.chunkTimes),
		...(progress.answerSummary && {bodyEnd: progress.answerSummary.framing, bodyBytes: progress.answerSummary.bytes}),
	});
}

function getChunkTimes(chunkTimes: ChunkTimes): Pick<ForwardEndEvent, 'firstMs' | 'longestPauseMs'> {
	const firstMs = chunkTimes.getFirstMs();
	return firstMs === undefined ? {} : {firstMs, longestPauseMs: chunkTimes.getLongestPauseMs()};
}

function endExchange(exchange: CallerExchange, end: ForwardOutcome): void {
	if (end === 'answered' || exchange.callerDisconnected.aborted) {
		return;
	}

	if (end === 'broken' || exchange.hasStarted()) {
		exchange.abort();
		return;
	}

	exchange.refuse(end);
}

type Admitted = Pick<ForwardContext, 'route' | 'service' | 'customer' | 'body'>;

/** A request that is not served, with what was found out about it. */
type Refused = {readonly refusal: Verdict; readonly route?: TrafficRoute; readonly customer?: TrafficCustomer};

/** Finds out whether the configuration allows a request, and counts it against its customer's rate. */
async function admit(exchange: CallerExchange, table: RouteTable, call: ForwardCall, deps: ForwardDependencies): Promise<Admitted | Refused> {
	const route = table.findRoute(call.hostName, call.url);
	if (route.isErr) {
		return {refusal: route.error};
	}

	const customer = table.findCustomer(route.value, call);
	if (customer.isErr) {
		return {refusal: customer.error, route: route.value};
	}

	const body = await exchange.readBody(table.config.limits.maxBodyBytes);
	if (!body) {
		return {refusal: refuse(413, 'body-too-large', `The body is longer than ${table.config.limits.maxBodyBytes} bytes.`), route: route.value, customer: customer.value};
	}

	const service = pickService(route.value, deps.random());
	if (service === undefined) {
		return {refusal: refuse(503, 'no-service', 'The route leads to no service.', NO_TARGET_RETRY_MS), route: route.value, customer: customer.value};
	}

	const rate = customer.value && await spendRate(customer.value, call, deps);
	if (rate && !rate.isGranted) {
		const retryAfterMs = deps.retrySchedule.getRetryAfterMs(customer.value?.name ?? '', Math.max(MIN_RETRY_AFTER_MS, rate.retryAfterMs));
		return {refusal: refuse(429, 'over-rate', 'The customer has used up its rate.', retryAfterMs), route: route.value, customer: customer.value};
	}

	// What lies beyond a customer's rate is served by no copy of its model, so it is no demand.
	deps.observer.recordArrival(service, call);
	return {
		route: route.value, service, customer: customer.value, body,
	};
}

/** Counts a request against its customer's rate: from what this host holds, then from the owner's pool. */
async function spendRate(customer: TrafficCustomer, call: ForwardCall, {rates, poolClient}: ForwardDependencies): Promise<RateDecision> {
	const cost = getCost(customer, call);
	const allocated = rates.spend(customer.name, cost);
	if (allocated.isGranted) {
		return allocated;
	}

	const borrowed = await poolClient.borrow(customer.name, cost) ?? rates.overdraw(customer.name, cost);
	return borrowed.isGranted ? borrowed : {isGranted: false, retryAfterMs: Math.min(allocated.retryAfterMs, borrowed.retryAfterMs)};
}

/** Runs a request until it has an answer, its time is over or its caller leaves. */
async function runWithDeadline(admitted: Omit<ForwardContext, 'endsMs' | 'signal'>, startedMs: number): Promise<ForwardOutcome> {
	const {deps, exchange, call, route} = admitted;
	const {clock} = deps;
	const limitMs = Math.min(route.timeoutMs, call.timeLeftMs ?? route.timeoutMs);
	const stopper = new AbortController();
	const timer = new AbortController();
	const stop = (): void => {
		stopper.abort();
		timer.abort();
	};

	const expire = async (): Promise<void> => {
		await clock.sleep(startedMs + limitMs - clock.now(), timer.signal);
		stopper.abort();
	};

	exchange.callerDisconnected.addEventListener('abort', stop, {once: true});
	deps.stopping.addEventListener('abort', stop, {once: true});
	void expire();
	try {
		return exchange.callerDisconnected.aborted
			? refuse(503, 'caller-left', 'The caller left before the request was placed.')
			: await forwardUntilAnswered({...admitted, endsMs: startedMs + limitMs, signal: stopper.signal});
	} finally {
		timer.abort();
		exchange.callerDisconnected.removeEventListener('abort', stop);
		deps.stopping.removeEventListener('abort', stop);
		refundUnsent(admitted);
	}
}

/** A request that certainly reached no target does not count against the rate. */
function refundUnsent({deps, customer, call, progress}: Omit<ForwardContext, 'endsMs' | 'signal'>): void {
	if (customer && progress.attempts === 0) {
		deps.rates.refund(customer.name, getCost(customer, call));
	}
}

/** Tries targets until one has answered or nothing more may be tried. */
async function forwardUntilAnswered(context: ForwardContext): Promise<ForwardOutcome> {
	const {deps, progress, service} = context;
	const retries = deps.getRetries(service);
	retries.countRequest();
	for (;;) {
		const slot = await acquireSlot(context);
		if ('status' in slot) {
			return getUnansweredOutcome(context, slot);
		}

		const outcome = await forwardToTarget(context, slot);
		if (outcome.kind === 'answered') {
			return 'answered';
		}

		// The budget bounds what arrives at targets; a request that reached none may always go to another one.
		const isUnsent = outcome.kind === 'not-run' && outcome.slotOutcome === 'unreachable';
		if (context.signal.aborted || !mayRetry(context, outcome.kind) || !(isUnsent || retries.tryConsumeRetry())) {
			return getUnansweredOutcome(context, refuse(503, 'target-failed', outcome.reason, MIN_RETRY_AFTER_MS));
		}
	}
}

async function acquireSlot(work: ForwardContext): Promise<TargetSlot | Verdict> {
	const {deps: {clock, queue}, call, service, customer, route, progress, endsMs, signal, table} = work;
	const leftMs = endsMs - clock.now();
	if (leftMs < MIN_TIME_LEFT_TO_SEND_MS) {
		return refuse(503, 'out-of-time', 'The time of the request is over.', MIN_RETRY_AFTER_MS);
	}

	const usesModel = table.services.get(service)?.engine !== undefined;
	const requirements: SlotRequirements = {
		service, parts: call.promptParts, tried: progress.tried, ...(usesModel && {model: call.model, adapter: call.adapter}),
	};
	const startedMs = clock.now();
	const found = await queue.acquire(requirements, customer?.priority ?? route.priority, getWaitLimits(route, leftMs), signal);
	progress.waitMs += clock.now() - startedMs;
	return found.isOk ? found.value : found.error;
}

/** Ends a request without an answer; the refusal is only true while no target may have run it. */
function getUnansweredOutcome({progress, exchange, signal}: ForwardContext, verdict: Verdict): ForwardOutcome {
	if (exchange.hasStarted()) {
		return 'broken';
	}

	if (progress.mayHaveRun) {
		return signal.aborted
			? mayHaveRun(504, 'timeout', 'No target answered in time.')
			: mayHaveRun(502, 'target-broke-off', verdict.reason);
	}

	return verdict;
}
