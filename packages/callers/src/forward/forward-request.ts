import {
	mayHaveRun, refuse, type TrafficCustomer, type TrafficRoute, type Verdict,
} from '@egretrill/common';
import type {CallerExchange} from './caller-exchange.js';
import {
	MIN_RETRY_AFTER_MS, MIN_SEND_MS, NO_TARGET_RETRY_MS,
} from './constants.js';
import type {ForwardEndNote, ForwardParts} from './forward-parts.js';
import type {Forwarding, Progress} from './forwarding.js';
import {PieceTimes} from './piece-times.js';
import type {Place, PlaceNeed} from './place-queue.js';
import type {RateAnswer} from './rate-part.js';
import {getCost, pickService, type RouteTable} from './route-table.js';
import {mayRepeat, tryPlace} from './try-place.js';
import type {ForwardCall} from './types.js';
import {getWaitLimits} from './wait-limits.js';

/** The end of a forwarded request. */
type End = 'answered' | 'broken' | Verdict;

/** Serves one request of a caller from its arrival to its answer. */
export async function forwardRequest(exchange: CallerExchange, parts: ForwardParts): Promise<void> {
	const startedMs = parts.clock.now();
	const progress: Progress = {
		tried: new Set(), attempts: 0, mayHaveRun: false, waitMs: 0, lastEventId: undefined, pieces: new PieceTimes(parts.clock, startedMs),
	};
	const table = parts.getTable();
	const call = parts.dialect.readCall(exchange.head);
	const admitted = table && call ? await admit(exchange, table, call, parts) : undefined;
	let end: End;
	if (!table) {
		end = refuse(503, 'not-ready', 'This host has no configuration yet.', NO_TARGET_RETRY_MS);
	} else if (!call) {
		end = refuse(400, 'invalid-request', 'The request lacks what it needs to be served.');
	} else if (!admitted || 'refusal' in admitted) {
		end = admitted?.refusal ?? refuse(400, 'invalid-request', 'The request was not read.');
	} else {
		progress.lastEventId = call.lastEventId;
		end = await runUntil({
			...admitted, parts, exchange, call, table, progress,
		}, startedMs);
	}

	finish(exchange, end);
	parts.observer.noteEnd({
		...(call && {call}),
		...(admitted && {route: admitted.route?.name, targetLatencyMs: admitted.route?.targetLatencyMs, customer: admitted.customer?.name}),
		configVersion: table?.config.version,
		outcome: exchange.callerLeft.aborted && end !== 'answered' ? 'left' : end,
		status: progress.status,
		targetId: progress.targetId,
		outstanding: progress.outstanding,
		attempts: progress.attempts,
		waitMs: progress.waitMs,
		tookMs: parts.clock.now() - startedMs,
		...describePieces(progress.pieces),
		...(progress.answerEnd && {bodyEnd: progress.answerEnd.framing, bodyBytes: progress.answerEnd.bytes}),
	});
}

function describePieces(pieces: PieceTimes): Pick<ForwardEndNote, 'firstMs' | 'longestPauseMs'> {
	const firstMs = pieces.getFirstMs();
	return firstMs === undefined ? {} : {firstMs, longestPauseMs: pieces.getLongestPauseMs()};
}

function finish(exchange: CallerExchange, end: End): void {
	if (end === 'answered' || exchange.callerLeft.aborted) {
		return;
	}

	if (end === 'broken' || exchange.hasBegun()) {
		exchange.abort();
		return;
	}

	exchange.refuse(end);
}

type Admitted = Pick<Forwarding, 'route' | 'service' | 'customer' | 'body'>;

/** A request that is not served, with what was found out about it. */
type Refused = {readonly refusal: Verdict; readonly route?: TrafficRoute; readonly customer?: TrafficCustomer};

/** Finds out whether the configuration allows a request, and counts it against its customer's rate. */
async function admit(exchange: CallerExchange, table: RouteTable, call: ForwardCall, parts: ForwardParts): Promise<Admitted | Refused> {
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

	const service = pickService(route.value, parts.random());
	if (service === undefined) {
		return {refusal: refuse(503, 'no-service', 'The route leads to no service.', NO_TARGET_RETRY_MS), route: route.value, customer: customer.value};
	}

	const rate = customer.value && await spend(customer.value, call, parts);
	if (rate && !rate.isGranted) {
		const retryAfterMs = parts.returnTimes.getRetryMs(customer.value?.name ?? '', Math.max(MIN_RETRY_AFTER_MS, rate.retryAfterMs));
		return {refusal: refuse(429, 'over-rate', 'The customer has used up its rate.', retryAfterMs), route: route.value, customer: customer.value};
	}

	// What lies beyond a customer's rate is served by no copy of its model, so it is no demand.
	parts.observer.noteArrival(service, call);
	return {
		route: route.value, service, customer: customer.value, body,
	};
}

