import {QUEUED_PER_SLOT} from './constants.js';

export type SlotLimitInput = {
	/** Slots that the target has registered. */
	readonly ownSlots: number;
	/** Requests that an engine runs concurrently; undefined for a plain target, which queues some requests itself. */
	readonly batchSlots: number | undefined;
	/** Requests that may be sent beyond the slots of an engine; below zero, the number of slots that are left free. */
	readonly beyondSlots: number;
};

/** Returns the number of requests that a target takes without a shortage: the slots of an engine, or those of a plain target and its queue. */
export function getUsualSlots({ownSlots, batchSlots}: Omit<SlotLimitInput, 'beyondSlots'>): number {
	return batchSlots ?? Math.ceil(ownSlots * (1 + QUEUED_PER_SLOT));
}

/** Returns the number of outstanding requests up to which a target is sent one; at least half of its slots stay in use for any request. */
export function getSlotLimit({ownSlots, batchSlots, beyondSlots}: SlotLimitInput): number {
	const slots = getUsualSlots({ownSlots, batchSlots});
	const beyond = batchSlots === undefined ? Math.min(0, beyondSlots) : beyondSlots;
	return Math.max(Math.ceil(slots / 2), slots + beyond);
}
