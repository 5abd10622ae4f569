import {refuse, type Rate, type Verdict} from '@egretrill/common';
import {
	addAmounts, coversAmounts, getBurst, getPerSecond, hasAmounts, mapAmounts, minAmounts, NO_AMOUNTS, subtractAmounts, sumAmounts,
} from './amounts.js';
import {
	DEMAND_AVERAGE_MS, DEMAND_MARGIN, EXCHANGE_PERIOD_MS, IDLE_DEMAND_REQUESTS, MAX_RATE_WAITERS, MIN_SHORT_RETRY_MS, REFRESH_AGE_MS, SHARE_TTL_MS, SHORTAGE_HOLD_MS, SURPLUS_RATIO,
} from './constants.js';
import type {
	Amounts, CustomerExchange, GrantReport, ShareGrant,
} from './types.js';

/** A grant held by this host; `free` is neither reserved, settled nor returned. */
type HeldGrant = {
	readonly ownerTerm: number;
	readonly serial: number;
	readonly expiresAtMs: number;
	readonly amounts: Amounts;
	free: Amounts;
	settled: Amounts;
	returned: Amounts;
	/** Sums of settled and returned amounts in the last report sent and in the last report acknowledged. */
	sentTotal: number;
	acknowledgedTotal: number;
};

type GrantDraw = {readonly grant: HeldGrant; readonly amounts: Amounts};

/** The amounts reserved for one request; `unsettled` is what has not been settled yet. */
export type ShareDraw = {readonly draws: readonly GrantDraw[]; readonly expiresAtMs: number; unsettled: Amounts};

/** A request that waits for the next grant. */
export type RateWaiter = {readonly need: Amounts; readonly sinceMs: number; readonly onGranted: (shareDraw: ShareDraw) => void};

/** What this host holds of one customer's bucket; state only, without tasks. */
export class CustomerShare {
	private grants: readonly HeldGrant[] = [];
	private waiters: readonly RateWaiter[] = [];
	/** Total need of the waiting requests. */
	private waitingTotal = NO_AMOUNTS;
	private demand = NO_AMOUNTS;
	/** Requests sent to a target that still hold tokens. */
	private readonly running = new Set<ShareDraw>();
	private demandAtMs = 0;
	private retryAtMs = 0;
	private shortUntilMs = Number.NEGATIVE_INFINITY;

	constructor(readonly customer: string, private rate: Rate) {}

	setRate(rate: Rate): void {
		this.rate = rate;
	}

	/** Refuses a request that cannot be admitted before its deadline, even if no other host uses the rate. */
	check(need: Amounts, waitMs: number): Verdict | undefined {
		const burst = getBurst(this.rate);
		if (!coversAmounts(burst, need)) {
			return refuse(429, 'exceeds-burst', `The request needs ${need.tokens} tokens; customer ${this.customer} may use at most ${burst.tokens} at once.`);
		}

		const perSecond = getPerSecond(this.rate);
		const possible = mapAmounts(unit => burst[unit] + (perSecond[unit] * waitMs / 1000));
		return this.waiters.length >= MAX_RATE_WAITERS || !coversAmounts(possible, addAmounts(this.waitingTotal, need)) ? this.refuseOverRate(need) : undefined;
	}

	/** Refuses a request for lack of tokens, with the time that the rate needs to cover it and the requests waiting before it. */
	refuseOverRate(need: Amounts): Verdict {
		const missing = addAmounts(need, this.waitingTotal);
		const perSecond = getPerSecond(this.rate);
		const retryAfterMs = Math.ceil(Math.max(missing.tokens / perSecond.tokens, missing.requests / perSecond.requests) * 1000);
		return refuse(429, 'rate-exceeded', `Customer ${this.customer} is over its rate of ${perSecond.tokens} tokens and ${perSecond.requests} requests per second.`, retryAfterMs);
	}

	/** Adds a request to the demand estimate. */
	recordDemand(need: Amounts, nowMs: number): void {
		this.demand = addAmounts(this.getDemand(nowMs), need);
		this.demandAtMs = nowMs;
	}

	/** Reserves tokens for a request; undefined if other requests wait before it or this host holds too few. */
	draw(need: Amounts, nowMs: number): ShareDraw | undefined {
		return this.waiters.length === 0 ? this.drawFromGrants(need, nowMs) : undefined;
	}

	addWaiter(waiter: RateWaiter): void {
		this.waiters = [...this.waiters, waiter];
		this.waitingTotal = addAmounts(this.waitingTotal, waiter.need);
	}

