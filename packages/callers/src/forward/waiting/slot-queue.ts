import {type Clock, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {MIN_RETRY_AFTER_MS, RETRY_GRACE_MS, RETRY_SLOT_RATIO} from '../constants.js';
import type {PromptPart, TargetLoad} from '../types.js';
import type {ExpectedWork} from './route-sizes.js';
import {
	decideWait, SlotRate, RetrySchedule, type WaitDecision, type WaitLimits, type WaitReason,
} from './wait-forecast.js';

/** What a request requires of its target. */
export type SlotRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: readonly PromptPart[];
	/** Targets to which this request has already been sent. */
	readonly tried: ReadonlySet<string>;
	/** Leaves out targets that are silent now. */
	readonly avoidsSilent?: boolean;
	/** What the request is expected to take, for the choice of its target. */
	readonly work?: ExpectedWork;
};

/** The result of a request for the health of its target: it answered, it failed or refused the request, it broke off the result, it could not be reached, it was silent until another one took over, or nothing was sent to it. */
export type SlotOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable' | 'replaced' | 'unsent';

/** Room for one request at a target; `release` frees it. */
export type TargetSlot = {
	readonly targetId: string;
	readonly address: string;
	readonly zone: string;
	/** Start time of the target's process, which distinguishes its lifetimes. */
	readonly startedAtMs: number;
	/** Whether the target was still slow after its start when it was chosen. */
	readonly wasCold: boolean;
	/** Whether the target has announced that it leaves, or has left, since it was chosen. */
	readonly isLeaving: () => boolean;
	/** Time until the target is gone; undefined if it has not announced that. */
	readonly getLeaveLeftMs?: () => number | undefined;
	/** Known requests of all hosts outstanding at the target when it was chosen. */
	readonly outstanding: number;
	/** Records the load that the target reports with an answer. */
	readonly recordLoad: (load: TargetLoad) => void;
	/** Records the events of a stream after its first one, and the time that they took. */
	readonly recordStream: (events: number, durationMs: number) => void;
	/** Ranks the target last for a while, since it is silent in the middle of its answer. */
	readonly reportSilence: () => void;
	/** Records that the target says in its answer that it leaves; no further request is sent to it. */
	readonly reportLeaving: () => void;
	/** Records that the target takes no requests for a time. */
	readonly reportPause: (pauseMs: number) => void;
	/** Records that something has arrived from the target, which ends its silence. */
	readonly recordActivity: () => void;
	readonly release: (outcome: SlotOutcome) => void;
};

/** A slot, or the reason why none is available now. */
export type SlotResult =
	| {readonly kind: 'slot'; readonly slot: TargetSlot}
	| {readonly kind: WaitReason};

/** Finds slots at the known targets. */
export abstract class SlotSource {
	abstract findSlot(requirements: SlotRequirements): SlotResult;
	/** Requests the load of a model or adapter that no target can serve yet. */
	abstract requestLoad(requirements: SlotRequirements): void;
	/** Time until the first of the targets that take no requests for a time takes some again; undefined if there is none. */
	abstract getPauseLeftMs(requirements: SlotRequirements): number | undefined;
	/** Time until a model that is being loaded can serve; undefined when no load is in progress. */
	abstract getTimeUntilReadyMs(requirements: SlotRequirements): number | undefined;
}

/** Number of requests that wait for a copy of a model, and of those that found all copies full (`crowded`). */
export type ModelBacklog = {readonly service: string; readonly model: string | undefined; readonly waiting: number; readonly crowded: number};

/** How long a request may wait for a slot. */
export type SlotWait = WaitLimits & {
	/** Refuses the request for a reason outside the queue; asked before a slot is taken for it. */
	readonly getRefusal?: () => Verdict | undefined;
};

type Waiter = {
	readonly requirements: SlotRequirements;
	/** Keys that are equal for requests with the same requirements and with the same model. */
	readonly requirementsKey: string;
	readonly modelKey: string;
	readonly priority: number;
	readonly limits: SlotWait;
	readonly startedMs: number;
	readonly settle: (result: Result<TargetSlot, Verdict>) => void;
	lastReason: WaitReason;
};

/** A caller that was refused with a retry time. */
type RefusedCaller = {readonly requirements: SlotRequirements; readonly reason: WaitReason; readonly untilMs: number};

function getModelKey({service, model}: Pick<SlotRequirements, 'service' | 'model'>): string {
	return JSON.stringify([service, model]);
}

function getRequirementsKey({service, model, adapter}: SlotRequirements): string {
	return JSON.stringify([service, model, adapter]);
}

