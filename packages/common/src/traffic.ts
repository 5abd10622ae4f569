import {z} from 'zod';

const milliseconds = z.number().positive();
const count = z.int().nonnegative();

/** What may be repeated: an idempotent call any number of times, a once-only call never after it may have run. */
export const RepeatRule = z.enum(['idempotent', 'once']);
export type RepeatRule = z.infer<typeof RepeatRule>;

export const WeightedService = z.object({service: z.string(), weight: z.number().nonnegative()});
export type WeightedService = z.infer<typeof WeightedService>;

/** A route of passed-through requests: a host name and a path prefix that lead to services. */
export const TrafficRoute = z.object({
	name: z.string(),
	hostName: z.string(),
	pathPrefix: z.string(),
	repeat: RepeatRule,
	/** Whether answers are event streams. */
	isStream: z.boolean(),
	/** Whether a broken stream may go on at another target behind the last event that arrived. */
	isResumable: z.boolean(),
	isOpen: z.boolean(),
	timeoutMs: milliseconds,
	targetLatencyMs: milliseconds,
	/** Rank of the route; 0 is served first. */
	priority: z.int(),
	maxAttempts: z.int().positive(),
	services: z.array(WeightedService),
});
export type TrafficRoute = z.infer<typeof TrafficRoute>;

/** A model as the weight store offers it; times are durations of one load. */
export const StoredModel = z.object({
	name: z.string(),
	weightsMb: z.number().nonnegative(),
	storeLoadMs: z.number().nonnegative(),
	diskLoadMs: z.number().nonnegative(),
	memoryLoadMs: z.number().nonnegative(),
	adapterMb: z.number().nonnegative(),
});
export type StoredModel = z.infer<typeof StoredModel>;

/** What the engines of a service can hold, and how fast the weight store serves all of them together. */
export const EngineClass = z.object({
	batchSlots: z.int().positive(),
	weightsMb: z.number().nonnegative(),
	adapterSlots: count,
	storeLoadsPerSecond: z.number().nonnegative(),
	models: z.array(StoredModel),
});
export type EngineClass = z.infer<typeof EngineClass>;

export const TrafficService = z.object({
	name: z.string(),
	/** Requests per second that a cold target of the service can take. */
	coldRequestsPerSecond: z.number().nonnegative(),
	engine: EngineClass.optional(),
});
export type TrafficService = z.infer<typeof TrafficService>;

/** Bounds on what a caller may send and how long it may take. */
export const CallerLimits = z.object({
	maxHeaderBytes: z.int().positive(),
	maxBodyBytes: z.int().positive(),
	headerTimeoutMs: z.int().positive(),
	idleTimeoutMs: z.int().positive(),
});
export type CallerLimits = z.infer<typeof CallerLimits>;

/** A customer of passed-through requests; a rate of 0 means no limit. */
export const TrafficCustomer = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	priority: z.int().optional(),
	unit: z.enum(['requests', 'tokens']),
	/** Tokens that a request without a token count is charged. */
	plainTokens: z.number().nonnegative(),
	ratePerSecond: z.number().nonnegative(),
	burst: z.number().nonnegative(),
});
export type TrafficCustomer = z.infer<typeof TrafficCustomer>;

/** The configuration of passed-through traffic; of two versions the higher one is in force. */
export const TrafficConfig = z.object({
	version: count,
	routes: z.array(TrafficRoute),
	services: z.array(TrafficService),
	limits: CallerLimits,
	/** Absent when no route needs a key. */
	customers: z.array(TrafficCustomer).optional(),
});
export type TrafficConfig = z.infer<typeof TrafficConfig>;

/** A traffic configuration as its author wrote it; it is stored and handed back unchanged. */
export const TrafficSource = z.object({version: count, source: z.string()});
export type TrafficSource = z.infer<typeof TrafficSource>;

/** A model that an engine holds, with its resident adapters. */
export const HeldModel = z.object({name: z.string(), version: z.int(), adapters: z.array(z.string())});
export type HeldModel = z.infer<typeof HeldModel>;

/** What a target says of itself when it registers. */
export const Registration = z.object({
	targetId: z.string(),
	/** Start of the target's process, which tells its lifetimes apart. */
	startedAtMs: z.int(),
	/** Grows with each registration of one lifetime. */
	sequence: z.int(),
	service: z.string(),
	address: z.string(),
	zone: z.string(),
	slots: z.int().positive(),
	isLeaving: z.boolean(),
	coldForMs: z.number().nonnegative(),
	models: z.array(HeldModel),
	/** Orders that the engine has accepted in this lifetime, where the registration tells it. */
	orderCount: z.int().optional(),
	/** Weights that the engine keeps in host memory and on disk. */
	inMemory: z.array(z.string()),
	onDisk: z.array(z.string()),
});
export type Registration = z.infer<typeof Registration>;
