import {z} from 'zod';
import {Bytes} from './types.js';

/** The answer of a target to a call that must not run twice, kept for resends. */
export const CallOutcome = z.object({
	status: z.int(),
	headers: z.record(z.string(), z.string()),
	body: Bytes,
});
export type CallOutcome = z.infer<typeof CallOutcome>;

/** Identifies a call that must not run twice. */
export const CallIdentity = z.object({
	customer: z.string(),
	idempotencyKey: z.string(),
	fingerprint: z.string(),
	host: z.string(),
	attempt: z.string(),
});
export type CallIdentity = z.infer<typeof CallIdentity>;

/** What is known of a call before it is sent. */
export type OpenCallResult =
	| {readonly kind: 'new'}
	| {readonly kind: 'known'; readonly outcome: CallOutcome}
	| {readonly kind: 'pending'}
	| {readonly kind: 'key-reused'}
	| {readonly kind: 'unavailable'};

/** Records calls that must not run twice, for all hosts and beyond restarts. */
export abstract class AtMostOnceLedger {
	/** Records that a call is about to be sent; only the answer `new` allows sending it. */
	abstract open(call: CallIdentity): Promise<OpenCallResult>;
	/** Records the answer of a call, so that a resend receives the same. */
	abstract finish(call: CallIdentity, outcome: CallOutcome): Promise<void>;
	/** Removes the record of a call that certainly was not sent. */
	abstract release(call: CallIdentity): Promise<void>;
}
