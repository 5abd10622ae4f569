import type {Verdict} from '@egretrill/common';
import type {Result} from 'true-myth';
import type {RequestKind} from './fleet-shortage.js';
import type {BacklogEntry} from './queue-report.js';
import {getQueueKey} from './shortage-figures.js';
import type {SlotRequirements, SlotResult, TargetSlot} from './slot-source.js';
import type {WaitLimits} from './wait-forecast.js';
import type {ServedCounts} from './served-ratios.js';
import type {WaitingLane, WaitingRank} from './waiting-lanes.js';

/** How long a request may wait for a slot. */
export type SlotWait = WaitLimits & {
	/** Refuses the request for a reason outside the queue; asked before a slot is taken for it. */
	readonly getRefusal?: () => Verdict | undefined;
	/** Time within which an answer counts as in time. */
	readonly targetLatencyMs?: number;
	/** Latest time at which the request may be sent to be answered in time, as far as is known. */
	readonly dueMs?: number;
	/** End of the request's time. */
	readonly endsMs?: number;
	/** Whether the caller returns after a refusal. */
	readonly isReturning?: boolean;
	readonly customer?: string;
};

/** Why no slot was found. */
export type NoSlot = Exclude<SlotResult, {kind: 'slot'}>;

/** A request that waits for a slot, or looks for one on its arrival. */
export type Waiter = Omit<BacklogEntry, 'reason'> & {
	rank: WaitingRank;
	readonly sequence: number;
	readonly service: string;
	/** Key of the requests with the same requirements. */
	readonly requirementsKey: string;
	readonly limits: SlotWait;
	readonly startedMs: number;
	/** Its lane while it waits. */
	lane?: Lane;
	/** Counts of its kind and customer. */
	readonly ratios: readonly ServedCounts[];
	/** Why no slot was found for it, or for another request with its requirements. */
	found: NoSlot;
	/** Wait that was expected at arrival. */
	firstForecastMs?: number;
	/** Window in which it drew last, and whether it may take a slot in it; undefined without a shortage. */
	window: number;
	hasShare: boolean | undefined;
	settle: (result: Result<TargetSlot, Verdict>) => void;
};

/** Waiting requests with the same requirements and of the same kind, with what the last search for them found. */
export type Lane = WaitingLane<Waiter, NoSlot>;

/** Keys of a request by its requirements, which are read once. */
export function describeRequirements({
	service, model, adapter, tried,
}: SlotRequirements): Pick<Waiter, 'service' | 'queueKey' | 'requirementsKey'> {
	const queueKey = getQueueKey(service, model);
	const key = `${queueKey}\n${adapter ?? ''}`;
	return {service, queueKey, requirementsKey: tried.size === 0 ? key : `${key}\n${[...tried].join('\n')}`};
}

/** Kinds by priority and target latency, so that each is one object. */
export class Kinds {
	private readonly byPriority = new Map<number, Map<number, RequestKind>>();

	get(priority: number, targetLatencyMs: number): RequestKind {
		let byLatency = this.byPriority.get(priority);
		if (!byLatency) {
			byLatency = new Map();
			this.byPriority.set(priority, byLatency);
		}

		let kind = byLatency.get(targetLatencyMs);
		if (!kind) {
			kind = {priority, targetLatencyMs};
			byLatency.set(targetLatencyMs, kind);
		}

		return kind;
	}
}
