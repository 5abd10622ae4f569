import {z} from 'zod';

const count = z.int().nonnegative();

/** An amount in both units of a customer bucket. */
export const Amounts = z.object({tokens: count, requests: count});
export type Amounts = z.infer<typeof Amounts>;

/** Totals of one grant since it was issued; totals make a repeated report harmless. */
export const GrantReport = z.object({serial: count, settled: Amounts, returned: Amounts.optional()});
export type GrantReport = z.infer<typeof GrantReport>;

/** Requests that wait on a host, beyond what the host holds; `head` is the oldest of them. */
export const WaitingNeed = z.object({total: Amounts, head: Amounts, waitedMs: count});
export type WaitingNeed = z.infer<typeof WaitingNeed>;

/** One customer's part of an exchange. */
export const CustomerExchange = z.object({
	customer: z.string(),
	wanted: Amounts.optional(),
	waiting: WaitingNeed.optional(),
	reports: z.array(GrantReport).optional(),
});
export type CustomerExchange = z.infer<typeof CustomerExchange>;

/** One batched exchange of a host for all its active customers; a repeat keeps its serial. */
export const ShareRequest = z.object({
	hostId: z.string(),
	startId: z.string(),
	ownerTerm: count,
	serial: count,
	customers: z.array(CustomerExchange),
});
export type ShareRequest = z.infer<typeof ShareRequest>;

/** What the owner grants one customer on one host; `serial` names the grant and is 0 when nothing was granted. */
export const ShareGrant = z.object({
	customer: z.string(),
	serial: count,
	amounts: Amounts,
	short: z.boolean(),
	retryAfterMs: count,
});
export type ShareGrant = z.infer<typeof ShareGrant>;

/** Answer to one exchange; `blockedMs` is what remains of the wait after the owner's takeover. */
export const ShareAnswer = z.object({
	ownerTerm: count,
	serial: count,
	blockedMs: count,
	grants: z.array(ShareGrant),
});
export type ShareAnswer = z.infer<typeof ShareAnswer>;

/** State of one customer bucket, for the monitor. */
export const BucketStatus = z.object({
	customer: z.string(),
	level: z.object({tokens: z.number(), requests: z.number()}),
	outstanding: Amounts,
});
export type BucketStatus = z.infer<typeof BucketStatus>;

/** Tokens that a customer spent at one moment. */
export const SpendEvent = z.object({atMs: z.number(), amount: z.number()});
export type SpendEvent = z.infer<typeof SpendEvent>;

/** A target that crashed while it ran a request. */
export const CrashReport = z.object({fingerprint: z.string(), startId: z.string()});
export type CrashReport = z.infer<typeof CrashReport>;

/** A request that is refused fleet-wide for the remaining time. */
export const PoisonBlock = z.object({fingerprint: z.string(), remainingMs: z.number().positive()});
export type PoisonBlock = z.infer<typeof PoisonBlock>;
