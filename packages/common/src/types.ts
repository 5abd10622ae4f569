import {z} from 'zod';
import {DEFAULT_KEY_LEASE_MS, MAX_KEY_LEASE_MS, MIN_KEY_LEASE_MS} from './constants.js';

/** The decoder of messages between hosts renames the key __proto__, so records stored under that name would be lost. */
const identifier = z.string().regex(/^[\w.:\-]{1,128}$/v, 'an identifier of 1 to 128 letters, digits, or . _ : -').refine(name => name !== '__proto__', 'an identifier other than __proto__');
const socketAddress = z.string().regex(/^[\w.\-:\[\]]+:\d{1,5}$/v, 'an address as ip:port');
const count = z.int().nonnegative();

/** Raw bytes, for bodies and stored records. */
export const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'bytes');

/** Whether a request may have had an effect at its target. */
export const RunState = z.enum(['not-run', 'may-have-run', 'ran']);
export type RunState = z.infer<typeof RunState>;

/** The final decision about a request: its status and whether it ran. */
export const Verdict = z.object({
	run: RunState,
	status: z.int().min(200).max(599),
	code: z.string(),
	reason: z.string(),
	retryAfterMs: count.optional(),
});
export type Verdict = z.infer<typeof Verdict>;

export const Priority = z.enum(['interactive', 'batch']);
export type Priority = z.infer<typeof Priority>;

export const ZoneState = z.enum(['in-service', 'taken-out']);
export type ZoneState = z.infer<typeof ZoneState>;

export const Zone = z.object({id: identifier, region: identifier, state: ZoneState.default('in-service')});
export type Zone = z.infer<typeof Zone>;

/** Sustained rate and burst of one customer over the whole fleet. */
export const Rate = z.object({
	tokensPerSecond: z.number().positive(),
	burstTokens: z.number().positive(),
	requestsPerSecond: z.number().positive(),
	burstRequests: z.number().min(1),
});
export type Rate = z.infer<typeof Rate>;

export const Customer = z.object({
	id: identifier,
	weight: z.number().positive().default(1),
	rate: Rate,
	keyLeaseMs: z.int().min(MIN_KEY_LEASE_MS).max(MAX_KEY_LEASE_MS).default(DEFAULT_KEY_LEASE_MS),
});
export type Customer = z.infer<typeof Customer>;

/** A caller's key; only its SHA-256 digest is ever stored. */
export const ApiKey = z.object({
	id: identifier,
	customer: identifier,
	digest: z.string().regex(/^[\da-f]{64}$/v, 'a SHA-256 digest as 64 lower-case hexadecimal digits'),
	state: z.enum(['active', 'withdrawn']).default('active'),
});
export type ApiKey = z.infer<typeof ApiKey>;

const routeFields = {
	path: z.string().regex(/^\/[\w\/.\-]*$/v, 'an absolute path'),
	access: z.enum(['keyed', 'open']).default('keyed'),
	idempotent: z.boolean(),
	priority: Priority.default('interactive'),
	timeoutMs: z.int().min(100).max(3_600_000).default(30_000),
};

export const ModelRoute = z.object({...routeFields, kind: z.literal('model')});
export type ModelRoute = z.infer<typeof ModelRoute>;

export const ServiceRoute = z.object({...routeFields, kind: z.literal('service'), service: identifier});
export type ServiceRoute = z.infer<typeof ServiceRoute>;

export const Route = z.discriminatedUnion('kind', [ModelRoute, ServiceRoute]);
export type Route = z.infer<typeof Route>;

export const Adapter = z.object({id: identifier, memoryMb: z.number().positive()});
export type Adapter = z.infer<typeof Adapter>;

export const Model = z.object({
	id: identifier,
	version: identifier,
	memoryMb: z.number().positive(),
	kvReserveMb: z.number().nonnegative(),
	minCopies: z.int().min(1).default(1),
	adapters: z.array(Adapter).default([]),
});
export type Model = z.infer<typeof Model>;

export const Pin = z.object({model: identifier, target: identifier});
export type Pin = z.infer<typeof Pin>;

export const Placements = z.object({pins: z.array(Pin).default([]), forbids: z.array(Pin).default([])});
export type Placements = z.infer<typeof Placements>;

/** Accelerator memory of one target as operators declare it. */
export const Accelerator = z.object({target: identifier, memoryMb: z.number().positive()});
export type Accelerator = z.infer<typeof Accelerator>;

export const WeightStoreLimits = z.object({
	loadsPerSecond: z.number().positive(),
	concurrentLoads: z.int().positive(),
	concurrentAdapterLoads: z.int().positive(),
});
export type WeightStoreLimits = z.infer<typeof WeightStoreLimits>;

/** The configuration document, through which operators control the system. */
export const ConfigDocument = z.strictObject({
	version: z.int().positive(),
	fleet: identifier,
	zones: z.array(Zone).min(1),
	customers: z.array(Customer),
	keys: z.array(ApiKey),
	routes: z.array(Route),
	models: z.array(Model),
	services: z.array(z.object({id: identifier})).default([]),
	placements: Placements.default({pins: [], forbids: []}),
	accelerators: z.array(Accelerator).default([]),
	weightStore: WeightStoreLimits,
});
export type ConfigDocument = z.infer<typeof ConfigDocument>;

