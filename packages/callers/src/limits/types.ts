import {z} from 'zod';

const count = z.int().nonnegative();

/** An amount in both units of a customer bucket. */
export const Amounts = z.object({tokens: count, requests: count});
export type Amounts = z.infer<typeof Amounts>;

/** Totals of a grant since it was issued; with totals, repeated reports have no effect. */
export const GrantReport = z.object({serial: count, settled: Amounts, returned: Amounts.optional()});
export type GrantReport = z.infer<typeof GrantReport>;

/** Need of the requests waiting on a host beyond what the host holds; `head` is the need of the oldest one. */
export const WaitingNeed = z.object({total: Amounts, head: Amounts, waitedMs: count});
export type WaitingNeed = z.infer<typeof WaitingNeed>;

/** A customer's entry in an exchange. */
export const CustomerExchange = z.object({
	customer: z.string(),
	wanted: Amounts.optional(),
	waiting: WaitingNeed.optional(),
	reports: z.array(GrantReport).optional(),
});
export type CustomerExchange = z.infer<typeof CustomerExchange>;

/** A host's batched exchange for all its active customers; a repeated exchange keeps its serial. */
export const ShareRequest = z.object({
	hostId: z.string(),
	startId: z.string(),
	ownerTerm: count,
	serial: count,
	customers: z.array(CustomerExchange),
});
export type ShareRequest = z.infer<typeof ShareRequest>;

/** The owner's grant to a customer on one host; `serial` identifies the grant and is 0 if nothing was granted. */
export const ShareGrant = z.object({
	customer: z.string(),
	serial: count,
	amounts: Amounts,
	short: z.boolean(),
	retryAfterMs: count,
});
export type ShareGrant = z.infer<typeof ShareGrant>;

/** Answer to an exchange; `blockedMs` is the remaining time after the owner's takeover in which it grants nothing. */
export const ShareAnswer = z.object({
	ownerTerm: count,
	serial: count,
	blockedMs: count,
	grants: z.array(ShareGrant),
});
export type ShareAnswer = z.infer<typeof ShareAnswer>;

/** State of a customer's bucket, for monitoring. */
export const BucketStatus = z.object({
	customer: z.string(),
	level: z.object({tokens: z.number(), requests: z.number()}),
	outstanding: Amounts,
});
export type BucketStatus = z.infer<typeof BucketStatus>;

/** An amount that a customer spent at one time. */
export const SpendEvent = z.object({atMs: z.number(), amount: z.number()});
export type SpendEvent = z.infer<typeof SpendEvent>;