	/** Removes a request that timed out or was cancelled, and serves the requests after it if their need is now covered. */
	removeWaiter(waiter: RateWaiter, nowMs: number): void {
		this.waiters = this.waiters.filter(other => other !== waiter);
		this.waitingTotal = subtractAmounts(this.waitingTotal, waiter.need);
		this.serveWaiters(nowMs);
	}

	/** Settles the used part of the reserved amounts; the rest becomes free again if its grant is still valid. */
	settle(shareDraw: ShareDraw, reserved: Amounts, actual: Amounts, nowMs: number): void {
		shareDraw.unsettled = subtractAmounts(shareDraw.unsettled, reserved);
		if (!hasAmounts(shareDraw.unsettled)) {
			this.running.delete(shareDraw);
		}

		let remaining = actual;
		for (const {grant, amounts} of shareDraw.draws) {
			const part = minAmounts(amounts, reserved);
			const used = minAmounts(part, remaining);
			remaining = subtractAmounts(remaining, used);
			grant.settled = addAmounts(grant.settled, used);
			if (isValid(grant, nowMs)) {
				grant.free = addAmounts(grant.free, subtractAmounts(part, used));
			}
		}

		this.serveWaiters(nowMs);
	}

	/** Settles the request unit of a request that is about to be sent to its target. */
	start(shareDraw: ShareDraw, nowMs: number): void {
		this.running.add(shareDraw);
		this.settle(shareDraw, {tokens: 0, requests: 1}, {tokens: 0, requests: 1}, nowMs);
	}

	isWaiting(): boolean {
		return this.waiters.length > 0;
	}

	/** Time of the next exchange for the waiting requests. */
	getRetryAtMs(): number {
		return this.waiters.length > 0 ? this.retryAtMs : Number.POSITIVE_INFINITY;
	}

	/** Builds this customer's entry of an exchange; undefined when there is nothing to request or report. */
	buildExchange(ownerTerm: number, nowMs: number): CustomerExchange | undefined {
		this.grants = this.grants.filter(grant => isValid(grant, nowMs));
		const target = this.getTargetAmounts(nowMs);
		this.settleRunning(nowMs);
		this.returnSurplus(target, ownerTerm, nowMs);
		const free = this.getFree(nowMs);
		const [head] = this.waiters;
		const total = subtractAmounts(this.waitingTotal, free);
		const wanted = subtractAmounts(target, subtractAmounts(free, this.waitingTotal));
		const reports = this.buildReports(ownerTerm);
		if (!head && !hasAmounts(wanted) && reports.length === 0) {
			return undefined;
		}

		return {
			customer: this.customer,
			...(hasAmounts(wanted) && {wanted}),
			...(head && {waiting: {total, head: subtractAmounts(head.need, free), waitedMs: Math.floor(nowMs - head.sinceMs)}}),
			...(reports.length > 0 && {reports}),
		};
	}

	/** Whether an exchange would contain anything for this customer. */
	isActive(nowMs: number): boolean {
		return this.waiters.length > 0
			|| hasAmounts(this.getTargetAmounts(nowMs))
			|| this.grants.some(grant => isValid(grant, nowMs) && (hasAmounts(grant.free) || getReportedTotal(grant) !== grant.acknowledgedTotal));
	}

	/** Marks the reports of the last exchange as received by the owner. */
	acknowledgeReports(): void {
		for (const grant of this.grants) {
			grant.acknowledgedTotal = grant.sentTotal;
		}
	}

	/** Adds a grant, with its lifetime counted from when the exchange was first sent, and serves waiting requests. */
	applyGrant(grant: ShareGrant, ownerTerm: number, sentAtMs: number, nowMs: number): void {
		const expiresAtMs = sentAtMs + SHARE_TTL_MS;
		const isKnown = this.grants.some(held => held.serial === grant.serial && held.ownerTerm === ownerTerm);
		if (grant.serial > 0 && !isKnown && expiresAtMs > nowMs) {
			this.grants = [{
				ownerTerm, serial: grant.serial, expiresAtMs, amounts: grant.amounts, free: grant.amounts, settled: NO_AMOUNTS, returned: NO_AMOUNTS, sentTotal: 0, acknowledgedTotal: 0,
			}, ...this.grants];
		}

		this.retryAtMs = nowMs + grant.retryAfterMs;
		this.shortUntilMs = grant.short ? nowMs + SHORTAGE_HOLD_MS : Number.NEGATIVE_INFINITY;
		this.serveWaiters(nowMs);
	}

	/** Delays the next exchange when the owner's answer did not include this customer. */
	postponeRetry(nowMs: number): void {
		this.retryAtMs = nowMs + MIN_SHORT_RETRY_MS;
	}

