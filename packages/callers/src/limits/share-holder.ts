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

/** Sends exchanges to a bucket owner. */
export abstract class ShareTransport {
	/** Resolves within the timeout; an error means that the answer is unknown. */
	abstract exchange(ownerId: string, req: ShareRequest, timeoutMs: number): Promise<Result<ShareAnswer, string>>;
}

export type ReservationRequest = {
	readonly customer: string;
	readonly tokens: number;
	readonly requests: 1;
	/** In the time of the holder's clock. */
	readonly deadlineMs: number;
	readonly signal?: AbortSignal;
};

export type ShareHolderOpts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hostId: string;
	/** Unique to each start of the host, since serials restart with it. */
	readonly startId: string;
	readonly transport: ShareTransport;
	readonly customers: readonly Customer[];
	/** Returns the id of the owner of a customer's bucket. */
	readonly getOwnerId: (customer: string) => string;
};

/** A request and its tokens, reserved from a customer's share. */
export class Reservation {
	constructor(private readonly share: CustomerShare, private readonly shareDraw: ShareDraw, readonly tokens: number, private readonly clock: Clock) {}

	/** Whether the reservation has not expired and is not fully settled. */
	isValid(): boolean {
		return hasAmounts(this.shareDraw.unsettled) && this.clock.now() < this.shareDraw.expiresAtMs;
	}

	/**
	 * Checks right before the request is sent to a target that the share may be spent, and settles the request unit.
	 * If it were settled at admission, a request that waits in the queue could be sent after its request unit has accrued again.
	 */
	start(): boolean {
		if (!this.isValid()) {
			return false;
		}

		this.share.start(this.shareDraw, this.clock.now());
		return true;
	}

	/** Returns the unused tokens unless the share has expired; the request unit counts as spent. Repeated calls have no effect. */
	settle(actualTokens: number): void {
		this.share.settle(this.shareDraw, this.shareDraw.unsettled, {tokens: Math.max(0, Math.ceil(actualTokens)), requests: 1}, this.clock.now());
	}

	/** Returns everything that is still reserved for a request that was not run. */
	cancel(): void {
		this.share.settle(this.shareDraw, this.shareDraw.unsettled, NO_AMOUNTS, this.clock.now());
	}
}

/** State of the exchanges with one owner. */
type OwnerSession = {
	readonly ownerId: string;
	readonly wakeSignal: Signal;
	ownerTerm: number;
	serial: number;
	/** When the unanswered serial was first sent; the lifetime of a grant under it is counted from then. */
	firstSentAtMs: number | undefined;
	lastSentAtMs: number;
	nextDueAtMs: number;
	lastAnswerAtMs: number;
	blockedUntilMs: number;
	failures: number;
};

/** Borrows shares of the customers' buckets for one host; a task for each owner runs the exchanges with it. */
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

	/** Adds a customer of the configuration in force that this holder has not received yet. */
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

		share.recordDemand(need, now);
		const session = this.getSession(req.customer);
		let shareDraw = share.draw(need, now);
		if (shareDraw) {
			session.wakeSignal.notify();
			return Result.ok(new Reservation(share, shareDraw, need.tokens, clock));
		}

		const granted = new Signal();
		const waiter: RateWaiter = {
			need, sinceMs: now, onGranted(result) {
				shareDraw = result;
				granted.notify();
			},
		};
		share.addWaiter(waiter);
		session.wakeSignal.notify();
		await granted.wait(clock, req.deadlineMs - now, req.signal);
		if (shareDraw) {
			return Result.ok(new Reservation(share, shareDraw, need.tokens, clock));
		}

		share.removeWaiter(waiter, clock.now());
		return Result.err(req.signal?.aborted ? refuse(499, 'cancelled', 'The caller went away before the request was admitted.') : this.getRefusal(session, share, need));
	}

	/** Stops the exchange tasks; shares still held expire at their owner. */
	async stop(): Promise<void> {
		this.stopping.abort();
		await Promise.all(this.tasks);
	}

	/** Returns the session with a customer's owner; the first request of one of its customers starts the owner's task. */
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
		// Exchanges between two regular ones include only customers with waiting requests, which keeps the messages small.
		const isRegular = sentAtMs > session.nextDueAtMs - (EXCHANGE_PERIOD_MS / 2);
		const shares = this.getShares(session).filter(share => isRegular || share.isWaiting());
		const entries = shares.map(share => share.buildExchange(session.ownerTerm, sentAtMs)).filter(entry => entry !== undefined);
		if (isRegular) {
			session.nextDueAtMs = sentAtMs + jitter(EXCHANGE_PERIOD_MS, random);
		}

		if (entries.length === 0) {
			return;
		}

		// An unanswered exchange is repeated under the same serial unless a grant under it would be too old.
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

	private applyAnswer(session: OwnerSession, answer: ShareAnswer, requestedCustomers: ReadonlySet<string>): void {
		const now = this.opts.clock.now();
		const firstSentAtMs = session.firstSentAtMs ?? Number.NEGATIVE_INFINITY;
		session.firstSentAtMs = undefined;
		session.failures = 0;
		session.ownerTerm = answer.ownerTerm;
		session.lastAnswerAtMs = now;
		session.blockedUntilMs = now + answer.blockedMs;
		const grants = new Map(answer.grants.map(grant => [grant.customer, grant]));
		for (const share of this.getShares(session)) {
			const wasRequested = requestedCustomers.has(share.customer);
			const grant = grants.get(share.customer);
			if (wasRequested) {
				share.acknowledgeReports();
			}

			// The answer to a repeated exchange may include grants for customers that only the first transmission listed.
			if (grant) {
				share.applyGrant(grant, answer.ownerTerm, firstSentAtMs, now);
			} else if (wasRequested) {
				share.postponeRetry(now);
			}
		}
	}

	private getShares(session: OwnerSession): readonly CustomerShare[] {
		return [...this.shares.values()].filter(share => this.opts.getOwnerId(share.customer) === session.ownerId);
	}

	/** Why no grant arrived before the deadline. */
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
