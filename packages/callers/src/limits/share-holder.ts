import {
	jitter, refuse, Signal, type Clock, type Customer, type Random, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {hasAmounts, NO_AMOUNTS} from './amounts.js';
import {
	EXCHANGE_PERIOD_MS, EXCHANGE_TIMEOUT_MS, IDLE_WAIT_MS, MAX_FAILURE_BACKOFF_MS, MAX_SERIAL_REUSE_AGE_MS, MIN_EXCHANGE_INTERVAL_MS, MIN_FAILURE_BACKOFF_MS, SHARE_TTL_MS,
} from './constants.js';
import {CustomerShare, type ShareDraw, type RateWaiter} from './customer-share.js';
import type {Amounts, ShareAnswer, ShareRequest} from './types.js';

/** Carries exchanges to a bucket owner. */
export abstract class ShareTransport {
	/** Settles within the timeout; an error means that the answer is unknown. */
	abstract exchange(ownerId: string, req: ShareRequest, timeoutMs: number): Promise<Result<ShareAnswer, string>>;
}

export type ReservationRequest = {
	readonly customer: string;
	readonly tokens: number;
	readonly requests: 1;
	/** On the holder's clock. */
	readonly deadlineMs: number;
	readonly signal?: AbortSignal;
};

export type ShareHolderOpts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hostId: string;
	/** Differs at each start of the host, since serials begin anew. */
	readonly startId: string;
	readonly transport: ShareTransport;
	readonly customers: readonly Customer[];
	/** Names the owner of a customer's bucket. */
	readonly getOwnerId: (customer: string) => string;
};

/** One request and its tokens, reserved from a customer's share. */
export class Reservation {
	constructor(private readonly share: CustomerShare, private readonly drawn: ShareDraw, readonly tokens: number, private readonly clock: Clock) {}

	/** Whether the share may still be spent. */
	isValid(): boolean {
		return hasAmounts(this.drawn.unsettled) && this.clock.now() < this.drawn.expiresAtMs;
	}

	/**
	 * Checks right before the write to a target that the share may be spent, and settles the request unit.
	 * Settling it at admission would let a request that waits in the queue be written after the level has grown again.
	 */
	start(): boolean {
		if (!this.isValid()) {
			return false;
		}

		this.share.start(this.drawn, this.clock.now());
		return true;
	}

	/** Returns the unused tokens, unless the share has expired; the request counts as spent. Repeated calls have no effect. */
	settle(actualTokens: number): void {
		this.share.settle(this.drawn, this.drawn.unsettled, {tokens: Math.max(0, Math.ceil(actualTokens)), requests: 1}, this.clock.now());
	}

	/** Returns everything that is still reserved, for a request that was not run. */
	cancel(): void {
		this.share.settle(this.drawn, this.drawn.unsettled, NO_AMOUNTS, this.clock.now());
	}
}

/** State of the exchanges with one owner. */
type OwnerSession = {
	readonly ownerId: string;
	readonly wakeSignal: Signal;
	ownerTerm: number;
	serial: number;
	/** When the unanswered serial was first sent; a grant under it counts from then. */
	firstSentAtMs: number | undefined;
	lastSentAtMs: number;
	nextDueAtMs: number;
	lastAnswerAtMs: number;
	blockedUntilMs: number;
	failures: number;
};

/** Borrows shares of the customer buckets for one host; one task for each owner exchanges with it. */
export class ShareHolder {
	private readonly shares = new Map<string, CustomerShare>();
	private readonly sessions = new Map<string, OwnerSession>();
	private readonly tasks: Array<Promise<void>> = [];
	private readonly stopping = new AbortController();

	constructor(private readonly opts: ShareHolderOpts) {
		this.setCustomers(opts.customers);
	}

