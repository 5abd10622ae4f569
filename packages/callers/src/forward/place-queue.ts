import {type Clock, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {MIN_RETRY_AFTER_MS, RETURN_SHARE, RETURN_SLACK_MS} from './constants.js';
import type {PromptPart} from './types.js';
import {
	decideWait, PlaceRate, ReturnTimes, type WaitDecision, type WaitLimits, type WaitReason,
} from './wait-forecast.js';

/** What a request needs of its target. */
export type PlaceNeed = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: readonly PromptPart[];
	/** Targets that have already had this request. */
	readonly tried: ReadonlySet<string>;
};

/** What a request tells of its target: whether it answered, failed or refused the request, broke off, or could not be reached at all. */
export type PlaceEnd = 'answered' | 'failed' | 'broke-off' | 'unreachable';

/** The target that a request goes to; `end` gives the place back. */
export type Place = {
	readonly targetId: string;
	readonly address: string;
	readonly zone: string;
	/** Requests of all hosts that the target had, as far as known, when it was chosen. */
	readonly outstanding: number;
	/** Takes in how many requests the target itself says it has. */
	readonly updateOutstanding: (count: number) => void;
	readonly release: (end: PlaceEnd) => void;
};

/** Whether a request can be placed now, and otherwise why not. */
export type PlaceAnswer =
	| {readonly kind: 'place'; readonly place: Place}
	| {readonly kind: WaitReason};

/** Knows the targets. */
export abstract class PlaceSource {
	abstract findPlace(need: PlaceNeed): PlaceAnswer;
	/** Asks for a model or adapter that no target can serve yet. */
	abstract want(need: PlaceNeed): void;
	/** Time until a model that is on its way can serve; undefined when none is. */
	abstract getReadyMs(need: PlaceNeed): number | undefined;
}

/** Requests that wait for a copy of a model, and those that found all copies full. */
export type WaitingByModel = {readonly service: string; readonly model: string | undefined; readonly waiting: number; readonly crowded: number};

type Waiter = {
	readonly need: PlaceNeed;
	/** Names what the request needs, and its model. */
	readonly needKey: string;
	readonly modelKey: string;
	readonly priority: number;
	readonly limits: WaitLimits;
	readonly startedMs: number;
	readonly settle: (result: Result<Place, Verdict>) => void;
	lastKind: WaitReason;
};

/** A caller that was refused and told when to return. */
type Returning = {readonly need: PlaceNeed; readonly kind: WaitReason; readonly untilMs: number};

function getModelKey({service, model}: Pick<PlaceNeed, 'service' | 'model'>): string {
	return JSON.stringify([service, model]);
}

function getNeedKey({service, model, adapter}: PlaceNeed): string {
	return JSON.stringify([service, model, adapter]);
}

/** Requests that wait for a place, the most urgent first and then in order of arrival. Answers bursts and models that are on their way. */
export class PlaceQueue {
	private waiters: readonly Waiter[] = [];
	private returning: readonly Returning[] = [];
	private readonly rate: PlaceRate;
	private readonly returnTimes: ReturnTimes;
	private isClosed = false;

	constructor(private readonly clock: Clock, private readonly source: PlaceSource) {
		this.rate = new PlaceRate(clock);
		this.returnTimes = new ReturnTimes(clock);
	}

	getLength(): number {
		return this.waiters.length;
	}

	/** Requests that wait for a place at an engine with their model, and callers that were told to return for one; those that only miss an adapter need no further copy. */
	getWaitingByModel(): readonly WaitingByModel[] {
		const counts = new Map<string, WaitingByModel>();
		const add = ({service, model}: PlaceNeed, kind: WaitReason): void => {
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

		for (const {need, lastKind} of this.waiters) {
			add(need, lastKind);
		}

		this.returning = this.returning.filter(({untilMs}) => untilMs > this.clock.now());
		for (const {need, kind} of this.returning) {
			add(need, kind);
		}

		return [...counts.values()];
	}

	/** Resolves with a place, or with a refusal as soon as none is expected within the limits. */
	async getPlace(need: PlaceNeed, priority: number, limits: WaitLimits, signal: AbortSignal): Promise<Result<Place, Verdict>> {
		const needKey = getNeedKey(need);
		const first = this.hasRival(needKey, priority) ? undefined : this.findPlace(need);
		if (first?.kind === 'place') {
			return Result.ok(first.place);
		}

		if (first && first.kind !== 'full') {
			this.source.want(need);
		}

		if (this.isClosed) {
			return Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS));
		}

