import {z} from 'zod';

/** Kinds of findings, from the one that prevents a document from being applied to the one that only informs. */
export const FindingKind = z.enum(['error', 'warning', 'difference']);
export type FindingKind = z.infer<typeof FindingKind>;

/** One finding about a document; scripts may rely on `kind`, `code` and `path`, but not on the message. */
export const Finding = z.object({
	kind: FindingKind, code: z.string(), path: z.string(), message: z.string(), line: z.int().optional(),
});
export type Finding = z.infer<typeof Finding>;