	/** Applies the configured customers and rates. */
	setCustomers(customers: readonly Customer[]): void {
		const configured = new Map(customers.map(customer => [customer.id, customer]));
		for (const id of this.shares.keys()) {
			if (!configured.has(id)) {
				this.shares.delete(id);
			}
		}

		for (const {id, rate} of customers) {
			const share = this.shares.get(id);
			if (share) {
				share.setRate(rate);
			} else {
				this.shares.set(id, new CustomerShare(id, rate));
			}
		}
	}

	/** Adds a customer that the configuration in force has and that has not reached this holder yet. */
	addCustomer({id, rate}: Customer): void {
		if (!this.shares.has(id)) {
			this.shares.set(id, new CustomerShare(id, rate));
		}
	}

	/** Reserves from the customer's share, waiting for the next grant until the deadline. */
	async acquire(req: ReservationRequest): Promise<Result<Reservation, Verdict>> {
		const {clock} = this.opts;
		const share = this.shares.get(req.customer);
		if (!share) {
			return Result.err(refuse(403, 'unknown-customer', `Customer ${req.customer} is not configured on this host.`));
		}

		const now = clock.now();
		const need: Amounts = {tokens: Math.ceil(req.tokens), requests: req.requests};
		const refusal = share.check(need, Math.max(0, req.deadlineMs - now));
		if (refusal) {
			return Result.err(refusal);
		}

		share.countDemand(need, now);
		const session = this.getSession(req.customer);
		let drawn = share.draw(need, now);
		if (drawn) {
			session.wakeSignal.notify();
			return Result.ok(new Reservation(share, drawn, need.tokens, clock));
		}

		const granted = new Signal();
		const waiter: RateWaiter = {
			need, sinceMs: now, onGranted(result) {
				drawn = result;
				granted.notify();
			},
		};
		share.addWaiter(waiter);
		session.wakeSignal.notify();
		await granted.wait(clock, req.deadlineMs - now, req.signal);
		if (drawn) {
			return Result.ok(new Reservation(share, drawn, need.tokens, clock));
		}

		share.removeWaiter(waiter, clock.now());
		return Result.err(req.signal?.aborted ? refuse(499, 'cancelled', 'The caller went away before the request was admitted.') : this.getRefusal(session, share, need));
	}

	/** Ends the exchange tasks; shares still held expire at their owner. */
	async stop(): Promise<void> {
		this.stopping.abort();
		await Promise.all(this.tasks);
	}

	/** The task of an owner starts with the first request of one of its customers. */
	private getSession(customer: string): OwnerSession {
		const ownerId = this.opts.getOwnerId(customer);
		const known = this.sessions.get(ownerId);
		if (known) {
			return known;
		}

		const session: OwnerSession = {
			ownerId, wakeSignal: new Signal(), ownerTerm: 0, serial: 0, firstSentAtMs: undefined, lastSentAtMs: Number.NEGATIVE_INFINITY,
			nextDueAtMs: 0, lastAnswerAtMs: Number.NEGATIVE_INFINITY, blockedUntilMs: 0, failures: 0,
		};
		this.sessions.set(ownerId, session);
		this.tasks.push(this.runSession(session));
		return session;
	}

	private async runSession(session: OwnerSession): Promise<void> {
		const {clock} = this.opts;
		while (!this.stopping.signal.aborted) {
			const now = clock.now();
			const dueAtMs = this.getDueAtMs(session, now);
			if (dueAtMs > now) {
				await session.wakeSignal.wait(clock, dueAtMs - now, this.stopping.signal);
				continue;
			}

			await this.exchange(session);
		}
	}

	/** When the next exchange is due: each period while a customer is active, sooner for requests that wait. */
	private getDueAtMs(session: OwnerSession, nowMs: number): number {
		const active = this.getShares(session).filter(share => share.isActive(nowMs));
		if (active.length === 0) {
			return nowMs + IDLE_WAIT_MS;
		}

		if (session.failures > 0) {
			return session.nextDueAtMs;
		}

		const retryAtMs = Math.min(...active.map(share => share.getRetryAtMs()));
		return Math.min(session.nextDueAtMs, Math.max(retryAtMs, session.lastSentAtMs + MIN_EXCHANGE_INTERVAL_MS));
	}

