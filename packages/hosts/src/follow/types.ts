import {z} from 'zod';
import {ConfigUpdate} from '../types.js';

/** A poll by which a host learns changes and proves that its knowledge is recent. */
export const FollowRequest = z.object({
	hostId: z.string(),
	fleet: z.string(),
	haveVersion: z.int().nonnegative(),
	waitMs: z.int().nonnegative(),
	/** Versions in force at the hosts below the caller in the tree, itself included. */
	inForce: z.record(z.string(), z.int().nonnegative()),
});
export type FollowRequest = z.infer<typeof FollowRequest>;

/** A request that is refused fleet-wide for the remaining time, because it crashed several targets. */
export const BlockedFingerprint = z.object({fingerprint: z.string(), remainingMs: z.number().positive()});
export type BlockedFingerprint = z.infer<typeof BlockedFingerprint>;

export const FollowResponse = z.object({
	version: z.int().nonnegative(),
	/** How long ago the leader confirmed that this version was the latest. */
	ageMs: z.number().nonnegative(),
	/** How long the parent held the poll before it made this answer; the caller's knowledge is younger by this time. */
	heldMs: z.number().nonnegative(),
	leaderId: z.string().optional(),
	/** The hosts that this knowledge came through, from the answering one up; the leader's own list names it alone. */
	via: z.array(z.string()).optional(),
	update: ConfigUpdate.optional(),
	blocked: z.array(BlockedFingerprint).optional(),
});
export type FollowResponse = z.infer<typeof FollowResponse>;