/** Requests that wait for a slot, in order of priority and then of arrival. Absorbs bursts and the load time of models. */
export class SlotQueue {
	private waiters: readonly Waiter[] = [];
	private refusedCallers: readonly RefusedCaller[] = [];
	private readonly slotRate: SlotRate;
	private readonly retrySchedule: RetrySchedule;
	private isClosed = false;

	constructor(private readonly clock: Clock, private readonly source: SlotSource) {
		this.slotRate = new SlotRate(clock);
		this.retrySchedule = new RetrySchedule(clock);
	}

	getLength(): number {
		return this.waiters.length;
	}

	/** Counts, by model, the requests that wait for an engine and the refused callers that are expected to retry. Requests that only lack an adapter are left out, since they need no further copy of the model. */
	getWaitingByModel(): readonly ModelBacklog[] {
		const counts = new Map<string, ModelBacklog>();
		const add = ({service, model}: SlotRequirements, reason: WaitReason): void => {
			if (reason === 'adapter-missing') {
				return;
			}

			const key = getModelKey({service, model});
			const known = counts.get(key) ?? {
				service, model, waiting: 0, crowded: 0,
			};
			const isCrowded = !needsLoad(reason);
			counts.set(key, {...known, waiting: known.waiting + Number(!isCrowded), crowded: known.crowded + Number(isCrowded)});
		};

		for (const {requirements, lastReason} of this.waiters) {
			add(requirements, lastReason);
		}

		this.refusedCallers = this.refusedCallers.filter(({untilMs}) => untilMs > this.clock.now());
		for (const {requirements, reason} of this.refusedCallers) {
			add(requirements, reason);
		}

		return [...counts.values()];
	}

