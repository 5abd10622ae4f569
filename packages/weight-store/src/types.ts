import {z} from 'zod';

export const LoadKind = z.enum(['model', 'adapter']);
export type LoadKind = z.infer<typeof LoadKind>;

export const LoadUrgency = z.enum(['urgent', 'speculative']);
export type LoadUrgency = z.infer<typeof LoadUrgency>;

/** A holder's request for a permit, repeated with the same `requestId` until it is granted or abandoned. */
export const PermitRequest = z.object({
	requestId: z.string(), holder: z.string(), kind: LoadKind, urgency: LoadUrgency,
});
export type PermitRequest = z.infer<typeof PermitRequest>;

/** The answer to a request; `expiresInMs` counts from when the holder sent the request. */
export const PermitAnswer = z.discriminatedUnion('granted', [
	z.object({granted: z.literal(true), permitId: z.string(), expiresInMs: z.number()}),
	z.object({granted: z.literal(false), reason: z.enum(['rate', 'concurrency', 'urgent-first', 'successor']), retryAfterMs: z.number()}),
]);
export type PermitAnswer = z.infer<typeof PermitAnswer>;
export type PermitRefusal = Extract<PermitAnswer, {granted: false}>['reason'];

/** A granted permit in the records of the owner. */
export const HeldPermit = PermitRequest.extend({permitId: z.string(), expiresAtMs: z.number()});
export type HeldPermit = z.infer<typeof HeldPermit>;
