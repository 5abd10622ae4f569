import {FLOOR_RATIO} from '../constants.js';
import type {FleetBacklog} from './fleet-shortage.js';

const MS_PER_SECOND = 1000;

/** Requests of this host that wait: of the same kind, with the one that is decided on, and more urgent ones. */
export type OwnBacklog = {
	readonly equal: number;
	readonly urgent: number;
	/** Whether the kind was served less than its floor here. */
	readonly isBelowFloor?: boolean;
};

/**
 * Probability with which each request of a kind that waits or arrives takes a slot until the next figures, so that all hosts together send as many requests as slots become free.
 * A kind below its floor takes part in the slots of more urgent ones. Answers shortages in which many hosts see the same free slot, or the same full engines, with figures of some 100 ms ago.
 */
export function getSlotProbability(fleet: FleetBacklog, own: OwnBacklog): number {
	const windowS = fleet.windowMs / MS_PER_SECOND;
	const slots = fleet.slotsPerSecond * windowS;
	const urgent = fleet.urgent + own.urgent + (fleet.urgentPerSecond * windowS);
	const demand = fleet.equal + own.equal + (fleet.equalPerSecond * windowS);
	const floor = own.isBelowFloor ? FLOOR_RATIO * slots / demand : 0;
	return Math.min(1, Math.max(floor, (slots - urgent) / demand));
}
