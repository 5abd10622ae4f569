import type {Clock} from '@egretrill/common';
import {END_COLLECT_MS, END_MEMORY_MS} from '../constants.js';
import type {TargetSlot} from '../waiting/slot-source.js';

/** A request whose exchange broke when its target ended. */
export type LostRequest = {
	readonly requestId: string;
	readonly partIds: readonly string[];
	/** Whether a part of the answer had arrived. */
	readonly hasBegun: boolean;
};

/** The end of a target's process, with the requests of this host that were in flight there. */
export type TargetEnd = {
	readonly targetId: string;
	readonly startedAtMs: number;
	readonly wasCold: boolean;
	/** Whether the target had announced that it leaves. */
	readonly isPlanned: boolean;
	readonly lost: readonly LostRequest[];
};

/** Tells the end of a target from the loss of a connection. */
export abstract class TargetProbe {
	/** Whether nothing listens on the address of a target; a connection that times out does not show that. */
	abstract isRefused(address: string): Promise<boolean>;
}

export type TargetEndsOptions = {
	readonly clock: Clock;
	readonly probe: TargetProbe;
	readonly onEnd: (end: TargetEnd) => void;
};

type Check = {readonly hasEnded: Promise<boolean>; readonly lost: LostRequest[]};

/** Identifies one lifetime of a target. */
export function getStartId({targetId, startedAtMs}: Pick<TargetSlot, 'targetId' | 'startedAtMs'>): string {
	return `${targetId}@${startedAtMs}`;
}

/** Detects the ends of targets by their broken exchanges; each lifetime is probed once. */
export class TargetEnds {
	private readonly checks = new Map<string, Check>();

	constructor(private readonly opts: TargetEndsOptions) {}

	/** Records a broken exchange; resolves with whether the target has ended. */
	async recordBreak(slot: TargetSlot, lost: LostRequest): Promise<boolean> {
		const startId = getStartId(slot);
		const known = this.checks.get(startId);
		if (known) {
			known.lost.push(lost);
			return known.hasEnded;
		}

		const check: Check = {hasEnded: this.probe(slot.address), lost: [lost]};
		this.checks.set(startId, check);
		void this.follow(startId, slot, check);
		return check.hasEnded;
	}

	private async probe(address: string): Promise<boolean> {
		try {
			return await this.opts.probe.isRefused(address);
		} catch {
			// An address that cannot be probed shows no end.
			return false;
		}
	}

	/** Reports the end once the broken exchanges are known; forgets a target that is still running, so that its next break is probed again. */
	private async follow(startId: string, slot: TargetSlot, {hasEnded, lost}: Check): Promise<void> {
		const {clock, onEnd} = this.opts;
		if (await hasEnded) {
			await clock.sleep(END_COLLECT_MS);
			const {targetId, startedAtMs, wasCold} = slot;
			onEnd({
				targetId, startedAtMs, wasCold, isPlanned: slot.isLeaving(), lost: [...lost],
			});
			await clock.sleep(END_MEMORY_MS);
		}

		this.checks.delete(startId);
	}
}