	/** Resolves with a slot, or with a refusal as soon as none is expected within the limits. */
	async acquire(requirements: SlotRequirements, priority: number, limits: SlotWait, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
		const refusal = limits.getRefusal?.();
		if (refusal) {
			return Result.err(refusal);
		}

		const requirementsKey = getRequirementsKey(requirements);
		const initialResult = this.hasEarlierWaiter(requirementsKey, priority) ? undefined : this.findSlot(requirements);
		if (initialResult?.kind === 'slot') {
			return Result.ok(initialResult.slot);
		}

		if (initialResult && needsLoad(initialResult.kind)) {
			this.source.requestLoad(requirements);
		}

		if (this.isClosed) {
			return Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS));
		}

		return this.wait({
			requirements, requirementsKey, modelKey: getModelKey(requirements), priority, limits, lastReason: initialResult?.kind ?? 'full',
		}, signal);
	}

	/** Takes a slot that is free now and for which no request of the same or a more urgent priority waits. */
	takeFree(requirements: SlotRequirements, priority: number): TargetSlot | undefined {
		const result = this.hasEarlierWaiter(getRequirementsKey(requirements), priority) ? undefined : this.findSlot(requirements);
		return result?.kind === 'slot' ? result.slot : undefined;
	}

	/** Refuses all waiting requests, and new requests for which no slot is free; another host can serve these callers sooner. */
	close(): void {
		this.isClosed = true;
		for (const waiter of this.waiters) {
			waiter.settle(Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS)));
		}
	}

	/** Gives free slots to waiting requests and refuses those for which none is expected in time; must be called whenever a slot may have become free or a target was added. */
	dispatch(): void {
		const unserved = new Map<string, WaitReason>();
		const ahead = new Map<string, number>();
		this.refuseForOtherReasons();
		for (const waiter of this.waiters) {
			const {requirementsKey, modelKey} = waiter;
			const known = unserved.get(requirementsKey);
			const result = known === undefined ? this.findSlot(waiter.requirements) : {kind: known} as const;
			if (result.kind === 'slot') {
				waiter.settle(Result.ok(result.slot));
				continue;
			}

			if (known === undefined && needsLoad(result.kind)) {
				this.source.requestLoad(waiter.requirements);
			}

			unserved.set(requirementsKey, result.kind);
			waiter.lastReason = result.kind;
			const aheadCount = ahead.get(modelKey) ?? 0;
			if (this.refuseIfTooLate(waiter, aheadCount).kind === 'wait') {
				ahead.set(modelKey, aheadCount + 1);
			}
		}
	}

	private refuseForOtherReasons(): void {
		for (const {limits, settle} of this.waiters) {
			const refusal = limits.getRefusal?.();
			if (refusal) {
				settle(Result.err(refusal));
			}
		}
	}

	private findSlot(requirements: SlotRequirements): SlotResult {
		const result = this.source.findSlot(requirements);
		if (result.kind === 'slot') {
			this.slotRate.recordSlot(getModelKey(requirements));
		}

		return result;
	}

	/** Whether a request with the same requirements and the same or a more urgent priority (a smaller number) is already waiting. */
	private hasEarlierWaiter(key: string, priority: number): boolean {
		return this.waiters.some(({requirementsKey, priority: other}) => other <= priority && requirementsKey === key);
	}

	private countAhead(waiter: Waiter): number {
		let ahead = 0;
		for (const other of this.waiters) {
			if (other === waiter) {
				break;
			}

			ahead += Number(other.modelKey === waiter.modelKey);
		}

		return ahead;
	}

	/** Refuses a waiting request if its slot is expected too late. */
	private refuseIfTooLate(waiter: Waiter, ahead: number): WaitDecision {
		const {requirements, modelKey, limits, lastReason, startedMs, settle} = waiter;
		const forecastMs = this.getForecastMs(waiter, ahead);
		const decision = decideWait({reason: lastReason, waitedMs: this.clock.now() - startedMs, forecastMs}, limits);
		if (decision.kind === 'refuse') {
			const intervalMs = this.slotRate.getWaitMs(modelKey, 0);
			const retryAfterMs = this.retrySchedule.getRetryAfterMs(modelKey, decision.retryAfterMs, intervalMs === undefined ? undefined : intervalMs / RETRY_SLOT_RATIO);
			this.refusedCallers = [...this.refusedCallers, {requirements, reason: lastReason, untilMs: this.clock.now() + retryAfterMs + RETRY_GRACE_MS}];
			settle(Result.err(refuseNoSlot(lastReason, retryAfterMs)));
		}

		return decision;
	}

	/** Expected time until a waiting request gets a slot; undefined if unknown. */
	private getForecastMs({requirements, modelKey, lastReason}: Waiter, ahead: number): number | undefined {
		switch (lastReason) {
			case 'full': {
				return this.slotRate.getWaitMs(modelKey, ahead);
			}

			case 'paused': {
				return this.source.getPauseLeftMs(requirements);
			}

			case 'adapter-missing':
			case 'none': {
				return this.source.getTimeUntilReadyMs(requirements);
			}
		}
	}

	private async wait(request: Omit<Waiter, 'startedMs' | 'settle'>, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
		if (signal.aborted) {
			return Result.err(refuse(503, 'caller-left', 'The caller left before the request was placed.'));
		}

		return new Promise(resolve => {
			const resolved = new AbortController();
			const settle = (result: Result<TargetSlot, Verdict>): void => {
				this.waiters = this.waiters.filter(other => other !== waiter);
				signal.removeEventListener('abort', onAbort);
				resolved.abort();
				resolve(result);
			};

			const onAbort = (): void => {
				settle(Result.err(refuse(503, 'caller-left', 'The caller left before the request was placed.')));
			};

			const waiter: Waiter = {...request, startedMs: this.clock.now(), settle};
			const insertIndex = this.waiters.findIndex(other => other.priority > waiter.priority);
			this.waiters = insertIndex === -1 ? [...this.waiters, waiter] : this.waiters.toSpliced(insertIndex, 0, waiter);
			signal.addEventListener('abort', onAbort, {once: true});
			void this.watchWaitLimit(waiter, resolved.signal);
		});
	}

	/** Checks a waiting request again when its limit is reached, even if no slot or target has changed. */
	private async watchWaitLimit(waiter: Waiter, resolved: AbortSignal): Promise<void> {
		while (!resolved.aborted) {
			const decision = this.refuseIfTooLate(waiter, this.countAhead(waiter));
			if (decision.kind === 'wait') {
				await this.clock.sleep(decision.untilMs, resolved);
			}
		}
	}
}

/** Whether a request lacks a model or adapter, rather than room at the targets that hold them. */
function needsLoad(reason: WaitReason): boolean {
	return reason === 'none' || reason === 'adapter-missing';
}

function refuseNoSlot(reason: WaitReason, retryAfterMs: number): Verdict {
	if (reason === 'paused') {
		return refuse(503, 'targets-paused', 'All targets for the request have asked for a pause.', retryAfterMs);
	}

	return reason === 'full'
		? refuse(503, 'overloaded', 'All targets for the request are busy.', retryAfterMs)
		: refuse(503, 'no-target', 'No target serves what the request needs.', retryAfterMs);
}
