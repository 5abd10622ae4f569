import {z} from 'zod';
import {Bytes} from './types.js';

/** The answer of a target to a call that must not run twice; stored so that a resend of the call receives the same answer. */
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

/** Result of opening a call: only `new` allows sending it, `known` carries the stored answer of an earlier attempt. */
export type OpenCallResult =
	| {readonly kind: 'new'}
	| {readonly kind: 'known'; readonly outcome: CallOutcome}
	| {readonly kind: 'pending'}
	| {readonly kind: 'key-reused'}
	| {readonly kind: 'unavailable'};

/** Records calls that must not run twice; the records are shared by all hosts and survive restarts. */
export abstract class AtMostOnceLedger {
	/** Records that a call is about to be sent, which is allowed only if the result is `new`. */
	abstract open(call: CallIdentity): Promise<OpenCallResult>;
	/** Records the answer of a call, so that a resend receives the same. */
	abstract finish(call: CallIdentity, outcome: CallOutcome): Promise<void>;
	/** Removes the record of a call that is certain not to have been sent. */
	abstract release(call: CallIdentity): Promise<void>;
}
