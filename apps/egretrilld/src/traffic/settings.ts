import {z} from 'zod';

const address = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'an address as ip:port');
const milliseconds = z.number().nonnegative();

/** Bounds that the deployment sets on what the hosts do together. */
export const TrafficBounds = z.object({
	/** Retries that a service may get in a window: a share of its requests plus a number. */
	retryRatio: z.number().nonnegative(),
	retryReserve: z.number().nonnegative(),
	/** How far the rate of a cold target may be exceeded. */
	coldExcessRatio: z.number().nonnegative(),
	/** Time after which another host may give an engine its orders. */
	orderLeaseMs: milliseconds,
	/** Time that begun requests have after the signal to stop. */
	drainMs: milliseconds,
	/** Time until the balancer sends no new connections to a host that is not ready. */
	balancerWaitMs: milliseconds,
});
export type TrafficBounds = z.infer<typeof TrafficBounds>;

const common = {
	host: z.string(),
	zone: z.string(),
	/** Peer addresses of some control hosts. */
	seeds: z.array(address).min(1),
	bounds: TrafficBounds,
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	metrics: address.optional(),
};

/** Settings of a host that serves callers. */
export const EntrySettings = z.object({
	...common,
	role: z.literal('entry'),
	listen: z.object({callers: address, health: address}),
});
export type EntrySettings = z.infer<typeof EntrySettings>;

/** Settings of a host with a disk that keeps the log and serves targets and operators. */
export const ControlSettings = z.object({
	...common,
	role: z.literal('control'),
	listen: z.object({control: address, peers: address}),
	dataDir: z.string(),
	/** True only when the whole fleet starts for the first time. */
	isFirstStart: z.boolean(),
	/** Members that suffice for the losses that must be borne; more are kept only while they answer. */
	minVoters: z.int().positive().default(3),
	/** Members of the log beyond which further control hosts only follow. */
	maxVoters: z.int().positive().default(5),
});
export type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a host that finds the others through seeds. */
export const TrafficSettings = z.discriminatedUnion('role', [EntrySettings, ControlSettings]);
export type TrafficSettings = z.infer<typeof TrafficSettings>;
