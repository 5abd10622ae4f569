import {type Clock, refuse, type Verdict} from '@egretrill/common';
import {Result} from 'true-myth';
import {NO_TARGET_RETRY_MS, MIN_RETRY_AFTER_MS} from './constants.js';
import type {PromptPart} from './types.js';

/** What a request needs of its target. */
export type PlaceNeed = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: readonly PromptPart[];
	/** Targets that have already had this request. */
	readonly tried: ReadonlySet<string>;
};

/** What a request tells of its target: whether it answered in any way, broke off, or could not be reached at all. */
export type PlaceEnd = 'answered' | 'broke-off' | 'unreachable';

/** The target that a request goes to; `end` gives the place back. */
export type Place = {readonly targetId: string; readonly address: string; readonly zone: string; readonly end: (end: PlaceEnd) => void};

/** Whether a request can be placed now, and otherwise why not. */
export type PlaceAnswer =
	| {readonly kind: 'place'; readonly place: Place}
	| {readonly kind: 'full' | 'adapter-missing' | 'none'};

/** Knows the targets. */
export abstract class PlaceSource {
	abstract findPlace(need: PlaceNeed): PlaceAnswer;
	/** Asks for a model or adapter that no target can serve yet. */
	abstract want(need: PlaceNeed): void;
}

/** Requests that wait for a copy of a model, and those that found all copies full. */
export type WaitingByModel = {readonly service: string; readonly model: string | undefined; readonly waiting: number; readonly crowded: number};

type Waiter = {
	readonly need: PlaceNeed;
	readonly priority: number;
	readonly order: number;
	readonly settle: (result: Result<Place, Verdict>) => void;
	lastKind: PlaceAnswer['kind'];
};

/** Requests that wait for a place, the most urgent first and then in order of arrival. Answers bursts and models that are on their way. */
export class PlaceQueue {
	private waiters: Waiter[] = [];
	private arrivals = 0;
	private isClosed = false;

	constructor(private readonly clock: Clock, private readonly source: PlaceSource) {}

	getLength(): number {
		return this.waiters.length;
	}

	/** Requests that wait for a place at an engine with their model; those that only miss an adapter need no further copy. */
	getWaitingByModel(): readonly WaitingByModel[] {
		const counts = new Map<string, WaitingByModel>();
		for (const {need: {service, model}, lastKind} of this.waiters) {
			if (lastKind === 'adapter-missing') {
				continue;
			}

			const key = JSON.stringify([service, model]);
			const known = counts.get(key) ?? {
				service, model, waiting: 0, crowded: 0,
			};
			const isCrowded = lastKind === 'full';
			counts.set(key, {...known, waiting: known.waiting + Number(!isCrowded), crowded: known.crowded + Number(isCrowded)});
		}

		return [...counts.values()];
	}

	/** Resolves with a place, or with a refusal when none was found within the time. */
	async getPlace(need: PlaceNeed, priority: number, maxWaitMs: number, signal: AbortSignal): Promise<Result<Place, Verdict>> {
		const first = this.hasRival(need, priority) ? undefined : this.source.findPlace(need);
		if (first?.kind === 'place') {
			return Result.ok(first.place);
		}

		if (first && first.kind !== 'full') {
			this.source.want(need);
		}

		return this.wait(need, priority, maxWaitMs, first?.kind ?? 'full', signal);
	}

	/** Refuses all that wait and whatever finds no place from now on; callers are served sooner by another host. */
	close(): void {
		this.isClosed = true;
		for (const waiter of this.waiters) {
			waiter.settle(Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS)));
		}
	}

	/** Gives free places to those who wait; call it whenever a target may have become free or known. */
	pump(): void {
		const full = new Set<string>();
		for (const waiter of this.waiters) {
			const {service, model, adapter} = waiter.need;
			const key = JSON.stringify([service, model, adapter]);
			if (full.has(key)) {
				continue;
			}

			const answer = this.source.findPlace(waiter.need);
			if (answer.kind === 'place') {
				waiter.settle(Result.ok(answer.place));
				continue;
			}

			full.add(key);
			waiter.lastKind = answer.kind;
			if (answer.kind !== 'full') {
				this.source.want(waiter.need);
			}
		}
	}

	/** Whether a request that came earlier or is more urgent waits for the same. */
	private hasRival({service, model, adapter}: PlaceNeed, priority: number): boolean {
		return this.waiters.some(({need, priority: other}) => other <= priority && need.service === service && need.model === model && need.adapter === adapter);
	}

	private async wait(need: PlaceNeed, priority: number, maxWaitMs: number, lastKind: PlaceAnswer['kind'], signal: AbortSignal): Promise<Result<Place, Verdict>> {
		if (this.isClosed) {
			return Result.err(refuse(503, 'draining', 'This host is shutting down.', MIN_RETRY_AFTER_MS));
		}

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

			const expire = async (): Promise<void> => {
				await this.clock.sleep(maxWaitMs, expiry.signal);
				if (!expiry.signal.aborted) {
					settle(Result.err(refusePlace(waiter.lastKind)));
				}
			};

			this.arrivals += 1;
			const waiter: Waiter = {
				need, priority, order: this.arrivals, settle, lastKind,
			};
			const behind = this.waiters.findIndex(other => other.priority > priority);
			this.waiters = behind === -1 ? [...this.waiters, waiter] : this.waiters.toSpliced(behind, 0, waiter);
			signal.addEventListener('abort', leave, {once: true});
			void expire();
		});
	}
}

function refusePlace(kind: PlaceAnswer['kind']): Verdict {
	return kind === 'none' || kind === 'adapter-missing'
		? refuse(503, 'no-target', 'No target serves what the request needs.', NO_TARGET_RETRY_MS)
		: refuse(503, 'overloaded', 'All targets for the request are busy.', MIN_RETRY_AFTER_MS);
}