	private serveWaiters(nowMs: number): void {
		for (let [head] = this.waiters; head; [head] = this.waiters) {
			const shareDraw = this.drawFromGrants(head.need, nowMs);
			if (!shareDraw) {
				return;
			}

			this.waiters = this.waiters.slice(1);
			this.waitingTotal = subtractAmounts(this.waitingTotal, head.need);
			head.onGranted(shareDraw);
		}
	}

	/** Draws from the newest grants first, which gives the reservation the longest lifetime. */
	private drawFromGrants(need: Amounts, nowMs: number): ShareDraw | undefined {
		if (!coversAmounts(this.getFree(nowMs), need)) {
			return undefined;
		}

		let remaining = need;
		let expiresAtMs = Number.POSITIVE_INFINITY;
		const draws: GrantDraw[] = [];
		for (const grant of this.grants.filter(held => isValid(held, nowMs))) {
			const amounts = minAmounts(grant.free, remaining);
			if (!hasAmounts(amounts)) {
				continue;
			}

			grant.free = subtractAmounts(grant.free, amounts);
			remaining = subtractAmounts(remaining, amounts);
			expiresAtMs = Math.min(expiresAtMs, grant.expiresAtMs);
			draws.push({grant, amounts});
		}

		return {draws, expiresAtMs, unsettled: need};
	}

	/**
	 * Settles running requests in full while others wait for the rate. Otherwise their tokens would keep the level down until
	 * they end or expire, which keeps a customer below its rate if its burst is less than 2 s of the rate.
	 */
	private settleRunning(nowMs: number): void {
		for (const shareDraw of this.running) {
			if (nowMs < this.shortUntilMs) {
				this.settle(shareDraw, shareDraw.unsettled, shareDraw.unsettled, nowMs);
			} else if (shareDraw.expiresAtMs <= nowMs) {
				this.running.delete(shareDraw);
			}
		}
	}

	private returnSurplus(target: Amounts, ownerTerm: number, nowMs: number): void {
		const isShort = nowMs < this.shortUntilMs;
		const free = this.getFree(nowMs);
		const needed = addAmounts(target, this.waitingTotal);
		let surplus = mapAmounts(unit => isShort || free[unit] > SURPLUS_RATIO * needed[unit] ? free[unit] : 0);
		surplus = isShort ? surplus : subtractAmounts(surplus, needed);
		// The list ends with the oldest grants.
		for (const grant of this.grants.filter(held => held.ownerTerm === ownerTerm).toReversed()) {
			const isOld = grant.expiresAtMs - nowMs < SHARE_TTL_MS - REFRESH_AGE_MS;
			const returned = isOld ? grant.free : minAmounts(grant.free, surplus);
			grant.free = subtractAmounts(grant.free, returned);
			grant.returned = addAmounts(grant.returned, returned);
			surplus = subtractAmounts(surplus, returned);
		}
	}

	private buildReports(ownerTerm: number): GrantReport[] {
		const changed = this.grants.filter(grant => grant.ownerTerm === ownerTerm && getReportedTotal(grant) !== grant.acknowledgedTotal);
		return changed.map(grant => {
			grant.sentTotal = getReportedTotal(grant);
			return {serial: grant.serial, settled: grant.settled, ...(hasAmounts(grant.returned) && {returned: grant.returned})};
		});
	}

	private getFree(nowMs: number): Amounts {
		return sumAmounts(this.grants.filter(grant => isValid(grant, nowMs)).map(grant => grant.free));
	}

	private getDemand(nowMs: number): Amounts {
		const decay = Math.exp((this.demandAtMs - nowMs) / DEMAND_AVERAGE_MS);
		return mapAmounts(unit => this.demand[unit] * decay);
	}

	/** Amounts to hold for the next period; none for an idle customer or while the owner reports a shortage. */
	private getTargetAmounts(nowMs: number): Amounts {
		const demand = this.getDemand(nowMs);
		const periodRatio = EXCHANGE_PERIOD_MS / DEMAND_AVERAGE_MS;
		if (nowMs < this.shortUntilMs || demand.requests * periodRatio < IDLE_DEMAND_REQUESTS) {
			return NO_AMOUNTS;
		}

		const burst = getBurst(this.rate);
		return mapAmounts(unit => Math.min(Math.floor(burst[unit]), Math.ceil(demand[unit] * periodRatio * DEMAND_MARGIN)));
	}
}

function isValid(grant: HeldGrant, nowMs: number): boolean {
	return grant.expiresAtMs > nowMs;
}

function getReportedTotal(grant: HeldGrant): number {
	return grant.settled.tokens + grant.settled.requests + grant.returned.tokens + grant.returned.requests;
}
