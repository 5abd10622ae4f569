import {CLOCK_DRIFT_RATIO, type WeightStoreLimits} from '@egretrill/common';
import {
	ADAPTER_PERMIT_TTL_MS, MIN_RETRY_MS, MODEL_PERMIT_TTL_MS, QUEUED_REQUEST_TTL_MS, SPECULATIVE_RATIO,
} from './constants.js';
import type {
	HeldPermit, LoadKind, PermitAnswer, PermitRefusal, PermitRequest,
} from './types.js';

type QueuedRequest = PermitRequest & {readonly lastRequestedAtMs: number};

export type LoadBudgetOptions = {
	readonly limits: WeightStoreLimits;
	readonly nowMs: number;
	/** Whether an earlier owner may have granted permits that are still valid. */
	readonly isSuccessor: boolean;
	/** Distinguishes this owner's permits from those of earlier ones. */
	readonly epoch: number;
};

function getTtlMs(kind: LoadKind): number {
	return kind === 'model' ? MODEL_PERMIT_TTL_MS : ADAPTER_PERMIT_TTL_MS;
}

/** Grants the fleet's permits to load from the weight store; a single owner holds the budget. */
export class LoadBudget {
	private limits: WeightStoreLimits;
	private heldPermits: ReadonlyMap<string, HeldPermit> = new Map();
	private queuedRequests: ReadonlyMap<string, QueuedRequest> = new Map();
	private nextModelLoadAtMs: number;
	private permitCount = 0;

	constructor(private readonly opts: LoadBudgetOptions) {
		this.limits = opts.limits;
		this.nextModelLoadAtMs = opts.nowMs;
	}

	/** Applies changed limits; permits already granted stay valid. */
	setLimits(limits: WeightStoreLimits): void {
		this.limits = limits;
	}

	/** Grants a permit or returns the time after which to retry; a repeated request gets the permit that it already holds. */
	requestPermit(req: PermitRequest, nowMs: number): PermitAnswer {
		this.dropExpired(nowMs);
		const held = [...this.heldPermits.values()].find(({requestId}) => requestId === req.requestId);
		if (held !== undefined) {
			return {granted: true, permitId: held.permitId, expiresInMs: (held.expiresAtMs - nowMs) / (1 + CLOCK_DRIFT_RATIO)};
		}

		const reason = this.findRefusal(req, nowMs);
		if (reason !== undefined) {
			this.queuedRequests = new Map([...this.queuedRequests, [req.requestId, {...req, lastRequestedAtMs: nowMs}]]);
			return {granted: false, reason, retryAfterMs: this.getRetryMs(reason, req, nowMs)};
		}

		return this.grant(req, nowMs);
	}

	/** Releases a permit; unknown and expired permits are ignored. */
	releasePermit(permitId: string): void {
		this.heldPermits = new Map([...this.heldPermits].filter(([id]) => id !== permitId));
	}

	/** Returns the number of valid permits of a kind. */
	countHeld(kind: LoadKind, nowMs: number): number {
		return [...this.heldPermits.values()].filter(permit => permit.kind === kind && permit.expiresAtMs > nowMs).length;
	}

	private grant(req: PermitRequest, nowMs: number): PermitAnswer {
		const ttlMs = getTtlMs(req.kind);
		this.permitCount += 1;
		const permitId = `${this.opts.epoch}-${this.permitCount}`;
		// The holder counts from when it sent the request, the owner from now plus clock drift, so the permit expires at the holder first.
		this.heldPermits = new Map([...this.heldPermits, [permitId, {...req, permitId, expiresAtMs: nowMs + (ttlMs * (1 + CLOCK_DRIFT_RATIO))}]]);
		this.queuedRequests = new Map([...this.queuedRequests].filter(([id]) => id !== req.requestId));
		if (req.kind === 'model') {
			// Idle time accumulates no budget, so a fleet that starts all at once gets no burst.
			this.nextModelLoadAtMs = Math.max(this.nextModelLoadAtMs, nowMs) + (1000 / this.limits.loadsPerSecond);
		}

		return {granted: true, permitId, expiresInMs: ttlMs};
	}

	private findRefusal(req: PermitRequest, nowMs: number): PermitRefusal | undefined {
		// Permits of an earlier owner may use the whole budget until they have expired.
		if (this.opts.isSuccessor && nowMs < this.getPredecessorPermitsEndMs(req.kind)) {
			return 'successor';
		}

		if (this.countHeld(req.kind, nowMs) >= this.getMaxLoads(req)) {
			return 'concurrency';
		}

		if (req.kind === 'model' && nowMs < this.nextModelLoadAtMs) {
			return 'rate';
		}

		return this.findFirstInQueue(req.kind, req)?.requestId === req.requestId ? undefined : 'urgent-first';
	}

	/** Returns the urgent request that has waited longest, or without one the speculative request that has. */
	private findFirstInQueue(kind: LoadKind, req: PermitRequest): PermitRequest | undefined {
		const queue = [...this.queuedRequests.values(), ...(this.queuedRequests.has(req.requestId) ? [] : [req])].filter(queued => queued.kind === kind);
		return queue.find(({urgency}) => urgency === 'urgent') ?? queue.at(0);
	}

	private getMaxLoads({kind, urgency}: PermitRequest): number {
		const maxLoads = kind === 'model' ? this.limits.concurrentLoads : this.limits.concurrentAdapterLoads;
		return urgency === 'urgent' ? maxLoads : Math.max(1, Math.floor(maxLoads * SPECULATIVE_RATIO));
	}

	private getPredecessorPermitsEndMs(kind: LoadKind): number {
		return this.opts.nowMs + (getTtlMs(kind) * (1 + CLOCK_DRIFT_RATIO));
	}

	private getRetryMs(reason: PermitRefusal, {kind}: PermitRequest, nowMs: number): number {
		const waitMs = {
			successor: this.getPredecessorPermitsEndMs(kind) - nowMs, rate: this.nextModelLoadAtMs - nowMs, concurrency: MIN_RETRY_MS * 5, 'urgent-first': MIN_RETRY_MS * 5,
		}[reason];
		// A queued request that is repeated less often than this would be dropped from the queue.
		return Math.min(Math.max(waitMs, MIN_RETRY_MS), QUEUED_REQUEST_TTL_MS / 2);
	}

	private dropExpired(nowMs: number): void {
		this.heldPermits = new Map([...this.heldPermits].filter(([, permit]) => permit.expiresAtMs > nowMs));
		this.queuedRequests = new Map([...this.queuedRequests].filter(([, queued]) => nowMs - queued.lastRequestedAtMs <= QUEUED_REQUEST_TTL_MS));
	}
}
