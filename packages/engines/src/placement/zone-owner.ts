import {
	ANNOUNCE_TTL_MS, type Announcement, type Clock, CLOCK_DRIFT_RATIO, type Model, type Order, type Placements, Signal,
} from '@egretrill/common';
import {
	EXPLANATIONS_PER_MODEL,
	LEASE_MARGIN_MS,
	LEASE_POLL_MS,
	MAX_UNREAD_DECISIONS,
	MODEL_LOAD_BOUND_MS,
	ORDER_LIFETIME_MS,
	ORDER_RETRY_MS,
	OWNER_LEASE_MS,
	PERMIT_WAIT_MS,
	PLAN_PERIOD_MS,
	SILENT_TARGET_MS,
} from './constants.js';
import type {LoadPermit, LoadPermits} from './load-permits.js';
import {MemoryLedger} from './memory-ledger.js';
import type {OrderChannel} from './order-channel.js';
import {buildPlanInput, type PlanningView} from './plan-input.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {
	DemandEstimate, Explanation, Move, MoveStep, OrderResult, PhaseLoad, PlanInput, PlannedTarget, SendOutcome, SettledOrder,
} from './types.js';

/** The right to issue orders in a zone, granted by the leader. */
export abstract class LeaseHolder {
	/** Fencing number of the lease held last. */
	abstract get epoch(): number;
	/** Time left, counted from when the lease was asked for; 0 or less without a lease. */
	abstract remainingMs(): number;
}

export type ZoneOwnerOptions = {
	readonly zone: string;
	readonly clock: Clock;
	readonly lease: LeaseHolder;
	readonly policy: PlacementPolicy;
	readonly permits: LoadPermits;
	readonly getChannel: (target: Announcement) => OrderChannel;
	readonly getCapacityPerS?: (target: Announcement) => number;
};

/** What the owner is to place, as the daemon knows it at present. */
export type PlacementState = {
	readonly models: readonly Model[];
	readonly placements: Placements;
	readonly demand: readonly DemandEstimate[];
	readonly remoteTargets: readonly PlannedTarget[];
	readonly waiting?: PlanInput['waiting'];
	readonly loadSlots: number;
	readonly phase?: PhaseLoad;
};

/** One tenure under one lease epoch. */
type Term = {
	readonly epoch: number;
	readonly firstOrderAtMs: number;
	readonly ledger: MemoryLedger;
	readonly settled: Map<string, SettledOrder>;
	readonly moving: Map<string, Move>;
	isFenced: boolean;
	orderCount: number;
};

/** Time from a change of holder until no order of the predecessor can arrive any more. */
export const TAKEOVER_WAIT_MS = (OWNER_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)) + ORDER_LIFETIME_MS;

/** The only issuer of placement orders in its zone. */
export class ZoneOwner {
	private readonly changed = new Signal();
	private readonly announcements = new Map<string, {readonly announcement: Announcement; readonly receivedAtMs: number}>();
	private readonly copySince = new Map<string, number>();
	private readonly explanations = new Map<string, readonly Explanation[]>();
	private decisions: readonly Explanation[] = [];
	private term: Term | undefined;
	private state: PlacementState = {
		models: [], placements: {pins: [], forbids: []}, demand: [], remoteTargets: [], loadSlots: 0,
	};

	constructor(private readonly opts: ZoneOwnerOptions) {}

	/** Takes in the configuration and demand that the next round plans with. */
	setState(state: PlacementState): void {
		this.state = state;
		this.term?.ledger.setModels(state.models);
	}

	/** Takes in an announcement of one of the zone's engines, with the time since a host received it. */
	observe(announcement: Announcement, ageMs = 0): void {
		const receivedAtMs = this.opts.clock.now() - ageMs;
		this.announcements.set(announcement.targetId, {announcement, receivedAtMs});
		for (const order of this.term?.ledger.applyReport(announcement, receivedAtMs) ?? []) {
			this.term?.settled.set(order.orderId, order);
		}

		this.changed.notify();
	}

	/** Returns the latest decisions about a model, newest first. */
	explain(model: string): readonly Explanation[] {
		return this.explanations.get(model) ?? [];
	}

	/** Returns the decisions made since the last call, oldest first, for the caller's log. */
	takeDecisions(): readonly Explanation[] {
		const taken = this.decisions;
		this.decisions = [];
		return taken;
	}

