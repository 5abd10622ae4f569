import {z} from 'zod';

/** Work that had not ended when a drain ended, counted by kind. */
export const UnfinishedWork = z.object({kind: z.string(), count: z.int().positive()});
export type UnfinishedWork = z.infer<typeof UnfinishedWork>;

/** How a drain ended and what it left behind. */
export const DrainReport = z.object({
	reason: z.string(),
	outcome: z.enum(['complete', 'deadline', 'second-signal']),
	left: z.array(UnfinishedWork),
	tookMs: z.number().nonnegative(),
	exitCode: z.union([z.literal(0), z.literal(1)]),
});
export type DrainReport = z.infer<typeof DrainReport>;

/** One cause for which a host takes no new connections. */
export const UnreadyReason = z.object({check: z.string(), reason: z.string()});
export type UnreadyReason = z.infer<typeof UnreadyReason>;

/** Answer of `/readyz`. */
export const Readiness = z.object({ready: z.boolean(), reasons: z.array(UnreadyReason)});
export type Readiness = z.infer<typeof Readiness>;
