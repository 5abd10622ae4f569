import {
	type Announcement, type Clock, type Order, Signal,
} from '@egretrill/common';
import {
	LEASE_MARGIN_MS, ORDER_LIFETIME_MS, ORDER_RETRY_MS, PLAN_PERIOD_MS,
} from './constants.js';
import type {MemoryLedger} from './memory-ledger.js';
import type {OrderChannel} from './order-channel.js';
import type {
	Move, MoveStep, OrderResult, SendOutcome, SettledOrder,
} from './types.js';

/** The lease of a zone as this host holds it, granted by the leader: the right to issue orders there. */
export abstract class HeldLease {
	/** Fencing number of the latest lease. */
	abstract get epoch(): number;
	/** Remaining time, counted from when the lease was requested; 0 or less without a lease. */
	abstract remainingMs(): number;
}

export type OrderIssuerOptions = {
	readonly zone: string;
	readonly clock: Clock;
	readonly lease: HeldLease;
	readonly getChannel: (target: Announcement) => OrderChannel;
};

/** `isStillAllowed` is checked together with the lease immediately before each write. */
export type DeliveryOptions = {readonly isStillAllowed: () => boolean; readonly signal: AbortSignal};

/** The latest announcement of a target and when a host received it. */
export type ReceivedAnnouncement = {readonly announcement: Announcement; readonly receivedAtMs: number};

/** State of the zone owner during one lease epoch. */
export type LeaseTerm = {
	readonly epoch: number;
	readonly firstOrderAtMs: number;
	readonly ledger: MemoryLedger;
	readonly settled: Map<string, SettledOrder>;
	readonly moving: Map<string, Move>;
	isFenced: boolean;
	isOver: boolean;
	orderCount: number;
};

/** Issues the orders of a zone owner, each under the lease of the term in which it was planned. */
export class OrderIssuer {
	/** Notified when a report may have settled an order. */
	readonly changed = new Signal();
	readonly announcements = new Map<string, ReceivedAnnouncement>();

	constructor(private readonly opts: OrderIssuerOptions) {}

	/** Returns whether the term's lease allows a write at this moment. */
	mayWrite(term: LeaseTerm): boolean {
		return !term.isFenced && this.opts.lease.epoch === term.epoch && this.opts.lease.remainingMs() > LEASE_MARGIN_MS && this.opts.clock.now() >= term.firstOrderAtMs;
	}

	/** Reserves memory for an order, delivers it and waits until it settles. */
	async issue(term: LeaseTerm, targetId: string, step: MoveStep, opts: DeliveryOptions): Promise<OrderResult> {
		term.orderCount += 1;
		const order: Order = {
			...step, orderId: `${this.opts.zone}-${term.epoch}-${term.orderCount}`, fencing: term.epoch, expiresInMs: ORDER_LIFETIME_MS,
		};
		const result = {orderId: order.orderId, targetId};
		if (!this.mayWrite(term)) {
			return {...result, result: 'lease-lost', reason: 'The lease does not allow orders yet or any more.'};
		}

		const reserved = term.ledger.reserve({targetId, order}, this.opts.clock.now());
		if (reserved.isErr) {
			return {...result, result: 'not-reserved', reason: reserved.error.reason};
		}

		const sent = await this.deliver(term, targetId, order, opts);
		if (sent.result === 'not-sent' || sent.result === 'refused') {
			term.ledger.release(targetId, order.orderId);
			return {...result, result: this.mayWrite(term) ? 'refused' : 'lease-lost', reason: sent.reason};
		}

		const settled = await this.waitForSettlement(term, targetId, order.orderId, opts.signal);
		return settled === undefined
			? {...result, result: 'unsettled', reason: sent.reason}
			: {...result, result: settled.applied ? 'applied' : 'not-applied', reason: sent.reason};
	}

	/** Repeats attempts until the engine answers or the order expires; all attempts carry the same order id. */
	private async deliver(term: LeaseTerm, targetId: string, order: Order, {isStillAllowed, signal}: DeliveryOptions): Promise<SendOutcome> {
		const startedAtMs = this.opts.clock.now();
		let mayHaveArrived = false;
		let last: SendOutcome = {result: 'not-sent', reason: 'No attempt was made.'};
		for (let pauseMs = ORDER_RETRY_MS; !signal.aborted; pauseMs *= 2) {
			const remainingMs = Math.floor(ORDER_LIFETIME_MS - (this.opts.clock.now() - startedAtMs));
			const target = this.announcements.get(targetId)?.announcement;
			// The reservation is valid for the contents of one start; a restarted target may hold different ones.
			const hasSameStart = term.ledger.getStartId(targetId) === term.ledger.getEntry(targetId, order.orderId)?.startId;
			if (remainingMs <= 0 || target === undefined || !hasSameStart || !this.mayWrite(term)) {
				break;
			}

			term.ledger.markSent(targetId, order.orderId, this.opts.clock.now());
			last = await this.opts.getChannel(target).send(target, {...order, expiresInMs: remainingMs}, () => this.mayWrite(term) && isStillAllowed(), signal);
			if (last.result === 'accepted') {
				term.ledger.markAccepted(targetId, order.orderId);
				return last;
			}

			term.isFenced ||= last.result === 'stale-fencing';
			mayHaveArrived ||= last.result === 'unknown';
			if (last.result === 'refused' || last.result === 'stale-fencing') {
				break;
			}

			await this.opts.clock.sleep(Math.min(pauseMs, remainingMs), signal);
		}

		// The refusal of a later attempt does not reveal the outcome of an earlier unanswered one.
		return {...last, result: mayHaveArrived ? 'unknown' : (last.result === 'not-sent' ? 'not-sent' : 'refused')};
	}

	private async waitForSettlement(term: LeaseTerm, targetId: string, orderId: string, signal: AbortSignal): Promise<SettledOrder | undefined> {
		while (!signal.aborted && !term.isOver) {
			const settled = term.settled.get(orderId);
			const entry = term.ledger.getEntry(targetId, orderId);
			if (settled !== undefined || entry === undefined || !this.announcements.has(targetId)) {
				term.settled.delete(orderId);
				return settled;
			}

			await this.changed.wait(this.opts.clock, PLAN_PERIOD_MS, signal);
		}

		return undefined;
	}
}
