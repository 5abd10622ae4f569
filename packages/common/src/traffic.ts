import {z} from 'zod';

const milliseconds = z.number().positive();
const count = z.int().nonnegative();

/** Whether a call may be retried after it may have run: an idempotent call may, a once-only call may not. */
export const RepeatRule = z.enum(['idempotent', 'once']);
export type RepeatRule = z.infer<typeof RepeatRule>;

export const WeightedService = z.object({service: z.string(), weight: z.number().nonnegative()});
export type WeightedService = z.infer<typeof WeightedService>;

/** A route of passed-through requests: maps a host name and a path prefix to weighted services. */
export const TrafficRoute = z.object({
	name: z.string(),
	hostName: z.string(),
	pathPrefix: z.string(),
	repeat: RepeatRule,
	/** Whether answers are event streams. */
	isStream: z.boolean(),
	/** Whether a broken stream may be resumed at another target after the last event that arrived. */
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

/** A model in the weight store; the times are the durations of one load from the store, from disk and from host memory. */
export const StoredModel = z.object({
	name: z.string(),
	weightsMb: z.number().nonnegative(),
	storeLoadMs: z.number().nonnegative(),
	diskLoadMs: z.number().nonnegative(),
	memoryLoadMs: z.number().nonnegative(),
	adapterMb: z.number().nonnegative(),
});
export type StoredModel = z.infer<typeof StoredModel>;

/** The capacity of each engine of a service, and the rate at which the weight store serves all of them together. */
export const EngineClass = z.object({
	batchSlots: z.int().positive(),
	weightsMb: z.number().nonnegative(),
	adapterSlots: count,
	storeLoadsPerSecond: z.number().nonnegative(),
	/** Tokens that the memory of running requests and of kept prompt parts holds; absent if unknown. */
	memoryTokens: z.number().positive().optional(),
	models: z.array(StoredModel),
});
export type EngineClass = z.infer<typeof EngineClass>;

/** Number of engines that a service may have in each zone. */
export const ScalingRange = z.object({
	min: count,
	max: count,
	/** Time until a new engine serves. */
	bootMs: z.number().nonnegative(),
});
export type ScalingRange = z.infer<typeof ScalingRange>;

export const TrafficService = z.object({
	name: z.string(),
	/** Requests per second that a cold target of the service can handle. */
	coldRequestsPerSecond: z.number().nonnegative(),
	engine: EngineClass.optional(),
	/** Absent if the number of engines is not ordered. */
	scaling: ScalingRange.optional(),
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

/** The configuration of passed-through traffic; of two versions the higher takes precedence. */
export const TrafficConfig = z.object({
	version: count,
	routes: z.array(TrafficRoute),
	services: z.array(TrafficService),
	limits: CallerLimits,
	/** Absent when no route needs a key. */
	customers: z.array(TrafficCustomer).optional(),
});
export type TrafficConfig = z.infer<typeof TrafficConfig>;

/** The source text of a traffic configuration, which is stored and returned unchanged. */
export const TrafficSource = z.object({version: count, source: z.string()});
export type TrafficSource = z.infer<typeof TrafficSource>;