	/** Plans and issues orders whenever the lease is held, until aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.opts.lease.remainingMs() <= 0) {
				await this.opts.clock.sleep(LEASE_POLL_MS, signal);
				continue;
			}

			const term = this.openTerm();
			const waitMs = term.firstOrderAtMs - this.opts.clock.now();
			if (waitMs > 0 || term.isFenced) {
				await this.opts.clock.sleep(Math.max(LEASE_POLL_MS, Math.min(waitMs, LEASE_POLL_MS * 5)), signal);
				continue;
			}

			this.startRound(term, signal);
			await this.opts.clock.sleep(PLAN_PERIOD_MS, signal);
		}

		while ((this.term?.moving.size ?? 0) > 0) {
			await this.changed.wait(this.opts.clock, PLAN_PERIOD_MS);
		}
	}

	/** Issues one order under the present lease and waits until its outcome is known. */
	async issueOrder(targetId: string, step: MoveStep, signal: AbortSignal): Promise<OrderResult> {
		return this.issue(this.openTerm(), targetId, step, signal);
	}

	/** Carries one order straight down: reserve, write, settle. */
	private async issue(term: Term, targetId: string, step: MoveStep, signal: AbortSignal): Promise<OrderResult> {
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

		const sent = await this.deliver(term, targetId, order, signal);
		if (sent.result === 'not-sent' || sent.result === 'refused') {
			term.ledger.release(targetId, order.orderId);
			return {...result, result: this.mayWrite(term) ? 'refused' : 'lease-lost', reason: sent.reason};
		}

		const settled = await this.waitForSettlement(term, targetId, order.orderId, signal);
		return settled === undefined
			? {...result, result: 'unsettled', reason: sent.reason}
			: {...result, result: settled.applied ? 'applied' : 'not-applied', reason: sent.reason};
	}

