import type {Clock} from '@egretrill/common';
import type {SlotRequirements} from './slot-source.js';
import type {WaitReason} from './wait-forecast.js';
import type {RequestKind} from './fleet-shortage.js';

/** A caller that was refused with a retry time. */
export type RefusedCaller = {readonly requirements: SlotRequirements; readonly queueKey: string; readonly kind: RequestKind; readonly reason: WaitReason; readonly untilMs: number};

/** Refused callers that are expected to return, which count as waiting until then. */
export class ReturningCallers {
	private callers: RefusedCaller[] = [];
	private readonly counts = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	add(caller: RefusedCaller): void {
		this.callers.push(caller);
		this.counts.set(caller.queueKey, this.count(caller.queueKey) + 1);
	}

	/** Number of callers of a model that were expected back when they were last listed, or have been refused since. */
	count(queueKey: string): number {
		return this.counts.get(queueKey) ?? 0;
	}

	/** Lists the callers that are still expected back, and forgets the others. */
	list(): readonly RefusedCaller[] {
		const nowMs = this.clock.now();
		this.callers = this.callers.filter(({untilMs}) => untilMs > nowMs);
		this.counts.clear();
		for (const {queueKey} of this.callers) {
			this.counts.set(queueKey, this.count(queueKey) + 1);
		}

		return this.callers;
	}
}
