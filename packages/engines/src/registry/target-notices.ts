import type {Clock, Registration} from '@egretrill/common';
import {MAX_NOTICES, NOTICE_TTL_MS} from './constants.js';

/** One lifetime of a target's process. */
export type TargetStart = Pick<Registration, 'targetId' | 'startedAtMs'>;

type Notice = {readonly startedAtMs: number; readonly isLeaving: boolean; readonly pausedUntilMs: number; readonly updatedMs: number};

/** What targets have said in their answers: that they leave, or that they take no requests for a time. It holds for one lifetime of a target, whatever is registered meanwhile. */
export class TargetNotices {
	private readonly notices = new Map<string, Notice>();

	constructor(private readonly clock: Clock) {}

	recordLeaving(start: TargetStart): void {
		this.set(start, {isLeaving: true, pausedUntilMs: this.find(start)?.pausedUntilMs ?? 0});
	}

	/** Records that a target takes no requests for a time; a shorter time does not end a longer one that it asked for before. */
	recordPause(start: TargetStart, pauseMs: number): void {
		const known = this.find(start);
		this.set(start, {isLeaving: known?.isLeaving ?? false, pausedUntilMs: Math.max(known?.pausedUntilMs ?? 0, this.clock.now() + pauseMs)});
	}

	isLeaving(start: TargetStart): boolean {
		return this.find(start)?.isLeaving ?? false;
	}

	/** Time until a target takes requests again; 0 if it does now. */
	getPauseLeftMs(start: TargetStart): number {
		return Math.max(0, (this.find(start)?.pausedUntilMs ?? 0) - this.clock.now());
	}

	/** The lifetimes of targets that leave by their own answers. */
	getLeaving(): readonly TargetStart[] {
		return [...this.notices].filter(([, {isLeaving}]) => isLeaving).map(([targetId, {startedAtMs}]) => ({targetId, startedAtMs}));
	}

	private find(start: TargetStart): Notice | undefined {
		if (this.notices.size === 0) {
			return undefined;
		}

		const notice = this.notices.get(start.targetId);
		return notice?.startedAtMs === start.startedAtMs ? notice : undefined;
	}

	private set({targetId, startedAtMs}: TargetStart, changes: Pick<Notice, 'isLeaving' | 'pausedUntilMs'>): void {
		// Notices are kept in the order of their last change.
		this.notices.delete(targetId);
		this.notices.set(targetId, {startedAtMs, ...changes, updatedMs: this.clock.now()});
		for (const [id, {updatedMs}] of this.notices) {
			if (this.notices.size <= MAX_NOTICES && this.clock.now() - updatedMs <= NOTICE_TTL_MS) {
				return;
			}

			this.notices.delete(id);
		}
	}
}
