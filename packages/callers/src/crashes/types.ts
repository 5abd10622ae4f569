import {z} from 'zod';
import {
	MAX_ENDS_PER_KEY, MAX_KEY_LENGTH, MAX_RECORDS_PER_MESSAGE, MAX_START_ID_LENGTH,
} from './constants.js';

const age = z.number().nonnegative();
const count = z.int().nonnegative();

/** A key of a request and how specific it is: the position of a part in its prompt. */
export type RankedKey = {readonly key: string; readonly rank: number};

/** What the evidence says of a key: little against it, some ends, enough ends for a block that is not due yet, or a block. */
export type KeyVerdict = 'sound' | 'suspected' | 'settling' | 'blocked';

/** Evidence about one key as hosts exchange it. Times are ages, since the clocks of hosts differ. */
export const CrashRecord = z.object({
	key: z.string().max(MAX_KEY_LENGTH),
	rank: count,
	/** Lifetimes of targets that ended, and the ages of their ends. */
	ends: z.array(z.tuple([z.string().max(MAX_START_ID_LENGTH), age])).max(MAX_ENDS_PER_KEY),
	/** Age of the last answer that proves the key harmless. */
	provenAgeMs: age.optional(),
	probeCount: count,
	probeAgeMs: age.optional(),
	/** Age of the last request with the key. */
	arrivalAgeMs: age,
});
export type CrashRecord = z.infer<typeof CrashRecord>;

/** Position in the changes of one tracker. */
export const CrashRevision = z.object({origin: z.string(), revision: count});
export type CrashRevision = z.infer<typeof CrashRevision>;

/** Changes of a tracker up to a revision. */
export const CrashUpdate = z.object({...CrashRevision.shape, records: z.array(CrashRecord).max(MAX_RECORDS_PER_MESSAGE)});
export type CrashUpdate = z.infer<typeof CrashUpdate>;

/** The changes of a host that the leader does not have, and the blocked keys of which it could send a probe. */
export const CrashReport = z.object({
	...CrashUpdate.shape,
	/** The leader's changes that the host has. */
	known: CrashRevision,
	probeCandidates: z.array(z.string()).max(MAX_RECORDS_PER_MESSAGE),
});
export type CrashReport = z.infer<typeof CrashReport>;

/** The leader's changes that a host does not have, and the keys of which it may send a probe. */
export const CrashAnswer = z.object({
	...CrashUpdate.shape,
	/** The changes of the host that the leader has. */
	acknowledged: CrashRevision,
	probes: z.array(z.string()),
});
export type CrashAnswer = z.infer<typeof CrashAnswer>;