const TlsFiles = z.object({ca: z.string(), cert: z.string(), key: z.string()});

/** Another host of the fleet, as listed in the settings. */
export const PeerHost = z.object({
	id: identifier,
	zone: identifier,
	region: identifier,
	address: socketAddress,
	voter: z.boolean().default(false),
});
export type PeerHost = z.infer<typeof PeerHost>;

/** Settings of one daemon. */
export const Settings = z.strictObject({
	host: identifier,
	fleet: identifier,
	region: identifier,
	zone: identifier,
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	listen: z.strictObject({
		callers: socketAddress,
		targets: socketAddress,
		peers: socketAddress,
		admin: socketAddress,
		monitor: socketAddress,
		health: socketAddress,
	}),
	peers: z.array(PeerHost).min(1),
	dataDir: z.string().optional(),
	tls: TlsFiles.optional(),
	plaintextLoopback: z.boolean().default(false),
	adminKeyDigest: z.string().optional(),
	monitorKeyDigest: z.string().optional(),
	drainDeadlineMs: z.int().min(0).default(30_000),
	routingPolicy: z.enum(['cost', 'two-choices', 'round-robin']).default('cost'),
});
export type Settings = z.infer<typeof Settings>;

export const ResidentModel = z.object({model: identifier, version: identifier, adapters: z.array(identifier).default([])});
export type ResidentModel = z.infer<typeof ResidentModel>;

/** The load that a target reports of itself, which may be out of date. */
export const LoadReport = z.object({
	running: count,
	waiting: count,
	limit: z.int().positive(),
	kvUsedRatio: z.number().min(0).max(1),
	/** Number of running requests that are in prefill; absent if the engine does not distinguish the phases. */
	prefilling: count.optional(),
});
export type LoadReport = z.infer<typeof LoadReport>;

export const CacheEvents = z.object({
	firstSeq: count,
	events: z.array(z.object({op: z.enum(['stored', 'removed']), model: identifier, hash: z.string()})),
});
export type CacheEvents = z.infer<typeof CacheEvents>;

/** The periodic report of a target to the hosts of its zone. */
export const Announcement = z.object({
	targetId: identifier,
	startId: identifier,
	zone: identifier,
	address: socketAddress,
	kind: z.enum(['engine', 'service']),
	service: identifier.optional(),
	role: z.enum(['prefill', 'decode', 'mixed']).default('mixed'),
	honoursFencing: z.boolean().default(false),
	memoryMb: z.number().nonnegative().default(0),
	load: LoadReport,
	resident: z.array(ResidentModel).default([]),
	cacheEvents: CacheEvents.optional(),
	settledOrders: z.array(identifier).default([]),
	leaving: z.boolean().default(false),
	cold: z.boolean().default(false),
});
export type Announcement = z.infer<typeof Announcement>;

const orderFields = {
	orderId: identifier,
	fencing: count,
	expiresInMs: z.int().positive().max(2000),
};

/** An order to a model engine; `expiresInMs` counts from the time of sending. */
export const Order = z.discriminatedUnion('kind', [
	z.object({
		...orderFields, kind: z.literal('load-model'), model: identifier, version: identifier,
	}),
	z.object({
		...orderFields, kind: z.literal('unload-model'), model: identifier, version: identifier,
	}),
	z.object({
		...orderFields, kind: z.literal('load-adapter'), model: identifier, version: identifier, adapter: identifier,
	}),
	z.object({
		...orderFields, kind: z.literal('unload-adapter'), model: identifier, version: identifier, adapter: identifier,
	}),
	z.object({...orderFields, kind: z.literal('set-role'), role: z.enum(['prefill', 'decode', 'mixed'])}),
]);
export type Order = z.infer<typeof Order>;

const ChatMessage = z.looseObject({role: z.string(), content: z.string()});

/** The fields of a chat completion request that routing reads; other fields are passed through. */
export const ChatRequest = z.looseObject({
	model: identifier,
	adapter: identifier.optional(),
	messages: z.array(ChatMessage).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.int().positive().default(256),
	temperature: z.number().optional(),
	seed: z.int().optional(),
});
export type ChatRequest = z.infer<typeof ChatRequest>;

/** One streamed chunk; `egretrill.seq` counts from 0 within the request. */
export const ChatChunk = z.object({
	id: z.string(),
	egretrill: z.object({seq: count}),
	choices: z.array(z.object({delta: z.object({content: z.string().optional()}), finish_reason: z.string().nullable().optional()})),
	usage: z.object({prompt_tokens: count, completion_tokens: count}).optional(),
});
export type ChatChunk = z.infer<typeof ChatChunk>;

/** A rejected field, with its path and line and what was expected there. */
export const Fault = z.object({
	path: z.string(), expected: z.string(), found: z.string(), line: z.int().optional(),
});
export type Fault = z.infer<typeof Fault>;
