import {type Clock, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {MIN_RETRY_AFTER_MS, RETRY_SLOT_RATIO, RETRY_GRACE_MS} from './constants.js';
import type {PromptPart} from './types.js';
import {
	decideWait, SlotRate, RetrySchedule, type WaitDecision, type WaitLimits, type WaitReason,
} from './wait-forecast.js';

/** What a request needs of its target. */
export type SlotRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: readonly PromptPart[];
	/** Targets that have already had this request. */
	readonly tried: ReadonlySet<string>;
};

/** What a request tells of its target: whether it answered, failed or refused the request, broke off, or could not be reached at all. */
export type SlotOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable';

/** The target that a request goes to; `end` gives the place back. */
export type TargetSlot = {
	readonly targetId: string;
	readonly address: string;
	readonly zone: string;
	/** Requests of all hosts that the target had, as far as known, when it was chosen. */
	readonly outstanding: number;
	/** Takes in how many requests the target itself says it has. */
	readonly updateOutstanding: (count: number) => void;
	readonly release: (end: SlotOutcome) => void;
};

/** Whether a request can be placed now, and otherwise why not. */
export type SlotResult =
	| {readonly kind: 'place'; readonly slot: TargetSlot}
	| {readonly kind: WaitReason};

/** Knows the targets. */
export abstract class SlotSource {
	abstract findSlot(requirements: SlotRequirements): SlotResult;
	/** Asks for a model or adapter that no target can serve yet. */
	abstract requestLoad(requirements: SlotRequirements): void;
	/** Time until a model that is on its way can serve; undefined when none is. */
	abstract getTimeUntilReadyMs(requirements: SlotRequirements): number | undefined;
}

/** Requests that wait for a copy of a model, and those that found all copies full. */
export type ModelBacklog = {readonly service: string; readonly model: string | undefined; readonly waiting: number; readonly crowded: number};

type Waiter = {
	readonly requirements: SlotRequirements;
	/** Names what the request needs, and its model. */
	readonly requirementsKey: string;
	readonly modelKey: string;
	readonly priority: number;
	readonly limits: WaitLimits;
	readonly startedMs: number;
	readonly resolve: (result: Result<TargetSlot, Verdict>) => void;
	lastReason: WaitReason;
};

/** A caller that was refused and told when to return. */
type RefusedCaller = {readonly requirements: SlotRequirements; readonly reason: WaitReason; readonly untilMs: number};

function getModelKey({service, model}: Pick<SlotRequirements, 'service' | 'model'>): string {
	return JSON.stringify([service, model]);
}

function getRequirementsKey({service, model, adapter}: SlotRequirements): string {
	return JSON.stringify([service, model, adapter]);
}

