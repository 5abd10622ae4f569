import {Registration} from '@egretrill/common';
import {z} from 'zod';

/** A registered target as control hosts exchange it. */
export const RegisteredTarget = z.object({
	registration: Registration,
	/** Time since the registration was received by a control host. */
	ageMs: z.number(),
	hasEnded: z.boolean(),
});
export type RegisteredTarget = z.infer<typeof RegisteredTarget>;

/** Changes of a registry since a given revision. */
export const RegistryUpdate = z.object({
	/** Identifies the registry that the revision belongs to. */
	origin: z.string(),
	revision: z.int().nonnegative(),
	/** Whether the update contains every target; all others are then removed. */
	isWhole: z.boolean(),
	targets: z.array(RegisteredTarget),
});
export type RegistryUpdate = z.infer<typeof RegistryUpdate>;
