import {ConfigDocument, RunState} from '@egretrill/common';
import {TargetEvent} from '@egretrill/stand-ins';
import {z} from 'zod';

/** Milliseconds of the monotonic clock, which all processes of one machine share. */
const timestamp = {atMs: z.number()};

export const CallKind = z.enum(['open', 'registry', 'order', 'reused-key', 'draft', 'batch', 'over-rate', 'withdrawn-key', 'unknown-key']);
export type CallKind = z.infer<typeof CallKind>;

/** Start of one attempt of a call; a resend is another attempt with the same body. */
export const CallStarted = z.object({
	kind: z.literal('call-begun'),
	...timestamp,
	attempt: z.string(),
	callKind: CallKind,
	host: z.string(),
	/** Customer and id of the key that was sent; empty for open routes and unknown keys. */
	customer: z.string(),
	keyId: z.string(),
	route: z.string(),
	isKeyed: z.boolean(),
	isIdempotent: z.boolean(),
	isStream: z.boolean(),
	bodyDigest: z.string(),
	/** Number of tokens of a complete answer; 0 for services. */
	tokens: z.int(),
});
export type CallStarted = z.infer<typeof CallStarted>;

export const CallEnded = z.object({
	kind: z.literal('call-ended'),
	...timestamp,
	attempt: z.string(),
	/** `broken` is an answer that is cut off after its status line, or a connection that closes without an answer. */
	end: z.enum(['answered', 'broken', 'unreachable', 'timed-out']),
	status: z.int(),
	verdict: RunState.optional(),
	code: z.string().optional(),
	/** Id that the host assigned to this attempt. */
	requestId: z.string().optional(),
	/** Id and body digest of the run that produced the answer, as the target wrote them into the answer. */
	runId: z.string().optional(),
	runDigest: z.string().optional(),
	chunks: z.array(z.object({id: z.string(), seq: z.int()})),
	isDone: z.boolean(),
	hasErrorEvent: z.boolean(),
});
export type CallEnded = z.infer<typeof CallEnded>;

export const OperationStarted = z.object({
	kind: z.literal('operator-begun'),
	...timestamp,
	operation: z.string(),
	action: z.enum(['apply', 'withdraw', 'withdrawal-state', 'zone-out', 'zone-back']),
	host: z.string(),
	/** Request id of an apply, or the id of a key or a zone. */
	subject: z.string(),
	follows: z.int().optional(),
});
export type OperationStarted = z.infer<typeof OperationStarted>;

export const OperationEnded = z.object({
	kind: z.literal('operator-ended'),
	...timestamp,
	operation: z.string(),
	/** Result in the host's answer, or `no-answer`. */
	result: z.string(),
	version: z.int().optional(),
	digest: z.string().optional(),
});
export type OperationEnded = z.infer<typeof OperationEnded>;

export const FaultKind = z.enum(['kill-host', 'pause-host', 'cut-zone', 'cut-one-way', 'kill-target', 'leave-target', 'stop-host']);
export type FaultKind = z.infer<typeof FaultKind>;

export const FaultStarted = z.object({
	kind: z.literal('fault-begun'),
	...timestamp,
	fault: z.string(),
	faultKind: FaultKind,
	/** The affected host, zone or target, or `from>to` for a one-way cut. */
	subject: z.string(),
});
export type FaultStarted = z.infer<typeof FaultStarted>;

/** A fault ends once it is repaired; after a kill, once the restarted process is ready. */
export const FaultEnded = z.object({
	kind: z.literal('fault-ended'), ...timestamp, fault: z.string(), exitCode: z.int().optional(),
});
export type FaultEnded = z.infer<typeof FaultEnded>;

/** The process has exited after a graceful stop; the fault itself ends once the restarted process is ready. */
export const ProcessEnded = z.object({
	kind: z.literal('process-ended'), ...timestamp, fault: z.string(), exitCode: z.int(),
});
export type ProcessEnded = z.infer<typeof ProcessEnded>;

/** A configuration version read from one host; the reads of one host are sequential. */
export const VersionSeen = z.object({
	kind: z.literal('version-seen'), ...timestamp, host: z.string(), version: z.int(), digest: z.string(),
});
export type VersionSeen = z.infer<typeof VersionSeen>;

export const HistoryEvent = z.union([
	z.discriminatedUnion('kind', [CallStarted, CallEnded, OperationStarted, OperationEnded, FaultStarted, FaultEnded, ProcessEnded, VersionSeen]), TargetEvent,
]);
export type HistoryEvent = z.infer<typeof HistoryEvent>;

/** All events recorded during one run, ordered by time. */
export const History = z.object({
	seed: z.int(), document: ConfigDocument, hosts: z.array(z.object({id: z.string(), zone: z.string()})), events: z.array(HistoryEvent),
});
export type History = z.infer<typeof History>;

/** One violation of a promise, with the events that prove it. */
export const Finding = z.object({what: z.string(), evidence: z.array(z.string())});
export type Finding = z.infer<typeof Finding>;

export const CheckResult = z.object({
	promise: z.string(), title: z.string(), counted: z.int(), unit: z.string(), findings: z.array(Finding),
});
export type CheckResult = z.infer<typeof CheckResult>;
