import {
	type AttemptEvent, type ForwardCall, type ForwardEndEvent, ForwardObserver, type LostRequest, type StopEstimate, type TargetEnd,
} from '@egretrill/callers';
import type {Metrics} from '@egretrill/balancer';
import {type ColdBasis, estimateRunMs} from '@egretrill/engines';
import type {UsageCounter} from '@egretrill/provider';
import {MAX_LOGGED_LOST_REQUESTS} from './constants.js';
import type {DecisionLog} from './decision-log.js';
import {sanitizeName} from './describe-answer.js';
import type {EntryReport} from './methods.js';

const STATUS_SERVER_ERROR = 500;
const END_MESSAGE = 'A request has ended.';
const CUT_MESSAGE = 'The stop of this host cut off a request.';

/** Whether a request was answered at the first attempt, without a server error and within the target latency. */
function isRoutine({attempts, status = 0, tookMs, firstMs, targetLatencyMs = Number.POSITIVE_INFINITY}: ForwardEndEvent): boolean {
	return attempts === 1 && status < STATUS_SERVER_ERROR && (firstMs ?? tookMs) <= targetLatencyMs;
}

/** Says what a planned stop expected of a request: at which step, the time that was left and the time that the request was expected to take. */
function describeStop({
	checkpoint, stopElapsedMs, stopLeftMs, expectedMs, basis, observedCount, tokensOut,
}: StopEstimate): Readonly<Record<string, unknown>> {
	return {
		stopCheckpoint: checkpoint, stopElapsedMs: Math.round(stopElapsedMs), stopLeftMs: Math.round(stopLeftMs), expectedMs: Math.round(expectedMs), expectedFrom: basis, observedCount, ...(tokensOut !== undefined && {tokensOut}),
	};
}

/** Says why a planned stop refused a request, or what was expected of one that was served when it arrived and at its last check. */
function describeStopDecisions({stopRefusal, stopArrival, stopEstimate}: ForwardEndEvent): Readonly<Record<string, unknown>> {
	if (stopRefusal) {
		return describeStop(stopRefusal);
	}

	return stopEstimate
		? {wasServedAtStop: true, ...describeStop(stopEstimate), ...(stopArrival && stopArrival !== stopEstimate && {firstCheck: describeStop(stopArrival)})}
		: {};
}

function describeEnd(event: ForwardEndEvent, knowledgeAgeMs: number): Readonly<Record<string, unknown>> {
	const {call, route = '', customer, configVersion, outcome, status, bodyEnd, bodyBytes, targetId, outstanding, attempts, waitMs, tookMs, isRequestIncomplete, firstMs, longestPauseMs, wasCutByStop, relayedBytes} = event;
	const isRefused = typeof outcome === 'object';
	return {
		requestId: call && sanitizeName(call.attemptId),
		route,
		customer,
		model: call?.model && sanitizeName(call.model),
		adapter: call?.adapter && sanitizeName(call.adapter),
		configVersion,
		knowledgeAgeMs: Math.round(knowledgeAgeMs),
		outcome: isRefused ? outcome.code : outcome,
		status: isRefused ? outcome.status : status,
		...(isRefused && {run: outcome.run, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs}),
		bodyEnd,
		bodyBytes,
		targetId,
		outstanding,
		attempts,
		waitMs: Math.round(waitMs),
		tookMs: Math.round(tookMs),
		...(isRequestIncomplete && {isRequestIncomplete}),
		...(firstMs !== undefined && {firstMs: Math.round(firstMs)}),
		...(outcome !== 'answered' && describeStopDecisions(event)),
		...(wasCutByStop && {wasCutByStop, relayedBytes}),
		...(longestPauseMs !== undefined && {longestPauseMs: Math.round(longestPauseMs)}),
	};
}

