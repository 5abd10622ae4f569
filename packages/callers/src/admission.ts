import {refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import type {Identity} from './authenticate.js';
import {OPEN_CUSTOMER, REACQUIRE_MS, SHARE_HOLD_MS} from './constants.js';
import {BATCH_QUEUE_DEADLINE_MS, INTERACTIVE_QUEUE_DEADLINE_MS, type Reservation, type ShareHolder} from './limits/index.js';
import type {Slot} from './fair-queue.js';
import type {RequestParts} from './request-parts.js';
import type {Work} from './work.js';

/** What an admitted request holds: a slot of its model's queue and a part of its customer's share. */
export class Admission {
	private hasStarted = false;

	constructor(
		private readonly parts: RequestParts,
		private readonly work: Work,
		private readonly customer: string | undefined,
		private reservation: Reservation | undefined,
		private readonly slot: Slot | undefined,
	) {}

	/** Renews a share that expired while the request waited; the share is spent only when the request is sent. */
	async refresh(): Promise<Result<true, Verdict>> {
		const {reservation, customer, parts, work} = this;
		if (!reservation || customer === undefined || this.hasStarted || reservation.isFresh()) {
			return Result.ok(true);
		}

		reservation.cancel();
		const renewed = await acquireShare(parts.shares, customer, work, parts.clock.now() + REACQUIRE_MS);
		if (renewed.isOk) {
			this.reservation = renewed.value;
		}

		return renewed.map(() => true as const);
	}

	/** Spends the share; false if it has expired since the last refresh. */
	start(): boolean {
		if (this.hasStarted || !this.reservation) {
			return true;
		}

		this.hasStarted = this.reservation.start();
		return this.hasStarted;
	}

	/** Settles with the tokens that were generated; without a number the whole reservation counts as spent. */
	end(tokens?: number): void {
		const {promptTokens, maxTokens} = this.work.estimate;
		const spent = tokens === undefined ? promptTokens + maxTokens : promptTokens + tokens;
		this.reservation?.settle(spent);
		this.slot?.release(spent);
	}

	/** Gives everything back for a request that certainly did not run. */
	cancel(): void {
		if (this.hasStarted) {
			this.reservation?.settle(0);
		} else {
			this.reservation?.cancel();
		}

		this.slot?.release(0);
	}
}

async function acquireShare(shares: ShareHolder, customer: string, work: Work, deadlineMs: number, signal?: AbortSignal): Promise<Result<Reservation, Verdict>> {
	const {promptTokens, maxTokens} = work.estimate;
	return shares.acquire({
		customer, tokens: promptTokens + maxTokens, requests: 1, deadlineMs, ...(signal && {signal}),
	});
}

function getQueueDeadlineMs(work: Work, nowMs: number): number {
	const limitMs = work.estimate.priority === 'batch' ? BATCH_QUEUE_DEADLINE_MS : INTERACTIVE_QUEUE_DEADLINE_MS;
	return nowMs + Math.min(limitMs, work.route.timeoutMs);
}

/** Waits for a slot; the share is given back in time if the wait outlasts it, so that its tokens are not lost. */
async function acquireSlot(parts: RequestParts, identity: Identity, work: Work, reservation: Reservation | undefined, deadlineMs: number, signal: AbortSignal): Promise<Result<Slot | undefined, Verdict>> {
	if (work.chat === undefined) {
		return Result.ok(undefined);
	}

	const hold = setTimeout(() => {
		reservation?.cancel();
	}, SHARE_HOLD_MS);
	const {promptTokens, maxTokens, priority} = work.estimate;
	const slot = await parts.queues.acquire(work.chat.model, {
		customer: identity.customer?.id ?? OPEN_CUSTOMER, weight: identity.customer?.weight ?? 1, priority, cost: promptTokens + maxTokens, deadlineMs, signal,
	});
	clearTimeout(hold);
	return slot;
}

/** Admits a request: not blocked, within its customer's rate, and its turn in the queue. */
export async function admitWork(parts: RequestParts, identity: Identity, work: Work, fingerprint: string, signal: AbortSignal): Promise<Result<Admission, Verdict>> {
	const blocked = parts.poison.check(fingerprint);
	if (blocked) {
		return Result.err(blocked);
	}

	const deadlineMs = getQueueDeadlineMs(work, parts.clock.now());
	const customer = identity.customer?.id;
	const share = customer === undefined ? undefined : await acquireShare(parts.shares, customer, work, deadlineMs, signal);
	if (share?.isErr) {
		return Result.err(share.error);
	}

	const slot = await acquireSlot(parts, identity, work, share?.value, deadlineMs, signal);
	if (slot.isErr) {
		share?.value.cancel();
		return Result.err(slot.error);
	}

	return Result.ok(new Admission(parts, work, customer, share?.value, slot.value));
}

/** The refusal of a request whose share expired again and again while it waited. */
export function refuseStaleShare(): Verdict {
	return refuse(503, 'share-expired', 'The customer\'s share expired before the request could be sent.', 1000);
}