/** Counts a request against its customer's rate: from what this host holds, then from the owner's pool. */
async function spend(customer: TrafficCustomer, call: ForwardCall, {rates, lender}: ForwardParts): Promise<RateAnswer> {
	const cost = getCost(customer, call);
	const own = rates.take(customer.name, cost);
	if (own.isGranted) {
		return own;
	}

	const lent = await lender.borrow(customer.name, cost) ?? rates.overdraw(customer.name, cost);
	return lent.isGranted ? lent : {isGranted: false, retryAfterMs: Math.min(own.retryAfterMs, lent.retryAfterMs)};
}

/** Runs a request until it has an answer, its time is over or its caller leaves. */
async function runUntil(admitted: Omit<Forwarding, 'endsMs' | 'signal'>, startedMs: number): Promise<End> {
	const {parts, exchange, call, route} = admitted;
	const {clock} = parts;
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

	exchange.callerLeft.addEventListener('abort', stop, {once: true});
	parts.halted.addEventListener('abort', stop, {once: true});
	void expire();
	try {
		return exchange.callerLeft.aborted
			? refuse(503, 'caller-left', 'The caller left before the request was placed.')
			: await runOnPlaces({...admitted, endsMs: startedMs + limitMs, signal: stopper.signal});
	} finally {
		timer.abort();
		exchange.callerLeft.removeEventListener('abort', stop);
		parts.halted.removeEventListener('abort', stop);
		refundUnsent(admitted);
	}
}

/** A request that certainly reached no target does not count against the rate. */
function refundUnsent({parts, customer, call, progress}: Omit<Forwarding, 'endsMs' | 'signal'>): void {
	if (customer && progress.attempts === 0) {
		parts.rates.refund(customer.name, getCost(customer, call));
	}
}

/** Tries targets until one has answered or nothing more may be tried. */
async function runOnPlaces(work: Forwarding): Promise<End> {
	const {parts, progress, service} = work;
	const retries = parts.getRetries(service);
	retries.countRequest();
	for (;;) {
		const place = await findPlace(work);
		if ('status' in place) {
			return giveUp(work, place);
		}

		const outcome = await tryPlace(work, place);
		if (outcome.kind === 'answered') {
			return 'answered';
		}

		// The budget bounds what arrives at targets; a request that reached none may always go to another one.
		const isUnsent = outcome.kind === 'not-run' && outcome.targetEnd === 'unreachable';
		if (work.signal.aborted || !mayRepeat(work, outcome.kind) || !(isUnsent || retries.tryRetry())) {
			return giveUp(work, refuse(503, 'target-failed', outcome.reason, MIN_RETRY_AFTER_MS));
		}
	}
}

async function findPlace(work: Forwarding): Promise<Place | Verdict> {
	const {parts: {clock, queue}, call, service, customer, route, progress, endsMs, signal, table} = work;
	const leftMs = endsMs - clock.now();
	if (leftMs < MIN_SEND_MS) {
		return refuse(503, 'out-of-time', 'The time of the request is over.', MIN_RETRY_AFTER_MS);
	}

	const usesModel = table.services.get(service)?.engine !== undefined;
	const need: PlaceNeed = {
		service, parts: call.promptParts, tried: progress.tried, ...(usesModel && {model: call.model, adapter: call.adapter}),
	};
	const startedMs = clock.now();
	const found = await queue.getPlace(need, customer?.priority ?? route.priority, getWaitLimits(route, leftMs), signal);
	progress.waitMs += clock.now() - startedMs;
	return found.isOk ? found.value : found.error;
}

/** Ends a request without an answer; the refusal is only true while no target may have run it. */
function giveUp({progress, exchange, signal}: Forwarding, verdict: Verdict): End {
	if (exchange.hasBegun()) {
		return 'broken';
	}

	if (progress.mayHaveRun) {
		return signal.aborted
			? mayHaveRun(504, 'timeout', 'No target answered in time.')
			: mayHaveRun(502, 'target-broke-off', verdict.reason);
	}

	return verdict;
}