/** What became of a request that met a planned stop. */
function getStopOutcome({outcome, wasCutByStop, stopRefusal}: ForwardEndEvent): string {
	if (outcome === 'answered') {
		return 'answered';
	}

	if (wasCutByStop) {
		return 'cut-off';
	}

	return stopRefusal ? 'refused' : 'failed';
}

/** Describes a lost request as its id, whether its answer had begun, and the ids of its prompt parts. */
function describeLost({requestId, hasBegun, partIds}: LostRequest): string {
	return `${sanitizeName(requestId)} ${hasBegun ? 'begun' : 'waiting'} ${partIds.slice(0, MAX_LOGGED_LOST_REQUESTS).map(id => sanitizeName(id)).join(',')}`;
}

/** Records request events as decision lines, metrics and the demand reported to the leader. */
export class EntryObserver extends ForwardObserver {
	private arrivals = new Map<string, {readonly count: number; readonly runMs: number}>();
	private readonly requests;
	private readonly attempts;
	private readonly durations;
	private readonly slotWaits;
	private readonly coldSends;
	private readonly coldBases;
	private readonly targetEnds;
	private readonly stopRequests;
	private readonly stopTaken;

	constructor(private readonly log: DecisionLog, metrics: Metrics, private readonly getKnowledgeAgeMs: () => number, private readonly usage?: Pick<UsageCounter, 'record'>) {
		super();
		this.requests = metrics.createCounter({name: 'egretrill_forwarded_requests_total', help: 'Forwarded requests by route and outcome.', labels: ['route', 'outcome']});
		this.attempts = metrics.createCounter({name: 'egretrill_target_attempts_total', help: 'Sends to targets by outcome.', labels: ['outcome']});
		this.durations = metrics.createDurations({name: 'egretrill_forward_ms', help: 'Time from the arrival of a request to its end.', labels: ['route']});
		this.targetEnds = metrics.createCounter({name: 'egretrill_target_ends_total', help: 'Targets that ended while requests of this host were in flight there.', labels: ['planned', 'cold']});
		this.coldSends = metrics.createCounter({name: 'egretrill_cold_sends_total', help: 'Sends to targets that were registered as cold, by outcome.', labels: ['outcome']});
		this.coldBases = metrics.createCounter({name: 'egretrill_cold_sends_by_basis_total', help: 'Sends to cold targets by what they were based on: a part, a turn or a grant; or unknown, in the second before this host knew that the target was cold.', labels: ['basis']});
		this.stopRequests = metrics.createCounter({name: 'egretrill_stop_requests_total', help: 'Requests that met a decision of a planned stop, or its end, by outcome and by what was expected of them.', labels: ['outcome', 'basis']});
		this.stopTaken = metrics.createDurations({name: 'egretrill_stop_taken_percent', help: 'Time that a request served during a planned stop took, in percent of the time expected when it was let in.', labels: ['basis']});
		this.slotWaits = metrics.createDurations({name: 'egretrill_place_wait_ms', help: 'Time that a request waited for a target.', labels: ['route']});
	}

	override recordArrival(service: string, {model, adapter, tokensIn = 0, tokensOut = 0, expectedTokensOut = tokensOut}: ForwardCall): void {
		if (model !== undefined) {
			const key = JSON.stringify([service, model, adapter ?? '']);
			const {count, runMs} = this.arrivals.get(key) ?? {count: 0, runMs: 0};
			this.arrivals.set(key, {count: count + 1, runMs: runMs + estimateRunMs(tokensIn, Math.min(tokensOut, expectedTokensOut))});
		}
	}

	override recordAttempt({call, slot: {targetId, wasCold}, attempt, outcome, tookMs, reason}: AttemptEvent): void {
		this.attempts.add(1, {outcome});
		if (wasCold) {
			this.coldSends.add(1, {outcome});
		}

		if (outcome !== 'answered') {
			const requestId = sanitizeName(call.attemptId);
			this.log.recordFailure({
				cause: `${outcome} ${targetId}: ${reason}`,
				isRepetitive: true,
				requestId,
				fields: {
					requestId, targetId, attempt, outcome, tookMs: Math.round(tookMs), reason, ...(wasCold && {wasCold}),
				},
				message: 'A target did not answer a request.',
			});
		}
	}