	/** Makes attempts until the engine answers or the order expires; every attempt carries the same order id. */
	private async deliver(term: Term, targetId: string, order: Order, signal: AbortSignal): Promise<SendOutcome> {
		const startedAtMs = this.opts.clock.now();
		let mayHaveArrived = false;
		let last: SendOutcome = {result: 'not-sent', reason: 'No attempt was made.'};
		for (let pauseMs = ORDER_RETRY_MS; !signal.aborted; pauseMs *= 2) {
			const remainingMs = Math.floor(ORDER_LIFETIME_MS - (this.opts.clock.now() - startedAtMs));
			const target = this.announcements.get(targetId)?.announcement;
			// The reservation holds for the contents of one start; a restarted target may hold something else.
			const isSameStart = term.ledger.getStartId(targetId) === term.ledger.getEntry(targetId, order.orderId)?.startId;
			if (remainingMs <= 0 || target === undefined || !isSameStart || !this.mayWrite(term)) {
				break;
			}

			term.ledger.markSent(targetId, order.orderId, this.opts.clock.now());
			last = await this.opts.getChannel(target).send(target, {...order, expiresInMs: remainingMs}, () => this.mayWrite(term), signal);
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

		// A refusal of a later attempt says nothing about an earlier one that was not answered.
		return {...last, result: mayHaveArrived ? 'unknown' : (last.result === 'not-sent' ? 'not-sent' : 'refused')};
	}

	private async waitForSettlement(term: Term, targetId: string, orderId: string, signal: AbortSignal): Promise<SettledOrder | undefined> {
		while (!signal.aborted && this.term === term) {
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

	/** Carries out one move straight down: permit, then each step after the one before has settled. */
	private async carryOut(term: Term, move: Move, signal: AbortSignal): Promise<void> {
		const load = move.steps.find(step => step.kind === 'load-model' || step.kind === 'load-adapter');
		let permit: LoadPermit | undefined;
		try {
			permit = load === undefined ? undefined : await this.opts.permits.acquire(load.kind === 'load-model' ? 'model' : 'adapter', move.urgent, PERMIT_WAIT_MS, signal);
			if (load !== undefined && permit === undefined) {
				this.explainWait(move, 'no-permit', `no load permit within ${PERMIT_WAIT_MS} ms`);
				return;
			}

			for (const step of move.steps) {
				if (step.kind === 'unload-model' && !this.mayUnload(term, move, step)) {
					return;
				}

				const done = await this.issue(term, move.targetId, step, signal);
				if (done.result !== 'applied') {
					this.explainWait(move, done.result, done.reason);
					return;
				}
			}
		} catch (err: unknown) {
			// The budget's owner may be out of reach; the next round tries again.
			this.explainWait(move, 'failed', String(err));
		} finally {
			permit?.release();
			term.moving.delete(move.targetId);
			this.changed.notify();
		}
	}

	/** Checks again, at the moment of the order, that another copy serves; other moves may have run since planning. */
	private mayUnload(term: Term, move: Move, step: MoveStep & {kind: 'unload-model' | 'load-model'}): boolean {
		const isConfigured = this.state.models.some(({id}) => id === step.model);
		const isElsewhere = [...this.announcements.values()].some(({announcement: {targetId, resident}}) => targetId !== move.targetId && this.isLive(targetId)
			&& resident.some(({model}) => model === step.model) && !term.ledger.isUnloading(targetId, step.model));
		const isRemote = this.state.remoteTargets.some(target => !target.leaving && target.zone < this.opts.zone && target.copies.some(copy => copy.model === step.model));
		return !isConfigured || isElsewhere || isRemote || move.reason === 'no-copy';
	}

	private startRound(term: Term, signal: AbortSignal): void {
		this.dropSilentTargets(term);
		const plan = this.opts.policy.planRound(buildPlanInput(this.getView(term)));
		for (const explanation of plan.explanations) {
			this.keepExplanation(explanation);
		}

		for (const move of plan.moves.filter(({targetId}) => !term.moving.has(targetId))) {
			term.moving.set(move.targetId, move);
			void this.carryOut(term, move, signal);
		}
	}

	private getView(term: Term): PlanningView {
		const nowMs = this.opts.clock.now();
		const live = [...this.announcements.values()].map(({announcement}) => announcement).filter(({targetId, kind}) => kind === 'engine' && this.isLive(targetId));
		return {
			...this.state, nowMs, zone: this.opts.zone, announcements: live, ledger: term.ledger, moving: term.moving, copySince: this.copySince, getCapacityPerS: this.opts.getCapacityPerS,
		};
	}

	private dropSilentTargets(term: Term): void {
		const nowMs = this.opts.clock.now();
		for (const [targetId, {receivedAtMs}] of this.announcements) {
			if (nowMs - receivedAtMs > SILENT_TARGET_MS && term.ledger.dropTarget(targetId, nowMs)) {
				this.announcements.delete(targetId);
			}
		}
	}

	private isLive(targetId: string): boolean {
		const seen = this.announcements.get(targetId);
		return seen !== undefined && !seen.announcement.leaving && this.opts.clock.now() - seen.receivedAtMs <= ANNOUNCE_TTL_MS;
	}

	private openTerm(): Term {
		const {epoch} = this.opts.lease;
		if (this.term?.epoch !== epoch) {
			const firstOrderAtMs = this.opts.clock.now() + TAKEOVER_WAIT_MS;
			const ledger = new MemoryLedger({quietAtMs: firstOrderAtMs + MODEL_LOAD_BOUND_MS});
			ledger.setModels(this.state.models);
			for (const {announcement, receivedAtMs} of this.announcements.values()) {
				ledger.applyReport(announcement, receivedAtMs);
			}

			this.term = {
				epoch, firstOrderAtMs, ledger, settled: new Map(), moving: new Map(), isFenced: false, orderCount: 0,
			};
		}

		return this.term;
	}

	private mayWrite(term: Term): boolean {
		return !term.isFenced && this.opts.lease.epoch === term.epoch && this.opts.lease.remainingMs() > LEASE_MARGIN_MS && this.opts.clock.now() >= term.firstOrderAtMs;
	}

	private explainWait({model, targetId}: Move, reason: string, weighedAgainst: string): void {
		this.keepExplanation({
			model, targetId, decision: 'wait', reason, weighedAgainst,
		});
	}

	private keepExplanation(explanation: Explanation): void {
		this.decisions = [...this.decisions, explanation].slice(-MAX_UNREAD_DECISIONS);
		const earlier = this.explanations.get(explanation.model) ?? [];
		this.explanations.set(explanation.model, [explanation, ...earlier].slice(0, EXPLANATIONS_PER_MODEL));
	}
}
