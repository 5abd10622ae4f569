import {CLOCK_DRIFT_RATIO, type Clock, type Customer} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	addAmounts, coversAmounts, hasAmounts, mapAmounts, minAmounts, NO_AMOUNTS, subtractAmounts, sumAmounts,
} from './amounts.js';
import {Bucket} from './bucket.js';
import {
	HOST_EXCHANGE_TTL_MS, MAX_SHORT_RETRY_MS, MIN_SHORT_RETRY_MS, NEED_TTL_MS, SHARE_TTL_MS,
} from './constants.js';
import type {
	Amounts, BucketStatus, CustomerExchange, ShareAnswer, ShareGrant, ShareRequest,
} from './types.js';

/** What a host still needs from a customer's bucket. */
type Need = {
	readonly wanted: Amounts;
	readonly waiting: Amounts;
	readonly head: Amounts;
	readonly headSinceMs: number;
	readonly reportedAtMs: number;
};

type Account = {readonly bucket: Bucket; removed: boolean; needs: ReadonlyMap<string, Need>};

type LastExchange = {readonly answer: ShareAnswer; readonly atMs: number};

export type BucketOwnerOpts = {
	readonly clock: Clock;
	/** Incremented with each owner; reports on grants of other terms are ignored. */
	readonly term: number;
	/** When this owner took over; shares granted by its predecessor may be in use until the share lifetime has passed. */
	readonly startedAtMs: number;
	readonly customers: readonly Customer[];
	/** Whether the owner still holds its lease; checked in each exchange. */
	readonly isCurrent?: () => boolean;
};

export const GRANT_LIFETIME_MS = SHARE_TTL_MS * (1 + CLOCK_DRIFT_RATIO);

/** Holds the customers' token buckets and grants shares of them to the hosts. */
export class BucketOwner {
	private readonly clock: Clock;
	private readonly term: number;
	private readonly accruesFromMs: number;
	private readonly isCurrent: () => boolean;
	private readonly accounts = new Map<string, Account>();
	private readonly lastExchanges = new Map<string, LastExchange>();
	private nextSerial = 1;

	constructor(opts: BucketOwnerOpts) {
		this.clock = opts.clock;
		this.term = opts.term;
		// Levels stay 0 until the predecessor's shares have expired: tokens accrued before then, in addition to a burst still held by hosts, would exceed the limit.
		this.accruesFromMs = opts.startedAtMs + GRANT_LIFETIME_MS;
		this.isCurrent = opts.isCurrent ?? (() => true);
		this.setCustomers(opts.customers);
	}

	/** Applies the configured customers and rates. */
	setCustomers(customers: readonly Customer[]): void {
		const now = this.clock.now();
		const configured = new Set(customers.map(customer => customer.id));
		for (const [id, account] of this.accounts) {
			account.removed = !configured.has(id);
		}

		for (const customer of customers) {
			const account = this.accounts.get(customer.id);
			if (account) {
				account.bucket.setRate(customer.rate, now);
			} else {
				this.accounts.set(customer.id, {bucket: new Bucket(customer.rate, Math.max(now, this.accruesFromMs)), removed: false, needs: new Map()});
			}
		}

		this.dropRemovedAccounts(now);
	}

	/** Handles an exchange of a host; a repeated serial returns the same grants again. */
	grant(req: ShareRequest): Result<ShareAnswer, string> {
		if (!this.isCurrent()) {
			return Result.err('This host is not the owner of the customer buckets.');
		}

		const now = this.clock.now();
		const hostKey = `${req.hostId}/${req.startId}`;
		if (req.ownerTerm === this.term) {
			this.applyReports(req.customers, now);
		}

		const blockedMs = Math.ceil(Math.max(0, this.accruesFromMs - now));
		const previous = this.lastExchanges.get(hostKey)?.answer;
		if (previous && req.serial <= previous.serial) {
			// A delayed duplicate of an older exchange gets nothing, since its host has sent newer ones.
			return Result.ok(req.serial === previous.serial
				? previous
				: {
					ownerTerm: this.term, serial: req.serial, blockedMs, grants: [],
				});
		}

		const grants = req.customers.flatMap(entry => this.grantCustomer(hostKey, entry, now));
		const answer = {
			ownerTerm: this.term, serial: req.serial, blockedMs, grants,
		};
		this.removeInactiveHosts(now);
		this.lastExchanges.set(hostKey, {answer, atMs: now});
		return Result.ok(answer);
	}

	/** Current state of the customers' buckets. */
	getStatus(customers: readonly string[] = [...this.accounts.keys()]): readonly BucketStatus[] {
		const now = this.clock.now();
		return customers.flatMap(customer => {
			const bucket = this.accounts.get(customer)?.bucket;
			bucket?.advance(now);
			return bucket ? [{customer, level: bucket.getLevel(), outstanding: bucket.getOutstanding()}] : [];
		});
	}

	private applyReports(entries: readonly CustomerExchange[], nowMs: number): void {
		for (const entry of entries) {
			const bucket = this.accounts.get(entry.customer)?.bucket;
			bucket?.advance(nowMs);
			for (const report of entry.reports ?? []) {
				bucket?.applyReport(report);
			}
		}
	}