	override recordBegun(customer: string): void {
		this.usage?.record(customer);
	}

	override recordEnd(event: ForwardEndEvent): void {
		const {call, route = '', outcome, waitMs, tookMs, stopRefusal} = event;
		const name = typeof outcome === 'object' ? outcome.code : outcome;
		this.requests.add(1, {route, outcome: name});
		this.durations.record(tookMs, {route});
		this.slotWaits.record(waitMs, {route});
		this.recordStop(event);
		const knowledgeAgeMs = this.getKnowledgeAgeMs();
		if (event.wasCutByStop && this.log.tryWriteLoss(describeEnd(event, knowledgeAgeMs), CUT_MESSAGE)) {
			return;
		}

		if (outcome !== 'answered') {
			const isRefused = typeof outcome === 'object';
			this.log.recordFailure({
				cause: [name, route, ...(call?.model ? [sanitizeName(call.model)] : []), ...(stopRefusal ? [stopRefusal.checkpoint, stopRefusal.basis] : [])].join(' '),
				// What was left of a stop and expected of the request differs from one refusal to the next.
				isRepetitive: isRefused && !stopRefusal,
				requestId: sanitizeName(call?.attemptId ?? ''),
				fields: describeEnd(event, knowledgeAgeMs),
				message: isRefused ? 'A request was refused.' : END_MESSAGE,
			});
		} else if (isRoutine(event) || !this.log.tryWrite(describeEnd(event, knowledgeAgeMs), END_MESSAGE)) {
			this.log.recordAnswer(event, knowledgeAgeMs);
		}
	}

	recordColdSends(basis: ColdBasis, count: number): void {
		this.coldBases.add(count, {basis});
	}

	override recordTargetEnd({targetId, startedAtMs, wasCold, isPlanned, lost}: TargetEnd): void {
		this.targetEnds.add(1, {planned: String(isPlanned), cold: String(wasCold)});
		const [waiting, begun] = [lost.filter(({hasBegun}) => !hasBegun), lost.filter(({hasBegun}) => hasBegun)];
		this.log.recordFailure({
			cause: `ended ${targetId}`,
			isRepetitive: false,
			requestId: sanitizeName(waiting[0]?.requestId ?? ''),
			fields: {
				targetId, startedAtMs, wasCold, isPlanned, waiting: waiting.length, begun: begun.length, requests: [...waiting, ...begun].slice(0, MAX_LOGGED_LOST_REQUESTS).map(request => describeLost(request)),
			},
			message: 'A target has ended with requests in flight.',
		});
	}

	/** Returns and resets the arrivals since the last call. */
	collectArrivals(): EntryReport['arrivals'] {
		const collected = [...this.arrivals].map(([key, {count, runMs}]): EntryReport['arrivals'][number] => {
			const [service, model, adapter] = JSON.parse(key) as [string, string, string];
			return [service, model, adapter, count, Math.round(runMs)];
		});
		this.arrivals = new Map();
		return collected;
	}

	/** Counts what a planned stop decided of a request, and holds what it expected against what the request took. */
	private recordStop(event: ForwardEndEvent): void {
		const {outcome, tookMs, wasCutByStop, stopRefusal, stopArrival} = event;
		const basis = (stopArrival ?? stopRefusal)?.basis;
		if (basis !== undefined || wasCutByStop) {
			this.stopRequests.add(1, {outcome: getStopOutcome(event), basis: basis ?? 'before-stop'});
		}

		if (outcome === 'answered' && stopArrival && stopArrival.expectedMs > 0) {
			this.stopTaken.record(100 * tookMs / stopArrival.expectedMs, {basis: stopArrival.basis});
		}
	}
}
