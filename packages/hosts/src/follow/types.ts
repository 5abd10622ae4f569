import {z} from 'zod';
import {MAX_PASSED_CRASHES} from '../constants.js';
import {ConfigUpdate} from '../types.js';

/** A poll with which a host receives configuration changes and the confirmation that its version is the latest. */
export const FollowRequest = z.object({
	hostId: z.string(),
	fleet: z.string(),
	haveVersion: z.int().nonnegative(),
	waitMs: z.int().nonnegative(),
	/** Versions in force at the hosts of the caller's subtree, including the caller. */
	inForce: z.record(z.string(), z.int().nonnegative()),
});
export type FollowRequest = z.infer<typeof FollowRequest>;

export const FollowResponse = z.object({
	version: z.int().nonnegative(),
	/** Time since the leader confirmed this version as the latest. */
	ageMs: z.number().nonnegative(),
	/** Time for which the parent held the poll; the caller adds it to its send time when it computes the age of the configuration. */
	heldMs: z.number().nonnegative(),
	leaderId: z.string().optional(),
	/** The hosts through which the configuration came, from the answering host up to the leader. */
	via: z.array(z.string()).optional(),
	update: ConfigUpdate.optional(),
	/** Evidence on what ends targets, which the hosts pass on; only its users know its form. */
	crashes: z.array(z.unknown()).max(MAX_PASSED_CRASHES).optional(),
});
export type FollowResponse = z.infer<typeof FollowResponse>;
