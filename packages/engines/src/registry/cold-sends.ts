import {COLD_TURN_MS, COLD_TURN_RATIO} from './constants.js';

const MS_PER_SECOND = 1000;

/** Time from one turn to the next. The turns of all hosts that touch any one second add up to the fleet's part for turns. */
function getTurnIntervalMs(rate: number): number {
	return (MS_PER_SECOND + COLD_TURN_MS) / (rate * COLD_TURN_RATIO);
}

/** What a send to a cold target was based on: this host's part of a second, a turn, a grant of the leader, or nothing, since the host did not know that the target was cold. */
export type ColdBasis = 'part' | 'turn' | 'grant' | 'unknown';

/**
 * Sends of this host to a cold target, of which it may take `rate` requests a second. Below one request a second it sends in
 * short turns, or as the leader grants. Neither can be saved: rights that many hosts keep would all be used in the same second.
 */
export class ColdSends {
	/** Send times of the last second. They are recorded whether or not the target is known as cold, since a host learns of a restart after its first sends to the new process. */
	private readonly times: number[] = [];
	private lastTurnMs = Number.NEGATIVE_INFINITY;
	/** Ends of the sends that the leader has granted. */
	private grantEndsMs: readonly number[] = [];

	/** The phase, from 0 to 1, is random, so that the turns of all hosts are spread over the interval. */
	constructor(private readonly startedMs: number, private readonly phase: number) {}

	hasCapacity(nowMs: number, rate: number): boolean {
		if (rate <= 0) {
			return true;
		}

		if (rate >= 1) {
			return this.countRecent(nowMs) < Math.floor(rate);
		}

		return this.isTurn(nowMs, rate) || this.grantEndsMs.some(endMs => nowMs < endMs);
	}

	/** Number of sends in the last second. */
	countRecent(nowMs: number): number {
		this.forgetOld(nowMs);
		return this.times.length;
	}

	/** Records a send; returns what it was based on if the target is cold and limited. */
	record(nowMs: number, rate: number, isCold: boolean): ColdBasis | undefined {
		const isTurn = this.isTurn(nowMs, rate);
		this.forgetOld(nowMs);
		this.times.push(nowMs);
		if (!isCold || rate <= 0) {
			return undefined;
		}

		if (rate >= 1) {
			return 'part';
		}

		if (isTurn) {
			this.lastTurnMs = nowMs;
			return 'turn';
		}

		this.grantEndsMs = this.grantEndsMs.filter(endMs => nowMs < endMs).slice(1);
		return 'grant';
	}

	/** Adds one send that the leader has granted. */
	grant(nowMs: number, endMs: number): void {
		this.grantEndsMs = [...this.grantEndsMs.filter(otherMs => nowMs < otherMs), endMs];
	}

	/** Forgets the sends before the last second; each is looked at only a few times, however many there are. */
	private forgetOld(nowMs: number): void {
		while (this.times.length > 0 && nowMs - this.times[0]! >= MS_PER_SECOND) {
			this.times.shift();
		}
	}

	/** Whether a turn is under way and not used yet. The rate may have changed since the last turn, with the number of hosts. */
	private isTurn(nowMs: number, rate: number): boolean {
		const intervalMs = getTurnIntervalMs(rate);
		const elapsedMs = nowMs - this.startedMs - (this.phase * intervalMs);
		const sinceTurnMs = elapsedMs - (Math.floor(elapsedMs / intervalMs) * intervalMs);
		return sinceTurnMs < COLD_TURN_MS && nowMs - this.lastTurnMs >= intervalMs / 2 && this.countRecent(nowMs) === 0;
	}
}