		return this.wait({
			need, needKey, modelKey: getModelKey(need), priority, limits, lastKind: first?.kind ?? 'full',
		}, signal);
	}

	/** Refuses all that wait and whatever finds no place from now on; callers are served sooner by another host. */
	close(): void {
		this.isClosed = true;
		for (const waiter of this.waiters) {
			waiter.settle(Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS)));
		}
	}

	/** Gives free places to those who wait and refuses those for whom none is in sight; call it whenever a target may have become free or known. */
	pump(): void {
		const unserved = new Map<string, WaitReason>();
		const ahead = new Map<string, number>();
		for (const waiter of this.waiters) {
			const {needKey, modelKey} = waiter;
			const known = unserved.get(needKey);
			const answer = known === undefined ? this.findPlace(waiter.need) : {kind: known} as const;
			if (answer.kind === 'place') {
				waiter.settle(Result.ok(answer.place));
				continue;
			}

			if (known === undefined && answer.kind !== 'full') {
				this.source.want(waiter.need);
			}

			unserved.set(needKey, answer.kind);
			waiter.lastKind = answer.kind;
			const before = ahead.get(modelKey) ?? 0;
			if (this.review(waiter, before).kind === 'wait') {
				ahead.set(modelKey, before + 1);
			}
		}
	}

	private findPlace(need: PlaceNeed): PlaceAnswer {
		const answer = this.source.findPlace(need);
		if (answer.kind === 'place') {
			this.rate.note(getModelKey(need));
		}

		return answer;
	}

	/** Whether a request that came earlier or is more urgent waits for the same. */
	private hasRival(key: string, priority: number): boolean {
		return this.waiters.some(({needKey, priority: other}) => other <= priority && needKey === key);
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
	private review(waiter: Waiter, ahead: number): WaitDecision {
		const {need, modelKey, limits, lastKind, startedMs, settle} = waiter;
		const forecastMs = lastKind === 'full' ? this.rate.getWaitMs(modelKey, ahead) : this.source.getReadyMs(need);
		const decision = decideWait({reason: lastKind, waitedMs: this.clock.now() - startedMs, forecastMs}, limits);
		if (decision.kind === 'refuse') {
			const gapMs = this.rate.getWaitMs(modelKey, 0);
			const retryAfterMs = this.returnTimes.getRetryMs(modelKey, decision.retryAfterMs, gapMs === undefined ? undefined : gapMs / RETURN_SHARE);
			this.returning = [...this.returning, {need, kind: lastKind, untilMs: this.clock.now() + retryAfterMs + RETURN_SLACK_MS}];
			settle(Result.err(refusePlace(lastKind, retryAfterMs)));
		}

		return decision;
	}

	private async wait(asked: Omit<Waiter, 'startedMs' | 'settle'>, signal: AbortSignal): Promise<Result<Place, Verdict>> {
		if (signal.aborted) {
			return Result.err(refuse(503, 'caller-left', 'The caller left before the request was placed.'));
		}

		return new Promise(resolve => {
			const expiry = new AbortController();
			const settle = (result: Result<Place, Verdict>): void => {
				this.waiters = this.waiters.filter(other => other !== waiter);
				signal.removeEventListener('abort', leave);
				expiry.abort();
				resolve(result);
			};

			const leave = (): void => {
				settle(Result.err(refuse(503, 'caller-left', 'The caller left before the request was placed.')));
			};

			const waiter: Waiter = {...asked, startedMs: this.clock.now(), settle};
			const behind = this.waiters.findIndex(other => other.priority > waiter.priority);
			this.waiters = behind === -1 ? [...this.waiters, waiter] : this.waiters.toSpliced(behind, 0, waiter);
			signal.addEventListener('abort', leave, {once: true});
			void this.watch(waiter, expiry.signal);
		});
	}

	/** Reviews a waiting request when its limit is reached, although nothing has changed. */
	private async watch(waiter: Waiter, settled: AbortSignal): Promise<void> {
		while (!settled.aborted) {
			const decision = this.review(waiter, this.countAhead(waiter));
			if (decision.kind === 'wait') {
				await this.clock.sleep(decision.untilMs, settled);
			}
		}
	}
}

function refusePlace(kind: WaitReason, retryAfterMs: number): Verdict {
	return kind === 'full'
		? refuse(503, 'overloaded', 'All targets for the request are busy.', retryAfterMs)
		: refuse(503, 'no-target', 'No target serves what the request needs.', retryAfterMs);
}
