import {ConfigDocument} from '@egretrill/common';
import {z} from 'zod';

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

export const FollowResponse = z.object({
	version: z.int().nonnegative(),
	/** How long ago the leader confirmed that this version was the latest. */
	ageMs: z.number().nonnegative(),
	leaderId: z.string().optional(),
	document: ConfigDocument.optional(),
	digest: z.string().optional(),
});
export type FollowResponse = z.infer<typeof FollowResponse>;
