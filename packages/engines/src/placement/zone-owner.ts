import {
	ANNOUNCE_TTL_MS, type Announcement, CLOCK_DRIFT_RATIO, ZONE_LEASE_TTL_MS,
} from '@egretrill/common';
import {
	ADAPTER_ANSWER_MS,
	EXPLANATIONS_PER_MODEL,
	LEASE_POLL_MS,
	MAX_BUFFERED_DECISIONS,
	MAX_UNANSWERED_MODEL_LOAD_MS,
	ORDER_LIFETIME_MS,
	PERMIT_TIMEOUT_MS,
	PLAN_PERIOD_MS,
	SILENT_TARGET_RETENTION_MS,
} from './constants.js';
import {addBacklog} from './demand.js';
import {FleetState} from './fleet-state.js';
import type {LoadPermit, LoadPermits} from './load-permits.js';
import {MemoryLedger} from './memory-ledger.js';
import {type LeaseTerm, OrderIssuer, type OrderIssuerOptions} from './order-issuer.js';
import {buildPlanInput, type PlacementState, type PlanningView} from './plan-input.js';
import type {PlacementPolicy} from './placement-policy.js';
import {planAdapterEvictions} from './secondary-moves.js';
import type {
	AdapterLoadResult, AdapterRequest, Explanation, ModelExplanation, Move, MoveStep, OrderResult,
} from './types.js';

export type ZoneOwnerOptions = OrderIssuerOptions & {
	readonly policy: PlacementPolicy;
	readonly permits: LoadPermits;
	readonly getCapacityPerS?: (target: Announcement) => number;
};

/** Time from a change of holder until no order of the predecessor can still arrive. */
export const TAKEOVER_WAIT_MS = (ZONE_LEASE_TTL_MS * (1 + CLOCK_DRIFT_RATIO)) + ORDER_LIFETIME_MS;

/** The only issuer of placement orders in its zone. */
export class ZoneOwner {
	private readonly issuer: OrderIssuer;
	private readonly firstSeenMs = new Map<string, number>();
	private readonly explanations = new Map<string, readonly Explanation[]>();
	private decisions: readonly Explanation[] = [];
	private term: LeaseTerm | undefined;
	private state: PlacementState = {
		models: [], placements: {pins: [], forbids: []}, demand: [], waiting: [], remoteTargets: [], loadSlots: 0,
	};

	private readonly adapterLoads = new Map<string, Promise<AdapterLoadResult>>();

	constructor(private readonly opts: ZoneOwnerOptions) {
		this.issuer = new OrderIssuer(opts);
	}

	/** Sets the configuration and demand that the next round is planned with. */
	setState(state: PlacementState): void {
		this.state = state;
		this.term?.ledger.setModels(state.models);
	}

	/** Records an announcement of one of the zone's engines, with the time since a host received it. */
	observe(announcement: Announcement, ageMs = 0): void {
		const receivedAtMs = this.opts.clock.now() - ageMs;
		this.issuer.announcements.set(announcement.targetId, {announcement, receivedAtMs});
		for (const order of this.term?.ledger.applyReport(announcement, receivedAtMs) ?? []) {
			this.term?.settled.set(order.orderId, order);
		}

		this.issuer.changed.notify();
	}

	/** Returns the demand for a model that rounds are planned with and the latest decisions about it, newest first. */
	explain(model: string): ModelExplanation {
		const demand = addBacklog(this.state.demand, this.state.waiting).find(estimate => estimate.model === model && estimate.adapter === undefined);
		return {demandPerS: demand?.ratePerS ?? 0, explanations: [...this.explanations.get(model) ?? []]};
	}

	/** Returns the decisions made since the last call, oldest first, for the caller's log. */
	drainDecisions(): readonly Explanation[] {
		const unread = this.decisions;
		this.decisions = [];
		return unread;
	}

	/** Plans and issues orders whenever the lease is held, until aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.opts.lease.remainingMs() <= 0) {
				await this.opts.clock.sleep(LEASE_POLL_MS, signal);
				continue;
			}

			const term = this.getCurrentTerm();
			const waitMs = term.firstOrderAtMs - this.opts.clock.now();
			if (waitMs > 0 || term.isFenced) {
				await this.opts.clock.sleep(Math.max(LEASE_POLL_MS, Math.min(waitMs, LEASE_POLL_MS * 5)), signal);
				continue;
			}

			this.startRound(term, signal);
			await this.opts.clock.sleep(PLAN_PERIOD_MS, signal);
		}

		while ((this.term?.moving.size ?? 0) > 0) {
			await this.issuer.changed.wait(this.opts.clock, PLAN_PERIOD_MS);
		}
	}

	/** Issues one order under the current lease and waits until its outcome is known. */
	async issueOrder(targetId: string, step: MoveStep, signal: AbortSignal): Promise<OrderResult> {
		return this.issuer.issue(this.getCurrentTerm(), targetId, step, {signal, isStillAllowed: () => true});
	}

