import {CLOCK_DRIFT_RATIO, type WeightStoreLimits} from '@egretrill/common';
import {
	ADAPTER_PERMIT_TTL_MS, MIN_RETRY_MS, MODEL_PERMIT_TTL_MS, SPECULATIVE_RATIO, QUEUED_REQUEST_TTL_MS,
} from './constants.js';
import type {
	HeldPermit, LoadKind, PermitAnswer, PermitRefusal, PermitRequest,
} from './types.js';

type QueuedRequest = PermitRequest & {readonly lastRequestedAtMs: number};

export type LoadBudgetOptions = {
	readonly limits: WeightStoreLimits;
	readonly nowMs: number;
	/** True when an earlier owner may have granted permits that still run. */
	readonly isSuccessor: boolean;
	/** Distinguishes this owner's permits from those of earlier ones. */
	readonly epoch: number;
};

function getTtlMs(kind: LoadKind): number {
	return kind === 'model' ? MODEL_PERMIT_TTL_MS : ADAPTER_PERMIT_TTL_MS;
}

/** The fleet's permits to load from the weight store, kept by one owner. */
export class LoadBudget {
	private limits: WeightStoreLimits;
	private held: ReadonlyMap<string, HeldPermit> = new Map();
	private queuedRequests: ReadonlyMap<string, QueuedRequest> = new Map();
	private nextModelAtMs: number;
	private permitCount = 0;

	constructor(private readonly opts: LoadBudgetOptions) {
		this.limits = opts.limits;
		this.nextModelAtMs = opts.nowMs;
	}

	/** Puts changed limits into force; permits already granted keep running. */
	setLimits(limits: WeightStoreLimits): void {
		this.limits = limits;
	}

	/** Grants a permit or says when to ask again; a repeated request gets the permit it already has. */
	requestPermit(req: PermitRequest, nowMs: number): PermitAnswer {
		this.dropExpired(nowMs);
		const held = [...this.held.values()].find(({requestId}) => requestId === req.requestId);
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

	/** Gives a permit back; unknown and expired permits are ignored. */
	releasePermit(permitId: string): void {
		this.held = new Map([...this.held].filter(([id]) => id !== permitId));
	}

	/** Returns how many loads of a kind run now. */
	countHeld(kind: LoadKind, nowMs: number): number {
		return [...this.held.values()].filter(permit => permit.kind === kind && permit.expiresAtMs > nowMs).length;
	}

	private grant(req: PermitRequest, nowMs: number): PermitAnswer {
		const ttlMs = getTtlMs(req.kind);
		this.permitCount += 1;
		const permitId = `${this.opts.epoch}-${this.permitCount}`;
		// The holder counts from when it asked, the owner from now plus drift, so the holder stops first.
		this.held = new Map([...this.held, [permitId, {...req, permitId, expiresAtMs: nowMs + (ttlMs * (1 + CLOCK_DRIFT_RATIO))}]]);
		this.queuedRequests = new Map([...this.queuedRequests].filter(([id]) => id !== req.requestId));
		if (req.kind === 'model') {
			// Idle time earns nothing, so a fleet that starts at once gets no burst.
			this.nextModelAtMs = Math.max(this.nextModelAtMs, nowMs) + (1000 / this.limits.loadsPerSecond);
		}

		return {granted: true, permitId, expiresInMs: ttlMs};
	}

	private findRefusal(req: PermitRequest, nowMs: number): PermitRefusal | undefined {
		// Permits of an earlier owner may take up every place until they have expired.
		if (this.opts.isSuccessor && nowMs < this.getPredecessorPermitsEndMs(req.kind)) {
			return 'successor';
		}

		if (this.countHeld(req.kind, nowMs) >= this.getMaxLoads(req)) {
			return 'concurrency';
		}

		if (req.kind === 'model' && nowMs < this.nextModelAtMs) {
			return 'rate';
		}

		return this.findFirstInQueue(req.kind, req)?.requestId === req.requestId ? undefined : 'urgent-first';
	}

	/** The longest-waiting urgent request comes first, then the longest-waiting speculative one. */
	private findFirstInQueue(kind: LoadKind, req: PermitRequest): PermitRequest | undefined {
		const queue = [...this.queuedRequests.values(), ...(this.queuedRequests.has(req.requestId) ? [] : [req])].filter(waiter => waiter.kind === kind);
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
			successor: this.getPredecessorPermitsEndMs(kind) - nowMs, rate: this.nextModelAtMs - nowMs, concurrency: MIN_RETRY_MS * 5, 'urgent-first': MIN_RETRY_MS * 5,
		}[reason];
		// A waiter that asks less often than this would lose its place.
		return Math.min(Math.max(waitMs, MIN_RETRY_MS), QUEUED_REQUEST_TTL_MS / 2);
	}

	private dropExpired(nowMs: number): void {
		this.held = new Map([...this.held].filter(([, permit]) => permit.expiresAtMs > nowMs));
		this.queuedRequests = new Map([...this.queuedRequests].filter(([, waiter]) => nowMs - waiter.lastRequestedAtMs <= QUEUED_REQUEST_TTL_MS));
	}
}
