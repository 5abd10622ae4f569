import type {FleetBacklog} from './fleet-shortage.js';

const MS_PER_SECOND = 1000;

/** Requests of this host that wait: of the same kind, with the one that is decided on, and more urgent ones. */
export type OwnBacklog = {readonly equal: number; readonly urgent: number};

/**
 * Probability with which each request of a kind that waits or arrives takes a slot until the next figures, so that all hosts together send as many requests as slots become free.
 * Answers shortages in which many hosts see the same free slot, or the same full engines, with figures of some 100 ms ago.
 */
export function getSlotProbability({urgent, equal, urgentPerSecond, equalPerSecond, slotsPerSecond, windowMs}: FleetBacklog, own: OwnBacklog): number {
	const windowS = windowMs / MS_PER_SECOND;
	const slots = (slotsPerSecond * windowS) - urgent - own.urgent - (urgentPerSecond * windowS);
	const demand = equal + own.equal + (equalPerSecond * windowS);
	return Math.max(0, Math.min(1, slots / demand));
}