	private async exchange(session: OwnerSession): Promise<void> {
		const {clock, random, transport} = this.opts;
		const sentAtMs = clock.now();
		// Between two regular exchanges only the customers with waiting requests take part, which keeps the message small.
		const isRegular = sentAtMs > session.nextDueAtMs - (EXCHANGE_PERIOD_MS / 2);
		const shares = this.getShares(session).filter(share => isRegular || share.isWaiting());
		const entries = shares.map(share => share.buildExchange(session.ownerTerm, sentAtMs)).filter(entry => entry !== undefined);
		if (isRegular) {
			session.nextDueAtMs = sentAtMs + jitter(EXCHANGE_PERIOD_MS, random);
		}

		if (entries.length === 0) {
			return;
		}

		// An unanswered exchange is repeated under its serial, unless a grant under it would already be too old.
		if (session.firstSentAtMs === undefined || sentAtMs - session.firstSentAtMs > MAX_SERIAL_REUSE_AGE_MS) {
			session.serial += 1;
			session.firstSentAtMs = sentAtMs;
		}

		session.lastSentAtMs = sentAtMs;
		const result = await transport.exchange(session.ownerId, {
			hostId: this.opts.hostId, startId: this.opts.startId, ownerTerm: session.ownerTerm, serial: session.serial, customers: entries,
		}, EXCHANGE_TIMEOUT_MS);
		if (result.isErr || result.value.serial !== session.serial || result.value.ownerTerm < session.ownerTerm) {
			session.failures += 1;
			session.nextDueAtMs = clock.now() + jitter(Math.min(MAX_FAILURE_BACKOFF_MS, MIN_FAILURE_BACKOFF_MS * (2 ** session.failures)), random);
			return;
		}

		this.applyAnswer(session, result.value, new Set(entries.map(entry => entry.customer)));
	}

	private applyAnswer(session: OwnerSession, answer: ShareAnswer, asked: ReadonlySet<string>): void {
		const now = this.opts.clock.now();
		const firstSentAtMs = session.firstSentAtMs ?? Number.NEGATIVE_INFINITY;
		session.firstSentAtMs = undefined;
		session.failures = 0;
		session.ownerTerm = answer.ownerTerm;
		session.lastAnswerAtMs = now;
		session.blockedUntilMs = now + answer.blockedMs;
		const grants = new Map(answer.grants.map(grant => [grant.customer, grant]));
		for (const share of this.getShares(session)) {
			const isAsked = asked.has(share.customer);
			const grant = grants.get(share.customer);
			if (isAsked) {
				share.acknowledgeReports();
			}

			// The answer to a repeated exchange may also grant customers that only its first sending named.
			if (grant) {
				share.applyGrant(grant, answer.ownerTerm, firstSentAtMs, now);
			} else if (isAsked) {
				share.postponeRetry(now);
			}
		}
	}

	private getShares(session: OwnerSession): readonly CustomerShare[] {
		return [...this.shares.values()].filter(share => this.opts.getOwnerId(share.customer) === session.ownerId);
	}

	/** The truthful reason why no grant came before the deadline. */
	private getRefusal(session: OwnerSession, share: CustomerShare, need: Amounts): Verdict {
		const now = this.opts.clock.now();
		if (now - session.lastAnswerAtMs > SHARE_TTL_MS) {
			return refuse(503, 'zone-cut-off', `The owner of the bucket of customer ${share.customer} has not answered within ${SHARE_TTL_MS} ms.`, EXCHANGE_PERIOD_MS);
		}

		if (now < session.blockedUntilMs) {
			const remainingMs = Math.ceil(session.blockedUntilMs - now);
			return refuse(503, 'shares-blocked', `The new owner of the bucket of customer ${share.customer} waits until the shares of its predecessor have expired.`, remainingMs);
		}

		return share.refuseOverRate(need);
	}
}
