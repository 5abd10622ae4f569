import {Bytes, Priority} from '@egretrill/common';
import {z} from 'zod';

/** A caller's request after its body has been read, independent of the HTTP library. */
export const CallerRequest = z.object({
	requestId: z.string(),
	method: z.string(),
	path: z.string(),
	headers: z.record(z.string(), z.string()),
	body: Bytes,
});
export type CallerRequest = z.infer<typeof CallerRequest>;

/** The JSON body of each refusal. */
export const ErrorBody = z.object({
	error: z.object({verdict: z.enum(['not-run', 'may-have-run', 'ran']), code: z.string(), message: z.string()}),
});
export type ErrorBody = z.infer<typeof ErrorBody>;

/** Properties of a request's work that admission uses. */
export const WorkEstimate = z.object({
	promptTokens: z.number().nonnegative(),
	maxTokens: z.number().nonnegative(),
	priority: Priority,
});
export type WorkEstimate = z.infer<typeof WorkEstimate>;