	private grantCustomer(hostKey: string, entry: CustomerExchange, nowMs: number): readonly ShareGrant[] {
		const account = this.accounts.get(entry.customer);
		if (!account || account.removed) {
			return [];
		}

		const {bucket} = account;
		bucket.advance(nowMs);
		const ownNeed = getNeed(entry, nowMs);
		const others = [...account.needs].filter(([id, need]) => id !== hostKey && nowMs - need.reportedAtMs < NEED_TTL_MS);
		const otherNeeds = others.map(([, need]) => need);
		const amounts = getAllocation(bucket.getLevel(), ownNeed, otherNeeds);
		const serial = hasAmounts(amounts) ? this.nextSerial++ : 0;
		if (serial > 0) {
			bucket.issue(serial, amounts, nowMs + GRANT_LIFETIME_MS);
		}

		const remaining = getRemainingNeed(ownNeed, amounts);
		account.needs = new Map(hasAmounts(remaining.wanted) || hasAmounts(remaining.waiting) ? [...others, [hostKey, remaining]] : others);
		const earlierHeads = sumAmounts(otherNeeds.filter(need => need.headSinceMs <= ownNeed.headSinceMs).map(need => need.head));
		const isStillWaiting = hasAmounts(remaining.waiting);
		const waitMs = Math.ceil(bucket.getWaitMs(nowMs, addAmounts(remaining.head, earlierHeads)));
		return [{
			customer: entry.customer,
			serial,
			amounts,
			short: isStillWaiting || !coversAmounts(bucket.getLevel(), sumAmounts([remaining, ...otherNeeds].map(need => need.head))),
			retryAfterMs: isStillWaiting ? Math.min(MAX_SHORT_RETRY_MS, Math.max(MIN_SHORT_RETRY_MS, waitMs)) : 0,
		}];
	}

	private removeInactiveHosts(nowMs: number): void {
		for (const [hostKey, lastExchange] of this.lastExchanges) {
			if (nowMs - lastExchange.atMs > HOST_EXCHANGE_TTL_MS) {
				this.lastExchanges.delete(hostKey);
			}
		}
	}

	/** Keeps a removed customer while hosts hold its tokens, so that adding it again does not allow a second burst. */
	private dropRemovedAccounts(nowMs: number): void {
		for (const [id, {bucket, removed}] of this.accounts) {
			bucket.advance(nowMs);
			if (removed && !hasAmounts(bucket.getOutstanding())) {
				this.accounts.delete(id);
			}
		}
	}
}

function getNeed(entry: CustomerExchange, nowMs: number): Need {
	return {
		wanted: entry.wanted ?? NO_AMOUNTS,
		waiting: entry.waiting?.total ?? NO_AMOUNTS,
		head: entry.waiting?.head ?? NO_AMOUNTS,
		headSinceMs: nowMs - (entry.waiting?.waitedMs ?? 0),
		reportedAtMs: nowMs,
	};
}

function getRemainingNeed(need: Need, granted: Amounts): Need {
	const isHeadGranted = coversAmounts(granted, need.head);
	const waiting = subtractAmounts(need.waiting, granted);
	return {
		...need,
		wanted: subtractAmounts(need.wanted, subtractAmounts(granted, need.waiting)),
		waiting,
		head: isHeadGranted ? NO_AMOUNTS : need.head,
	};
}

/**
 * Divides the level among the hosts by need. If it does not cover all needs, the request that has waited longest comes first and
 * is granted completely or not at all, since partial grants on several hosts would block each other until they expire.
 */
function getAllocation(level: Amounts, ownNeed: Need, others: readonly Need[]): Amounts {
	const available = mapAmounts(unit => Math.floor(level[unit]));
	const ownTotal = addAmounts(ownNeed.waiting, ownNeed.wanted);
	if (coversAmounts(available, sumAmounts([ownTotal, ...others.flatMap(need => [need.waiting, need.wanted])]))) {
		return ownTotal;
	}

	if (!hasAmounts(ownNeed.waiting)) {
		const free = subtractAmounts(available, sumAmounts(others.map(need => need.waiting)));
		return minAmounts(ownNeed.wanted, getProportionalPart(free, ownNeed.wanted, others.map(need => need.wanted)));
	}

	const earlierHeads = sumAmounts(others.filter(need => need.headSinceMs < ownNeed.headSinceMs).map(need => need.head));
	if (!coversAmounts(available, addAmounts(earlierHeads, ownNeed.head))) {
		return NO_AMOUNTS;
	}

	const free = subtractAmounts(available, sumAmounts([ownNeed.head, ...others.map(need => need.head)]));
	const extra = getProportionalPart(free, ownNeed.waiting, others.map(need => need.waiting));
	return addAmounts(ownNeed.head, minAmounts(subtractAmounts(ownNeed.waiting, ownNeed.head), extra));
}

function getProportionalPart(free: Amounts, own: Amounts, others: readonly Amounts[]): Amounts {
	const total = addAmounts(own, sumAmounts(others));
	return mapAmounts(unit => total[unit] > 0 ? Math.floor(free[unit] * own[unit] / total[unit]) : 0);
}
