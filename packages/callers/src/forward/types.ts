import {BodyFraming} from '@egretrill/common';
import {z} from 'zod';

/** A block of a prompt that requests may have in common; it matches only together with the blocks before it. */
export const PromptPart = z.object({id: z.string(), tokens: z.number().nonnegative()});
export type PromptPart = z.infer<typeof PromptPart>;

/** A caller's request as parsed by the deployment's dialect. */
export const ForwardCall = z.object({
	attemptId: z.string(),
	method: z.string(),
	hostName: z.string(),
	/** Path and query as sent. */
	url: z.string(),
	key: z.string().optional(),
	/** Time until the caller's deadline. */
	timeLeftMs: z.number().optional(),
	model: z.string().optional(),
	adapter: z.string().optional(),
	/** Prompt tokens and the most tokens to generate; absent for requests that are not counted in tokens. */
	tokensIn: z.number().optional(),
	tokensOut: z.number().optional(),
	/** The caller's estimate of the generated tokens; often far off. */
	expectedTokensOut: z.number().optional(),
	promptParts: z.array(PromptPart),
	/** Id of the last event that the caller has received from an earlier answer. */
	lastEventId: z.int().optional(),
	/** Alternating names and values of the headers that are passed to the target unchanged. */
	headers: z.array(z.string()),
});
export type ForwardCall = z.infer<typeof ForwardCall>;

/** What this host adds to a request when sending it to a target. */
export const SendDetails = z.object({
	targetId: z.string(),
	timeLeftMs: z.number(),
	bodyLength: z.int(),
	customer: z.string().optional(),
	priority: z.int().optional(),
	lastEventId: z.int().optional(),
});
export type SendDetails = z.infer<typeof SendDetails>;

/** Load that a target reports with an answer. */
export const TargetLoad = z.object({
	running: z.number(),
	waiting: z.number(),
	slots: z.number().optional(),
	/** How much longer than usual work takes there at this moment; 1 is as usual. */
	slowdown: z.number().optional(),
});
export type TargetLoad = z.infer<typeof TargetLoad>;

/** Metadata from the head of a target's answer, in addition to its status. */
export const AnswerMetadata = z.object({
	/** Id of the attempt that the answer belongs to. */
	attemptId: z.string().optional(),
	/** Whether the answer carries the target's signature. */
	isSigned: z.boolean(),
	/** Whether the target declares that it has not run the request. */
	isNotExecuted: z.boolean(),
	/** Load of the target, if it reports it. */
	load: TargetLoad.optional(),
	/** Whether the target says that it leaves. */
	isLeaving: z.boolean().optional(),
	/** Time for which the target wants no further requests. */
	retryAfterMs: z.number().optional(),
	isEventStream: z.boolean(),
	/** Alternating names and values of the headers that are passed to the caller. */
	headers: z.array(z.string()),
});
export type AnswerMetadata = z.infer<typeof AnswerMetadata>;

/** How the end of a complete answer was detected, and the number of body bytes relayed. */
export const AnswerSummary = z.object({framing: BodyFraming, bytes: z.int()});
export type AnswerSummary = z.infer<typeof AnswerSummary>;
