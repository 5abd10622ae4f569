import {
	ApiKey, ConfigDocument, Customer, Fault, Order, Pin, RunState, Zone, ZoneState,
} from '@egretrill/common';
import {z} from 'zod';
import {PROMISES} from './constants.js';

const identifier = ApiKey.shape.id;
const count = z.int().nonnegative();
const hash = z.string().regex(/^[\da-f]{64}$/v, 'a SHA-256 hash');

export const PromiseId = z.enum(Object.keys(PROMISES) as [keyof typeof PROMISES]);
export type PromiseId = z.infer<typeof PromiseId>;

/** Counters of one promise; a promise that was never checked is `not-counted`, not `held`. */
export const PromiseCount = z.object({
	promise: PromiseId,
	text: z.string(),
	counts: z.string(),
	counted: count,
	broken: count,
	state: z.enum(['held', 'broken', 'not-counted']),
	lastBreach: z.string().optional(),
});
export type PromiseCount = z.infer<typeof PromiseCount>;

const changeFields = {author: z.string(), requestId: z.string(), follows: count};

/** Fields that describe the first broken link of a chain. */
const brokenLinkFields = {
	/** Line number, from 1. */
	line: z.int().positive(),
	fault: z.enum(['hash', 'format', 'link', 'sequence', 'torn', 'cut', 'replaced', 'head-unreadable']),
	expected: z.string(),
	found: z.string(),
};

/** An event on this host that is recorded as evidence for the monitor. */
export const EvidenceRecord = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('change-accepted'), ...changeFields, version: count, digest: z.string(),
	}),
	z.object({
		kind: z.literal('change-refused'), ...changeFields, reason: z.enum(['faults', 'conflict']), faults: z.array(Fault),
	}),
	z.object({
		kind: z.literal('key-withdrawn'), key: identifier, customer: identifier, version: count, state: z.enum(['pending', 'in-force']), author: z.string(),
	}),
	z.object({
		kind: z.literal('zone-changed'), zone: identifier, state: ZoneState, version: count, author: z.string(),
	}),
	z.object({kind: z.literal('order-given'), target: identifier, order: Order}),
	z.object({kind: z.literal('promises'), counters: z.array(PromiseCount)}),
	z.object({kind: z.literal('tail-dropped'), bytes: z.int().positive()}),
	/** The earlier evidence of this host is damaged and was renamed to `file`. */
	z.object({kind: z.literal('damage-found'), file: z.string(), ...brokenLinkFields}),
]);
export type EvidenceRecord = z.infer<typeof EvidenceRecord>;

/** A record with its position in the chain; `at` is wall-clock time, for readers only. */
export const EvidenceEntry = z.object({
	seq: count, previous: hash, at: z.iso.datetime(), record: EvidenceRecord,
});
export type EvidenceEntry = z.infer<typeof EvidenceEntry>;

/** Identifies the last record of a chain; a reader that saves one can detect a later truncation or rewrite. */
export const EvidenceHead = z.object({seq: count, hash});
export type EvidenceHead = z.infer<typeof EvidenceHead>;

export const EvidencePage = z.object({
	entries: z.array(z.object({hash, ...EvidenceEntry.shape})),
	/** Value of `after` for the next page, or null on the last one. */
	next: count.nullable(),
	head: EvidenceHead.nullable(),
});
export type EvidencePage = z.infer<typeof EvidencePage>;

/** Outcome of verifying a chain, with its first broken link if there is one. */
export const Verification = z.discriminatedUnion('intact', [
	z.object({
		intact: z.literal(true),
		records: count,
		head: EvidenceHead.nullable(),
		/** Length of an incomplete last line. It was never acknowledged, because the chain contains every known head. */
		tornBytes: count,
	}),
	z.object({
		intact: z.literal(false), ...brokenLinkFields,
	}),
]);
export type Verification = z.infer<typeof Verification>;
export type BrokenLink = Extract<Verification, {intact: false}>;

/** The configuration in force, with the fields that the monitor may read. */
export const MonitoredConfig = z.object({
	version: count, digest: z.string(), author: z.string(), document: ConfigDocument,
});
export type MonitoredConfig = z.infer<typeof MonitoredConfig>;

/** A copy of a model on a target. */
export const ModelCopy = z.object({
	model: identifier, version: identifier, target: identifier, zone: identifier, state: z.enum(['resident', 'loading', 'unloading']),
});
export type ModelCopy = z.infer<typeof ModelCopy>;

export const KeyView = z.object({...ApiKey.omit({state: true}).shape, state: z.enum(['active', 'withdrawal-pending', 'withdrawn'])});
export type KeyView = z.infer<typeof KeyView>;

const createAnswerSchema = <Shape extends z.core.$ZodLooseShape>(shape: Shape) => z.object({version: count, ...shape});

/** Schemas of the answers of the read API, by resource. */
export const MonitorAnswers = {
	customers: createAnswerSchema({customers: z.array(Customer.omit({rate: true}))}),
	rates: createAnswerSchema({rates: z.array(z.object({customer: identifier, ...Customer.shape.rate.shape}))}),
	keys: createAnswerSchema({keys: z.array(KeyView)}),
	placements: createAnswerSchema({pins: z.array(Pin), forbids: z.array(Pin), copies: z.array(ModelCopy)}),
	zones: createAnswerSchema({zones: z.array(Zone)}),
	promises: createAnswerSchema({promises: z.array(PromiseCount)}),
} as const;

export const MonitorError = z.object({error: z.object({verdict: RunState, code: z.string(), message: z.string()})});
export type MonitorError = z.infer<typeof MonitorError>;
