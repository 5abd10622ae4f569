import {Registration} from '@egretrill/common';
import {z} from 'zod';

/** A registered target as control hosts know it. */
export const RegisteredTarget = z.object({
	registration: Registration,
	/** Time since the registration was received by a control host. */
	ageMs: z.number(),
	hasEnded: z.boolean(),
});
export type RegisteredTarget = z.infer<typeof RegisteredTarget>;

/** What changed in a registry after a revision of it. */
export const RegistryUpdate = z.object({
	/** Names the registry that counts the revisions. */
	origin: z.string(),
	revision: z.int().nonnegative(),
	/** Whether the update holds every target, so that others are forgotten. */
	isWhole: z.boolean(),
	targets: z.array(RegisteredTarget),
});
export type RegistryUpdate = z.infer<typeof RegistryUpdate>;