	/** Loads an adapter for a request that waits for it; requests for the same adapter and target share one load. */
	async loadAdapter(request: AdapterRequest, signal: AbortSignal): Promise<AdapterLoadResult> {
		const key = `${request.targetId}/${request.model}/${request.adapter}`;
		const runningLoad = this.adapterLoads.get(key);
		const load = runningLoad ?? this.runAdapterLoad(key, request, signal);
		if (runningLoad === undefined) {
			this.adapterLoads.set(key, load);
		}

		return Promise.race([load, this.timeOutAdapterLoad(signal)]);
	}

	private async timeOutAdapterLoad(signal: AbortSignal): Promise<AdapterLoadResult> {
		await this.opts.clock.sleep(ADAPTER_ANSWER_MS, signal);
		return {isLoaded: false, reason: `The adapter was not loaded within ${ADAPTER_ANSWER_MS} ms.`};
	}

	private async runAdapterLoad(key: string, request: AdapterRequest, signal: AbortSignal): Promise<AdapterLoadResult> {
		try {
			return await this.startAdapterLoad(request, signal);
		} finally {
			this.adapterLoads.delete(key);
		}
	}

	private async startAdapterLoad({targetId, model, adapter}: AdapterRequest, signal: AbortSignal): Promise<AdapterLoadResult> {
		if (this.opts.lease.remainingMs() <= 0) {
			return {isLoaded: false, reason: 'This host does not own the zone.'};
		}

		const term = this.getCurrentTerm();
		const copy = this.issuer.announcements.get(targetId)?.announcement.resident.find(resident => resident.model === model);
		if (copy === undefined || !this.isLive(targetId)) {
			return {isLoaded: false, reason: `${targetId} does not serve ${model}.`};
		}

		if (copy.adapters.includes(adapter)) {
			return {isLoaded: true, reason: 'The adapter is resident.'};
		}

		const evictions = planAdapterEvictions(new FleetState(buildPlanInput(this.getView(term)), this.state.demand), {targetId, model, adapter}, this.state.demand);
		if (evictions === undefined) {
			return {isLoaded: false, reason: `${targetId} has no memory for the adapter.`};
		}

		const isLoaded = await this.runSteps(term, {
			targetId, model, reason: 'adapter-demand', urgent: true, steps: [...evictions, {
				kind: 'load-adapter', model, version: copy.version, adapter,
			}],
		}, signal);
		return {isLoaded, reason: isLoaded ? 'The adapter was loaded.' : this.explanations.get(model)?.at(0)?.weighedAgainst ?? ''};
	}

	private async runMove(term: LeaseTerm, move: Move, signal: AbortSignal): Promise<void> {
		await this.runSteps(term, move, signal);
		term.moving.delete(move.targetId);
		this.issuer.changed.notify();
	}

	/** Runs one move: acquires a permit, then issues each step after the previous one has settled; returns whether all steps were applied. */
	private async runSteps(term: LeaseTerm, move: Move, signal: AbortSignal): Promise<boolean> {
		const load = move.steps.find(step => step.kind === 'load-model' || step.kind === 'load-adapter');
		let permit: LoadPermit | undefined;
		try {
			permit = load === undefined ? undefined : await this.opts.permits.acquire(load.kind === 'load-model' ? 'model' : 'adapter', move.urgent, PERMIT_TIMEOUT_MS, signal);
			if (load !== undefined && permit === undefined) {
				this.recordWait(move, 'no-permit', `no load permit within ${PERMIT_TIMEOUT_MS} ms`);
				return false;
			}

			for (const step of move.steps) {
				const isStillAllowed = () => this.isStillAllowed(term, move, step);
				const done = isStillAllowed() ? await this.issuer.issue(term, move.targetId, step, {signal, isStillAllowed}) : undefined;
				if (done?.result !== 'applied') {
					this.recordWait(move, done?.result ?? 'last-one', done?.reason ?? 'no other target would serve the model or the phase');
					return false;
				}
			}

			return true;
		} catch (err: unknown) {
			// The owner of the budget may be unreachable; the next round tries again.
			this.recordWait(move, 'failed', String(err));
			return false;
		} finally {
			permit?.release();
		}
	}

