import {partitionValid, Registration, TargetId} from '@egretrill/common';
import {z} from 'zod';
import {MAX_TARGETS} from './constants.js';

/** A registered target as control hosts exchange it. */
export const RegisteredTarget = z.object({
	registration: Registration,
	/** Time since the registration was received by a control host. */
	ageMs: z.number().nonnegative(),
	hasEnded: z.boolean(),
});
export type RegisteredTarget = z.infer<typeof RegisteredTarget>;

const IdentifiedTarget = z.object({registration: z.object({targetId: TargetId})});

/** Returns the id of an entry that is otherwise invalid, or an empty string. */
function readTargetId(entry: unknown): string {
	const parsed = IdentifiedTarget.safeParse(entry);
	return parsed.success ? parsed.data.registration.targetId : '';
}

/**
 * Changes of a registry since a given revision. Entries that are invalid here, which a host of another version may accept and pass on, are skipped; an error
 * would make the whole update unreadable for as long as one of them is registered.
 */
export const RegistryUpdate = z.object({
	/** Identifies the registry that the revision belongs to. */
	origin: z.string(),
	revision: z.int().nonnegative(),
	/** Whether the update contains every target; all others are then removed. */
	isWhole: z.boolean(),
	targets: z.array(z.unknown()).max(MAX_TARGETS),
}).transform(({targets, ...update}) => {
	const {valid, invalid} = partitionValid(RegisteredTarget, targets);
	return {
		...update,
		targets: valid,
		/** Ids of the skipped entries, empty if unreadable; set by the reader. */
		...(invalid.length > 0 && {skippedIds: invalid.map(entry => readTargetId(entry))}),
	};
});
export type RegistryUpdate = z.infer<typeof RegistryUpdate>;
