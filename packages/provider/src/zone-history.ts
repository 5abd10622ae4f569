import {MISSING_MARGIN_MS} from './constants.js';
import {ZoneUse} from './zone-use.js';

/** Ordered engines that are not registered. */
export type Shortfall = {
	/** Engines that were live and have been gone for longer than their start takes, such as withdrawn ones. */
	readonly missing: number;
	readonly mayStillStart: boolean;
};

/** What a leader has seen of the engines of a service in a zone, and of the orders for it. */
export class ZoneHistory {
	readonly use = new ZoneUse();
	refusedUntilMs = Number.NEGATIVE_INFINITY;
	/** Time of the last call for this zone. */
	calledMs = 0;
	/** Most engines live since the last order. */
	mostLive = 0;
	private live = 0;
	private liveSinceMs = 0;
	/** Engines that were missing at the last order, and still are. */
	private missingBefore = 0;
	/** Time from which fewer engines were live than ordered. */
	private shortSinceMs: number | undefined;

	constructor(private changedMs: number) {}

	/** Takes the live engines of this moment, and the slots that the demand takes. */
	add(nowMs: number, live: number, slots: number): void {
		if (live !== this.live) {
			this.live = live;
			this.liveSinceMs = nowMs;
		}

		this.mostLive = Math.max(this.mostLive, live);
		this.use.add(nowMs, slots);
	}

	/** Time for which the number of live engines was taken without a gap and has not changed. */
	getUnchangedMs(nowMs: number): number {
		return Math.min(nowMs - this.liveSinceMs, this.use.getMeasuredMs());
	}

	/** Time since the last order was decided or may have reached the provider. */
	getSinceChangeMs(nowMs: number): number {
		return nowMs - this.changedMs;
	}

	/** Takes an order that has just been decided, and how many of its engines replace missing ones. */
	recordOrder(nowMs: number, missing: number): void {
		this.changedMs = nowMs;
		this.mostLive = this.live;
		this.missingBefore = missing;
	}

	/** Takes a call that may have reached the provider. */
	recordSent(nowMs: number): void {
		this.changedMs = nowMs;
	}

	/** Returns which of the ordered engines are not there. Those that never appeared do not count as missing: the provider has no more. */
	getShortfall(nowMs: number, ordered: number, bootMs: number): Shortfall {
		const short = Math.max(0, ordered - this.live);
		this.missingBefore = Math.min(this.missingBefore, short);
		this.shortSinceMs = short > 0 ? Math.max(this.shortSinceMs ?? nowMs, this.changedMs) : undefined;
		const mayStillStart = this.shortSinceMs !== undefined && nowMs - this.shortSinceMs <= bootMs + MISSING_MARGIN_MS;
		const disappeared = mayStillStart ? 0 : this.mostLive - this.live;
		return {missing: Math.min(short, this.missingBefore + disappeared), mayStillStart};
	}
}