	private isStillAllowed(term: LeaseTerm, move: Move, step: MoveStep): boolean {
		if (step.kind === 'set-role') {
			return step.role === 'mixed' || this.isPhaseServedElsewhere(term, move.targetId, step.role === 'prefill' ? 'decode' : 'prefill');
		}

		return step.kind !== 'unload-model' || this.mayUnload(term, move, step);
	}

	/** Checks, at the moment of the order, that another target of the zone serves the phase that this one stops serving. */
	private isPhaseServedElsewhere(term: LeaseTerm, targetId: string, phase: 'prefill' | 'decode'): boolean {
		return [...this.issuer.announcements].some(([other, {announcement}]) => other !== targetId && announcement.kind === 'engine' && this.isLive(other) && term.ledger.canServePhase(other, phase));
	}

	/** Checks again, at the moment of the order, that another copy serves, since other moves may have run after planning. */
	private mayUnload(term: LeaseTerm, move: Move, step: MoveStep & {kind: 'unload-model' | 'load-model'}): boolean {
		const isConfigured = this.state.models.some(({id}) => id === step.model);
		const isServedElsewhere = [...this.issuer.announcements.values()].some(({announcement: {targetId, resident}}) => targetId !== move.targetId && this.isLive(targetId)
			&& resident.some(({model}) => model === step.model) && !term.ledger.isUnloading(targetId, step.model));
		const isServedByOtherZone = this.state.remoteTargets.some(target => !target.leaving && target.zone < this.opts.zone && target.copies.some(copy => copy.model === step.model));
		return !isConfigured || isServedElsewhere || isServedByOtherZone || move.reason === 'no-copy';
	}

	private startRound(term: LeaseTerm, signal: AbortSignal): void {
		this.dropSilentTargets(term);
		const plan = this.opts.policy.planRound(buildPlanInput(this.getView(term)));
		for (const explanation of plan.explanations) {
			this.recordExplanation(explanation);
		}

		for (const move of plan.moves.filter(({targetId}) => !term.moving.has(targetId))) {
			term.moving.set(move.targetId, move);
			void this.runMove(term, move, signal);
		}
	}

	private getView(term: LeaseTerm): PlanningView {
		const nowMs = this.opts.clock.now();
		const live = [...this.issuer.announcements.values()].map(({announcement}) => announcement).filter(({targetId, kind}) => kind === 'engine' && this.isLive(targetId));
		return {
			...this.state, nowMs, zone: this.opts.zone, announcements: live, ledger: term.ledger, moving: term.moving, firstSeenMs: this.firstSeenMs, getCapacityPerS: this.opts.getCapacityPerS,
		};
	}

	private dropSilentTargets(term: LeaseTerm): void {
		const nowMs = this.opts.clock.now();
		for (const [targetId, {receivedAtMs}] of this.issuer.announcements) {
			if (nowMs - receivedAtMs > SILENT_TARGET_RETENTION_MS && term.ledger.dropTarget(targetId, nowMs)) {
				this.issuer.announcements.delete(targetId);
			}
		}
	}

	private isLive(targetId: string): boolean {
		const seen = this.issuer.announcements.get(targetId);
		return seen !== undefined && !seen.announcement.leaving && this.opts.clock.now() - seen.receivedAtMs <= ANNOUNCE_TTL_MS;
	}

	private getCurrentTerm(): LeaseTerm {
		const {epoch} = this.opts.lease;
		if (this.term?.epoch !== epoch) {
			const firstOrderAtMs = this.opts.clock.now() + TAKEOVER_WAIT_MS;
			const ledger = new MemoryLedger({predecessorSettledAtMs: firstOrderAtMs + MAX_UNANSWERED_MODEL_LOAD_MS});
			ledger.setModels(this.state.models);
			for (const {announcement, receivedAtMs} of this.issuer.announcements.values()) {
				ledger.applyReport(announcement, receivedAtMs);
			}

			if (this.term !== undefined) {
				this.term.isOver = true;
			}

			this.term = {
				epoch, firstOrderAtMs, ledger, settled: new Map(), moving: new Map(), isFenced: false, isOver: false, orderCount: 0,
			};
		}

		return this.term;
	}

	private recordWait({model, targetId}: Move, reason: string, weighedAgainst: string): void {
		this.recordExplanation({
			model, targetId, decision: 'wait', reason, weighedAgainst,
		});
	}

	private recordExplanation(explanation: Explanation): void {
		this.decisions = [...this.decisions, explanation].slice(-MAX_BUFFERED_DECISIONS);
		const earlier = this.explanations.get(explanation.model) ?? [];
		this.explanations.set(explanation.model, [explanation, ...earlier].slice(0, EXPLANATIONS_PER_MODEL));
	}
}