/** Requests that wait for a place, the most urgent first and then in order of arrival. Answers bursts and models that are on their way. */
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

	/** Requests that wait for a place at an engine with their model, and callers that were told to return for one; those that only miss an adapter need no further copy. */
	getWaitingByModel(): readonly ModelBacklog[] {
		const counts = new Map<string, ModelBacklog>();
		const add = ({service, model}: SlotRequirements, kind: WaitReason): void => {
			if (kind === 'adapter-missing') {
				return;
			}

			const key = getModelKey({service, model});
			const known = counts.get(key) ?? {
				service, model, waiting: 0, crowded: 0,
			};
			const isCrowded = kind === 'full';
			counts.set(key, {...known, waiting: known.waiting + Number(!isCrowded), crowded: known.crowded + Number(isCrowded)});
		};

		for (const {requirements, lastReason} of this.waiters) {
			add(requirements, lastReason);
		}

		this.refusedCallers = this.refusedCallers.filter(({untilMs}) => untilMs > this.clock.now());
		for (const {requirements, reason: kind} of this.refusedCallers) {
			add(requirements, kind);
		}

		return [...counts.values()];
	}

	/** Resolves with a place, or with a refusal as soon as none is expected within the limits. */
	async acquire(requirements: SlotRequirements, priority: number, limits: WaitLimits, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
		const requirementsKey = getRequirementsKey(requirements);
		const initialResult = this.hasEarlierWaiter(requirementsKey, priority) ? undefined : this.findSlot(requirements);
		if (initialResult?.kind === 'place') {
			return Result.ok(initialResult.slot);
		}

		if (initialResult && initialResult.kind !== 'full') {
			this.source.requestLoad(requirements);
		}

		if (this.isClosed) {
			return Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS));
		}

		return this.wait({
			requirements, requirementsKey, modelKey: getModelKey(requirements), priority, limits, lastReason: initialResult?.kind ?? 'full',
		}, signal);
	}

	/** Refuses all that wait and whatever finds no place from now on; callers are served sooner by another host. */
	close(): void {
		this.isClosed = true;
		for (const waiter of this.waiters) {
			waiter.resolve(Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS)));
		}
	}

	/** Gives free places to those who wait and refuses those for whom none is in sight; call it whenever a target may have become free or known. */
	dispatch(): void {
		const unserved = new Map<string, WaitReason>();
		const ahead = new Map<string, number>();
		for (const waiter of this.waiters) {
			const {requirementsKey, modelKey} = waiter;
			const known = unserved.get(requirementsKey);
			const answer = known === undefined ? this.findSlot(waiter.requirements) : {kind: known} as const;
			if (answer.kind === 'place') {
				waiter.resolve(Result.ok(answer.slot));
				continue;
			}

			if (known === undefined && answer.kind !== 'full') {
				this.source.requestLoad(waiter.requirements);
			}

			unserved.set(requirementsKey, answer.kind);
			waiter.lastReason = answer.kind;
			const before = ahead.get(modelKey) ?? 0;
			if (this.refuseIfTooLate(waiter, before).kind === 'wait') {
				ahead.set(modelKey, before + 1);
			}
		}
	}

	private findSlot(requirements: SlotRequirements): SlotResult {
		const answer = this.source.findSlot(requirements);
		if (answer.kind === 'place') {
			this.slotRate.recordSlot(getModelKey(requirements));
		}

		return answer;
	}

	/** Whether a request that came earlier or is more urgent waits for the same. */
	private hasEarlierWaiter(key: string, priority: number): boolean {
		return this.waiters.some(({requirementsKey: otherKey, priority: other}) => other <= priority && otherKey === key);
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

	/** Refuses a waiting request when its place would come too late. */
	private refuseIfTooLate(waiter: Waiter, ahead: number): WaitDecision {
		const {requirements, modelKey, limits, lastReason, startedMs, resolve} = waiter;
		const forecastMs = lastReason === 'full' ? this.slotRate.getWaitMs(modelKey, ahead) : this.source.getTimeUntilReadyMs(requirements);
		const decision = decideWait({reason: lastReason, waitedMs: this.clock.now() - startedMs, forecastMs}, limits);
		if (decision.kind === 'refuse') {
			const gapMs = this.slotRate.getWaitMs(modelKey, 0);
			const retryAfterMs = this.retrySchedule.getRetryAfterMs(modelKey, decision.retryAfterMs, gapMs === undefined ? undefined : gapMs / RETRY_SLOT_RATIO);
			this.refusedCallers = [...this.refusedCallers, {requirements, reason: lastReason, untilMs: this.clock.now() + retryAfterMs + RETRY_GRACE_MS}];
			resolve(Result.err(refuseNoSlot(lastReason, retryAfterMs)));
		}

		return decision;
	}

	private async wait(request: Omit<Waiter, 'startedMs' | 'resolve'>, signal: AbortSignal): Promise<Result<TargetSlot, Verdict>> {
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

			const waiter: Waiter = {...request, startedMs: this.clock.now(), resolve: settle};
			const behind = this.waiters.findIndex(other => other.priority > waiter.priority);
			this.waiters = behind === -1 ? [...this.waiters, waiter] : this.waiters.toSpliced(behind, 0, waiter);
			signal.addEventListener('abort', onAbort, {once: true});
			void this.watchWaitLimit(waiter, resolved.signal);
		});
	}

	/** Reviews a waiting request when its limit is reached, although nothing has changed. */
	private async watchWaitLimit(waiter: Waiter, settled: AbortSignal): Promise<void> {
		while (!settled.aborted) {
			const decision = this.refuseIfTooLate(waiter, this.countAhead(waiter));
			if (decision.kind === 'wait') {
				await this.clock.sleep(decision.untilMs, settled);
			}
		}
	}
}

function refuseNoSlot(kind: WaitReason, retryAfterMs: number): Verdict {
	return kind === 'full'
		? refuse(503, 'overloaded', 'All targets for the request are busy.', retryAfterMs)
		: refuse(503, 'no-target', 'No target serves what the request needs.', retryAfterMs);
}
