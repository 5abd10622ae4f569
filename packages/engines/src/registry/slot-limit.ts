import {QUEUED_PER_SLOT} from './constants.js';

export type SlotLimitInput = {
	/** Slots that the target has registered. */
	readonly ownSlots: number;
	/** Requests that an engine runs concurrently; undefined for a plain target, which queues some requests itself. */
	readonly batchSlots: number | undefined;
	/** Requests that may be sent beyond these slots; below zero, the number of slots that are left free. */
	readonly beyondSlots: number;
};

/** Returns the number of outstanding requests up to which a target is sent one; at least half of its slots stay in use for any request. */
export function getSlotLimit({ownSlots, batchSlots, beyondSlots}: SlotLimitInput): number {
	const slots = batchSlots ?? Math.ceil(ownSlots * (1 + QUEUED_PER_SLOT));
	return Math.max(Math.ceil(slots / 2), slots + beyondSlots);
}
