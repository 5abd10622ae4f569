import type {CallOutcome, SendFailure, TargetRequest} from '@egretrill/common';
import type {Admission} from './admission.js';
import type {Identity} from './authenticate.js';
import type {CallerReply} from './caller-reply.js';
import type {RankedKey, SentRequest} from './crashes/index.js';
import type {RequestDependencies} from './request-dependencies.js';
import type {CallerRequest} from './types.js';
import type {Work} from './work.js';

/** An admitted request that is being run on targets. */
export type Exchange = {
	readonly req: CallerRequest;
	readonly reply: CallerReply;
	readonly work: Work;
	readonly identity: Identity;
	readonly admission: Admission;
	readonly fingerprint: string;
	readonly keys: readonly RankedKey[];
	readonly signal: AbortSignal;
	readonly startedMs: number;
	readonly deadlineMs: number;
	readonly deps: RequestDependencies;
	/** The attempt in progress, as evidence. */
	readonly sent?: SentRequest;
	/** Called before a complete answer is sent to the caller. */
	readonly beforeAnswer?: (answer: CallOutcome) => Promise<void>;
};

/** Timing of the chunks of a streamed answer, measured from the start of the attempt. */
export type StreamTimes = {readonly firstTokenMs: number; readonly betweenTokensMs?: number};

/** How one attempt at a target ended. */
export type AttemptResult =
	| {readonly kind: 'completed'; readonly tokens?: number; readonly times?: StreamTimes}
	/** `isUnsent` tells that nothing was sent to the target. */
	| {readonly kind: 'cancelled'; readonly isUnsent?: boolean}
	/** `isTextDelivered` tells that the caller has the chunk that the engine marked as the last one of the text. */
	| {readonly kind: 'failed'; readonly failure: SendFailure; readonly deliveredChunks: number; readonly isTextDelivered?: boolean};

/** Builds the request that a target receives, without anything that identifies the caller. */
export type TargetRequestBuilder = (resumeFrom: number) => TargetRequest;

/** What the caller has received of a streamed answer. */
export type DeliveredStream = {readonly deliveredChunks: number; readonly isTextDelivered: boolean};
