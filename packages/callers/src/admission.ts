import {refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import type {RankedKey} from './crashes/index.js';
import type {Identity} from './authenticate.js';
import {MAX_REACQUIRE_WAIT_MS, MAX_RESERVATION_HOLD_MS, OPEN_CUSTOMER} from './constants.js';
import {
	BATCH_QUEUE_DEADLINE_MS, INTERACTIVE_QUEUE_DEADLINE_MS, type Reservation, type ShareHolder,
} from './limits/index.js';
import type {Slot} from './fair-queue.js';
import type {RequestDependencies} from './request-dependencies.js';
import type {Work} from './work.js';

/** A request to be admitted. */
export type AdmissionRequest = {
	readonly deps: RequestDependencies;
	readonly identity: Identity;
	readonly work: Work;
	readonly fingerprint: string;
	/** Keys under which targets may have ended. */
	readonly keys: readonly RankedKey[];
	readonly signal: AbortSignal;
};

/** What an admitted request holds: a slot of its model's queue and a reservation from its customer's share. */
export class Admission {
	private hasStarted = false;

	constructor(private readonly req: AdmissionRequest, private reservation: Reservation | undefined, private readonly slot: Slot | undefined) {}

	/** Renews a reservation that expired while the request waited; it is spent only when the request is sent. */
	async refresh(): Promise<Result<true, Verdict>> {
		if (!this.reservation || this.hasStarted || this.reservation.isValid()) {
			return Result.ok(true);
		}

		this.reservation.cancel();
		const renewed = await acquireReservation(this.req, this.req.deps.clock.now() + MAX_REACQUIRE_WAIT_MS);
		if (renewed.isOk) {
			this.reservation = renewed.value;
		}

		return renewed.map(() => true as const);
	}

	/** Spends the reservation; false if it has expired since the last refresh. */
	start(): boolean {
		if (this.hasStarted || !this.reservation) {
			return true;
		}

		this.hasStarted = this.reservation.start();
		return this.hasStarted;
	}

	/** Settles the reservation with the number of generated tokens; without it, the whole reservation counts as spent. */
	settle(tokens?: number): void {
		const {promptTokens, maxTokens} = this.req.work.estimate;
		const spent = promptTokens + (tokens ?? maxTokens);
		this.reservation?.settle(spent);
		this.slot?.release(spent);
	}

	/** Releases everything held by a request that certainly did not run. */
	cancel(): void {
		if (this.hasStarted) {
			this.reservation?.settle(0);
		} else {
			this.reservation?.cancel();
		}

		this.slot?.release(0);
	}
}

/** Reserves from the customer's share; requests on open routes need no reservation. */
async function acquireReservation({deps, identity, work, signal}: AdmissionRequest, deadlineMs: number): Promise<Result<Reservation | undefined, Verdict>> {
	if (!identity.customer) {
		return Result.ok(undefined);
	}

	// The request was matched against the configuration in force, which the holder may not have received yet.
	deps.shares.addCustomer(identity.customer);
	const {promptTokens, maxTokens} = work.estimate;
	return deps.shares.acquire({
		customer: identity.customer.id, tokens: promptTokens + maxTokens, requests: 1, deadlineMs, signal,
	});
}

function getQueueDeadlineMs({work, deps}: AdmissionRequest): number {
	const limitMs = work.estimate.priority === 'batch' ? BATCH_QUEUE_DEADLINE_MS : INTERACTIVE_QUEUE_DEADLINE_MS;
	return deps.clock.now() + Math.min(limitMs, work.route.timeoutMs);
}

/** Waits for a slot of the model; requests for plain services are not queued. */
async function acquireSlot({deps, identity, work, signal}: AdmissionRequest, deadlineMs: number): Promise<Result<Slot | undefined, Verdict>> {
	if (work.chat === undefined) {
		return Result.ok(undefined);
	}

	const {promptTokens, maxTokens, priority} = work.estimate;
	return deps.queues.acquire(work.chat.model, {
		customer: identity.customer?.id ?? OPEN_CUSTOMER, weight: identity.customer?.weight ?? 1, priority, cost: promptTokens + maxTokens, deadlineMs, signal,
	});
}

/** Admits a request that is not blocked, once it is within its customer's rate and has a slot of its model's queue. */
export async function admitWork(req: AdmissionRequest): Promise<Result<Admission, Verdict>> {
	const blocked = req.deps.crashGate.getRefusal(req.keys);
	if (blocked) {
		return Result.err(blocked);
	}

	const deadlineMs = getQueueDeadlineMs(req);
	const reservation = await acquireReservation(req, deadlineMs);
	if (reservation.isErr) {
		return Result.err(reservation.error);
	}

	// The reservation is returned before it expires if the request waits too long, since the tokens of an expired one are lost.
	const holdTimer = setTimeout(() => {
		reservation.value?.cancel();
	}, MAX_RESERVATION_HOLD_MS);
	const slot = await acquireSlot(req, deadlineMs);
	clearTimeout(holdTimer);
	if (slot.isErr) {
		reservation.value?.cancel();
		return Result.err(slot.error);
	}

	return Result.ok(new Admission(req, reservation.value, slot.value));
}

/** The refusal of a request whose reservation expired before it could be sent. */
export function refuseExpiredShare(): Verdict {
	return refuse(503, 'share-expired', 'The customer\'s share expired before the request could be sent.', 1000);
}
