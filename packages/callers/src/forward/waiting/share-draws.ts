import type {Random} from '@egretrill/common';
import {RETURNING_SHARE_FACTOR} from '../constants.js';
import type {FleetShortage} from './fleet-shortage.js';
import type {LaneTable} from './lane-table.js';
import {getSlotProbability} from './slot-share.js';
import type {Waiter} from './waiter.js';

/** Draws which requests of a host may take a slot in a shortage, once for each request and window. Answers shortages in which many hosts see the same free slot. */
export class ShareDraws {
	constructor(
		private readonly fleet: FleetShortage,
		private readonly lanes: LaneTable,
		private readonly isBelowFloor: (waiter: Waiter) => boolean,
		private readonly random: Random,
	) {}

	/** Whether a request may take a slot now; undefined if its model isn't in a shortage. */
	hasShare(waiter: Waiter): boolean | undefined {
		const window = this.fleet.getWindow();
		if (waiter.window === window) {
			return waiter.hasShare;
		}

		const others = this.fleet.getOthers(waiter.queueKey, waiter.kind);
		const factor = waiter.limits.isReturning ? RETURNING_SHARE_FACTOR : 1;
		waiter.window = window;
		waiter.hasShare = others && this.random() < factor * getSlotProbability(others, {...this.lanes.countOwn(waiter), isBelowFloor: this.isBelowFloor(waiter)});
		return waiter.hasShare;
	}

	/** The next request of a lane that has a share, behind one that has none. */
	findNext(waiter: Waiter): Waiter | undefined {
		let next = this.hasShare(waiter) === false ? waiter.lane?.getNext(waiter) : undefined;
		while (next && !this.hasShare(next)) {
			next = next.lane?.getNext(next);
		}

		return next;
	}
}
