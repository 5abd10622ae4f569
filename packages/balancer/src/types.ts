import {z} from 'zod';

/** Number of units of work of one kind that had not ended when a drain ended. */
export const UnfinishedWork = z.object({kind: z.string(), count: z.int().positive()});
export type UnfinishedWork = z.infer<typeof UnfinishedWork>;

/** The result of a drain, with the work that had not ended. */
export const DrainReport = z.object({
	reason: z.string(),
	outcome: z.enum(['complete', 'deadline', 'second-signal']),
	left: z.array(UnfinishedWork),
	tookMs: z.number().nonnegative(),
	exitCode: z.union([z.literal(0), z.literal(1)]),
});
export type DrainReport = z.infer<typeof DrainReport>;

/** One reason why a host accepts no new connections. */
export const UnreadyReason = z.object({check: z.string(), reason: z.string()});
export type UnreadyReason = z.infer<typeof UnreadyReason>;

/** Answer of `/readyz`. */
export const Readiness = z.object({ready: z.boolean(), reasons: z.array(UnreadyReason)});
export type Readiness = z.infer<typeof Readiness>;
