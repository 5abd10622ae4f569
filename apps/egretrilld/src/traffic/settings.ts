import {SocketAddress} from '@egretrill/common';
import {ProviderSettings} from '@egretrill/provider';
import {z} from 'zod';

/** Memory of the smallest hosts. */
const DEFAULT_MEMORY_MB = 350;

const milliseconds = z.number().nonnegative();

/** Limits that the deployment sets for all hosts together. */
export const TrafficBounds = z.object({
	/** Retry budget of a service in a window: a ratio of its requests plus a fixed number. */
	retryRatio: z.number().nonnegative(),
	retryReserve: z.number().nonnegative(),
	/** Factor applied to the configured request rate of a cold target, which sets how far the rate may be exceeded. */
	coldExcessRatio: z.number().nonnegative(),
	/** Duration of a host's lease for orders to an engine; another host may send orders only after it. */
	orderLeaseMs: milliseconds,
	/** Time for which an entry host may serve requests with keys after a leader has confirmed them; keys are valid without a confirmation if absent. */
	keyLeaseMs: milliseconds.optional(),
	/** Time after the signal to stop in which requests are served. */
	drainMs: milliseconds,
	/** Time after which the balancer has stopped sending new connections to an unready host. */
	balancerWaitMs: milliseconds,
});
export type TrafficBounds = z.infer<typeof TrafficBounds>;

const common = {
	host: z.string(),
	zone: z.string(),
	/** Peer addresses of some control hosts. */
	seeds: z.array(SocketAddress).min(1),
	bounds: TrafficBounds,
	/** Memory that the process may use. */
	memoryMb: z.number().positive().default(DEFAULT_MEMORY_MB),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	metrics: SocketAddress.optional(),
};

/** Settings of a host that serves callers. */
export const EntrySettings = z.object({
	...common,
	role: z.literal('entry'),
	listen: z.object({callers: SocketAddress, health: SocketAddress}),
});
export type EntrySettings = z.infer<typeof EntrySettings>;

/** Settings of a host with a disk that keeps the log and serves targets and operators. */
export const ControlSettings = z.object({
	...common,
	role: z.literal('control'),
	listen: z.object({control: SocketAddress, peers: SocketAddress}),
	dataDir: z.string(),
	/** True only when the whole fleet starts for the first time. */
	isFirstStart: z.boolean(),
	/** Voters needed to tolerate the required number of failures; further members are kept only while they are responsive. */
	minVoters: z.int().positive().default(3),
	/** Largest number of members of the log; further control hosts do not join it. */
	maxVoters: z.int().positive().default(5),
	/** Duties of the leader towards the provider; it has none if absent. */
	provider: ProviderSettings.optional(),
});
export type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a host that discovers the others through seeds. */
export const TrafficSettings = z.discriminatedUnion('role', [EntrySettings, ControlSettings]);
export type TrafficSettings = z.infer<typeof TrafficSettings>;
