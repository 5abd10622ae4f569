import type {Clock, Random, Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {
	CLEARLY_FREE_SLOTS, DUE_STEP_MS, LIMIT_CHECK_INTERVAL_MS, MAX_BEYOND_SLOTS, OWN_SHARE_STEPS, REFUSAL_CHECK_INTERVAL_MS, RETRY_GRACE_MS, RETURN_WAIT_RATIO,
} from '../constants.js';
import {CheckTimer} from './check-timer.js';
import {FleetShortage, type RequestKind} from './fleet-shortage.js';
import {LaneTable} from './lane-table.js';
import type {QueueObserver, WaitEnd} from './queue-observer.js';
import {countByModel, type ModelBacklog, needsLoad} from './queue-report.js';
import {refuseLeft, refuseNoSlot, refuseShutdown} from './refuse-no-slot.js';
import {ReturningCallers} from './returning-callers.js';
import {type ServedCounts, ServedRatios} from './served-ratios.js';
import {ShareDraws} from './share-draws.js';
import type {QueueReport, ShortageFigures} from './shortage-figures.js';
import {SlotForecast} from './slot-forecast.js';
import type {
	SlotOutcome, SlotRequirements, SlotSource, TargetSlot,
} from './slot-source.js';
import {decideWait, type WaitReason} from './wait-forecast.js';
import {
	describeRequirements, Kinds, type Lane, type NoSlot, type SlotWait, type Waiter,
} from './waiter.js';
import {compareRanked, insertRanked, type WaitingRank} from './waiting-lanes.js';

/** Outcomes of requests that used no slot of their target. */
const unusedOutcomes: ReadonlySet<SlotOutcome> = new Set(['failed', 'unreachable', 'unsent']);

/** Rank of a request for whose model nothing waits. */
const UNRANKED: WaitingRank = {
	priority: 0, attempt: 1, dueStep: 0, share: 0,
};

/** Search of one turn: what was found for each requirement for which no slot is free. */
type Turn = Map<string, NoSlot>;

export type SlotQueueOptions = {
	readonly random?: Random;
	readonly observer?: QueueObserver;
};

/** Requests that wait for a slot: of the more urgent kind first, then callers that return after a refusal, then by the time by which they have to be sent, the share of their customer and arrival. Absorbs bursts and the load time of models. */
export class SlotQueue {
	private readonly lanes = new LaneTable();
	private readonly returning: ReturningCallers;
	private readonly fleet: FleetShortage;
	private readonly forecast: SlotForecast;
	private readonly shares: ShareDraws;
	private readonly kindRatios: ServedRatios<RequestKind>;
	private readonly customerRatios: ServedRatios<string>;
	private readonly kinds = new Kinds();
	private readonly limitTimer: CheckTimer;
	private readonly observer: QueueObserver | undefined;
	private sequence = 0;
	private lastLimitCheckMs = Number.NEGATIVE_INFINITY;
	private lastRefusalCheckMs = Number.NEGATIVE_INFINITY;
	private isClosed = false;

	constructor(private readonly clock: Clock, private readonly source: SlotSource, {random = Math.random, observer}: SlotQueueOptions = {}) {
		this.fleet = new FleetShortage(clock);
		this.forecast = new SlotForecast(clock, source, this.fleet, random);
		this.kindRatios = new ServedRatios(clock);
		this.customerRatios = new ServedRatios(clock);
		this.returning = new ReturningCallers(clock);
		this.limitTimer = new CheckTimer(clock, () => {
			this.checkLimits();
		});
		this.shares = new ShareDraws(this.fleet, this.lanes, waiter => this.isBelowFloor(waiter), random);
		this.observer = observer;
	}

	getLength(): number {
		return this.lanes.size;
	}

	/** Counts waiting requests by what they wait for. */
	getWaitingByReason(): ReadonlyMap<WaitReason, number> {
		const counts = new Map<WaitReason, number>();
		for (const {reason} of this.lanes.listBacklog()) {
			counts.set(reason, (counts.get(reason) ?? 0) + 1);
		}

		return counts;
	}

	/** Counts, by model, the requests that wait for an engine and the refused callers that are expected to retry. */
	getWaitingByModel(): readonly ModelBacklog[] {
		return countByModel([...this.lanes.listBacklog(), ...this.returning.list()]);
	}

	/** Returns what the leader sums over all hosts; slots and arrivals count since the last report. */
	createReport(): QueueReport {
		return this.fleet.createReport(this.lanes.listBacklog(), this.returning.list());
	}

	/** Applies the figures of all hosts that the leader returned to the last report. */
	applyFigures(figures: ShortageFigures): void {
		this.fleet.apply(figures);
	}

	/** Resolves with a slot, or with a refusal as soon as none is expected within the limits. */
	async acquire(requirements: SlotRequirements, priority: number, limits: SlotWait, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
		const refusal = limits.getRefusal?.();
		if (refusal) {
			return Result.err(refusal);
		}

		const waiter = this.createWaiter(requirements, priority, limits);
		this.recordAsked(waiter);
		const earlier = this.findEarlier(waiter);
		waiter.found = earlier?.lastFound ?? waiter.found;
		const slot = earlier ? undefined : this.search(waiter, new Map());
		if (slot) {
			return Result.ok(slot);
		}

		if (this.isClosed || signal.aborted) {
			return Result.err(this.isClosed ? refuseShutdown() : refuseLeft());
		}

		this.setRank(waiter);
		const late = this.refuseIfTooLate(waiter, this.lanes.countAhead(waiter));
		return late ? Result.err(late) : this.wait(waiter, signal);
	}

	/** Takes a slot that is free now and for which no request of the same or a more urgent priority waits. */
	takeFree(requirements: SlotRequirements, priority: number): TargetSlot | undefined {
		const {queueKey, requirementsKey} = describeRequirements(requirements);
		for (const {requirementsKey: otherKey, head} of this.lanes.getOfModel(queueKey)) {
			if (otherKey === requirementsKey && head && head.kind.priority <= priority) {
				return undefined;
			}
		}

		const result = this.source.findSlot(requirements);
		return result.kind === 'slot' ? this.countSlot(queueKey, result.slot) : undefined;
	}

	/** Refuses all waiting requests, and new requests for which no slot is free. */
	close(): void {
		this.isClosed = true;
		for (const waiter of this.lanes.listWaiters()) {
			waiter.settle(Result.err(refuseShutdown()));
		}
	}

	/** Gives free slots to waiting requests and refuses those for which none is expected in time; must be called whenever a slot may have become free or a target was added. Searches once for each distinct requirement. */
	dispatch(): void {
		this.giveSlots();
		const nowMs = this.clock.now();
		if (nowMs - this.lastRefusalCheckMs >= REFUSAL_CHECK_INTERVAL_MS) {
			this.refuseForOtherReasons();
		}

		if (nowMs - this.lastLimitCheckMs >= LIMIT_CHECK_INTERVAL_MS) {
			this.checkLimits();
		}
	}

	/** Refuses waiting requests for reasons outside the queue, such as a planned stop of this host. */
	refuseForOtherReasons(): void {
		this.lastRefusalCheckMs = this.clock.now();
		for (const {limits, settle} of this.lanes.listWaiters()) {
			const refusal = limits.getRefusal?.();
			if (refusal) {
				settle(Result.err(refusal));
			}
		}
	}

	private giveSlots(): void {
		const turn: Turn = new Map();
		const heads = this.listHeads();
		for (let head = heads.shift(); head; head = heads.shift()) {
			const following = head.lane?.getNext(head);
			const refusal = head.limits.getRefusal?.();
			const slot = refusal ? undefined : this.search(head, turn);
			const next = (refusal ?? slot) ? following : this.shares.findNext(head);
			if (refusal) {
				head.settle(Result.err(refusal));
			} else if (slot) {
				head.settle(Result.ok(slot));
			}

			if (next) {
				insertRanked(heads, next);
			}
		}
	}

	private createWaiter(requirements: SlotRequirements, priority: number, limits: SlotWait): Waiter {
		const {service, queueKey, requirementsKey} = describeRequirements(requirements);
		const kind = this.kinds.get(priority, limits.targetLatencyMs ?? 0);
		this.sequence += 1;
		return {
			requirements,
			service,
			queueKey,
			requirementsKey,
			kind,
			rank: UNRANKED,
			sequence: this.sequence,
			limits,
			startedMs: this.clock.now(),
			ratios: this.getRatios(service, kind, limits.customer),
			found: {kind: 'full'},
			window: -1,
			hasShare: false,
			settle: () => undefined,
		};
	}

	private getRatios(service: string, kind: RequestKind, customer: string | undefined): readonly ServedCounts[] {
		const ofKind = this.kindRatios.get(service, kind);
		return customer === undefined ? [ofKind] : [ofKind, this.customerRatios.get(service, customer)];
	}

	/** Sets the rank of a request, which only matters once others wait. */
	private setRank(waiter: Waiter): void {
		const {kind: {priority}, ratios: [, ofCustomer], limits: {dueMs = 0, isReturning = false}} = waiter;
		const share = ofCustomer === undefined ? 1 : this.customerRatios.getRelative(ofCustomer);
		waiter.rank = {
			priority, attempt: isReturning ? 0 : 1, dueStep: Math.floor(dueMs / DUE_STEP_MS), share: Math.floor(share * OWN_SHARE_STEPS),
		};
	}

	private findEarlier(waiter: Waiter): Lane | undefined {
		if (!this.lanes.hasModel(waiter.queueKey)) {
			return undefined;
		}

		this.setRank(waiter);
		return this.lanes.findEarlier(waiter);
	}

	private recordAsked({queueKey, kind, ratios}: Waiter): void {
		this.fleet.recordArrival(queueKey, kind);
		for (const counts of ratios) {
			this.kindRatios.recordAsked(counts);
		}
	}

	private recordServed({ratios}: Waiter): void {
		for (const counts of ratios) {
			this.kindRatios.recordServed(counts);
		}
	}

	/** Takes a slot for a request. */
	private search(waiter: Waiter, turn: Turn): TargetSlot | undefined {
		const {requirements, requirementsKey, queueKey} = waiter;
		const hasShare = this.shares.hasShare(waiter);
		const turnKey = `${requirementsKey}\n${hasShare}`;
		const known = turn.get(turnKey);
		const found = known ?? this.source.findSlot(hasShare === undefined ? requirements : {...requirements, beyondSlots: hasShare ? MAX_BEYOND_SLOTS : -CLEARLY_FREE_SLOTS});
		if (found.kind === 'slot') {
			this.recordServed(waiter);
			this.reportEnd(waiter, 'served');
			return this.countSlot(queueKey, found.slot);
		}

		if (!known && needsLoad(found.kind)) {
			this.source.requestLoad(requirements);
		}

		waiter.found = found;
		turn.set(turnKey, found);
		if (waiter.lane) {
			waiter.lane.lastFound = found;
		}

		return undefined;
	}

	private isBelowFloor({ratios: [ofKind]}: Waiter): boolean {
		return ofKind !== undefined && this.kindRatios.isBelowFloor(ofKind);
	}

	/** Counts a slot that this host got, and later that it is free again. */
	private countSlot(queueKey: string, slot: TargetSlot): TargetSlot {
		this.forecast.recordSlot(queueKey);
		return {
			...slot,
			release: outcome => {
				if (!unusedOutcomes.has(outcome)) {
					this.fleet.recordFreed(queueKey);
				}

				slot.release(outcome);
			},
		};
	}

	/** Returns a refusal if the slot of a request is expected too late. */
	private refuseIfTooLate(waiter: Waiter, ahead: number): Verdict | undefined {
		const {requirements, queueKey, kind, limits, startedMs, found: {kind: reason, isCold}} = waiter;
		const nowMs = this.clock.now();
		const waitedMs = nowMs - startedMs;
		const forecastMs = this.forecast.getForecastMs({
			requirements, queueKey, kind, reason, waitedMs, ahead,
		});
		const isNew = waiter.firstForecastMs === undefined;
		waiter.firstForecastMs ??= forecastMs;
		const ownReturning = this.returning.count(queueKey);
		const decision = decideWait({
			reason, waitedMs, forecastMs, isNew, isCold, wasRefusedBefore: ownReturning > 0, isShortage: this.fleet.isRecent(queueKey),
		}, limits);
		if (decision.kind === 'wait') {
			this.limitTimer.set(nowMs + decision.untilMs);
			return undefined;
		}

		const retryAfterMs = this.forecast.getRetryAfterMs({queueKey, kind}, decision.retryAfterMs, ownReturning);
		const leftMs = (limits.endsMs ?? Number.POSITIVE_INFINITY) - nowMs;
		if (retryAfterMs <= leftMs) {
			this.returning.add({
				requirements, queueKey, kind, reason, untilMs: nowMs + Math.min(retryAfterMs, leftMs * RETURN_WAIT_RATIO) + RETRY_GRACE_MS,
			});
		}

		this.reportEnd(waiter, 'refused');
		return refuseNoSlot(reason, retryAfterMs);
	}

	private reportEnd({found: {kind: reason}, startedMs, firstForecastMs}: Waiter, outcome: WaitEnd['outcome']): void {
		const waitedMs = this.clock.now() - startedMs;
		if (outcome === 'refused' || waitedMs > 0) {
			this.observer?.recordWaitEnd({
				reason, outcome, waitedMs, forecastMs: firstForecastMs,
			});
		}
	}

	private async wait(waiter: Waiter, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
		return new Promise(resolve => {
			const onAbort = (): void => {
				waiter.settle(Result.err(refuseLeft()));
			};

			waiter.settle = result => {
				if (this.remove(waiter)) {
					signal.removeEventListener('abort', onAbort);
					resolve(result);
				}
			};

			this.lanes.add(waiter);
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	private remove(waiter: Waiter): boolean {
		const wasWaiting = this.lanes.remove(waiter);
		if (this.lanes.size === 0) {
			this.limitTimer.clear();
		}

		return wasWaiting;
	}

	/** The first requests of all lanes in the order in which they get slots; a kind that was served too little goes first. */
	private listHeads(): Waiter[] {
		const heads = this.lanes.listHeads().toSorted(compareRanked);
		const isBelow = new Map(heads.map(head => [head, this.isBelowFloor(head)]));
		return [...heads.filter(head => isBelow.get(head)), ...heads.filter(head => !isBelow.get(head))];
	}

	/** Refuses waiting requests whose slot is expected too late, counting for each model those that go first. */
	private checkLimits(): void {
		this.lastLimitCheckMs = this.clock.now();
		for (const waiters of this.lanes.listByModel()) {
			let ahead = 0;
			for (const waiter of waiters) {
				const refusal = this.refuseIfTooLate(waiter, ahead);
				if (refusal) {
					waiter.settle(Result.err(refusal));
				} else {
					ahead += 1;
				}
			}
		}
	}
}
