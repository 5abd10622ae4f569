import {BodyFraming} from '@egretrill/common';
import {z} from 'zod';

/** A piece of a prompt that requests share; the pieces before it are part of its meaning. */
export const PromptPart = z.object({id: z.string(), tokens: z.number().nonnegative()});
export type PromptPart = z.infer<typeof PromptPart>;

/** A caller's request as the dialect of the deployment reads it. */
export const ForwardCall = z.object({
	attemptId: z.string(),
	method: z.string(),
	hostName: z.string(),
	/** Path and query as sent. */
	url: z.string(),
	key: z.string().optional(),
	/** How long the caller still waits. */
	timeLeftMs: z.number().optional(),
	model: z.string().optional(),
	adapter: z.string().optional(),
	/** Prompt tokens and the most tokens to generate; absent for requests that are not counted in tokens. */
	tokensIn: z.number().optional(),
	tokensOut: z.number().optional(),
	/** Tokens that the caller expects to be generated; often far off. */
	expectedTokensOut: z.number().optional(),
	promptParts: z.array(PromptPart),
	/** Last event that the caller has received of an earlier answer. */
	lastEventId: z.int().optional(),
	/** Header names and values in turn that pass through unchanged. */
	headers: z.array(z.string()),
});
export type ForwardCall = z.infer<typeof ForwardCall>;

/** What this host adds to a request for one target. */
export const SendDetails = z.object({
	targetId: z.string(),
	timeLeftMs: z.number(),
	bodyLength: z.int(),
	customer: z.string().optional(),
	priority: z.int().optional(),
	lastEventId: z.int().optional(),
});
export type SendDetails = z.infer<typeof SendDetails>;

/** What the head of a target's answer says, beside its status. */
export const AnswerMetadata = z.object({
	/** Attempt that the answer belongs to. */
	attemptId: z.string().optional(),
	/** Whether the answer carries the target's signature. */
	isSigned: z.boolean(),
	/** Whether the target says that it has not run the request. */
	isNotExecuted: z.boolean(),
	/** Requests that the target runs or lets wait, if it tells. */
	outstanding: z.number().optional(),
	isEventStream: z.boolean(),
	/** Header names and values in turn that pass on to the caller. */
	headers: z.array(z.string()),
});
export type AnswerMetadata = z.infer<typeof AnswerMetadata>;

/** How a whole answer ended: by what its end was recognised, and the bytes of its body that were passed on. */
export const AnswerSummary = z.object({framing: BodyFraming, bytes: z.int()});
export type AnswerSummary = z.infer<typeof AnswerSummary>;
