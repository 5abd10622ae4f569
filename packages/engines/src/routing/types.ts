import {Announcement, LoadReport} from '@egretrill/common';
import {z} from 'zod';

const count = z.int().nonnegative();
const durationMs = z.number().nonnegative();

/** Whether a host may use a zone; a cut-off zone does not respond in both directions. */
export const ZoneCondition = z.discriminatedUnion('state', [
	z.object({state: z.literal('in-service'), distanceMs: durationMs.default(0)}),
	z.object({state: z.literal('returning'), sinceMs: durationMs, distanceMs: durationMs.default(0)}),
	z.object({state: z.literal('taken-out')}),
	z.object({state: z.literal('cut-off')}),
]);
export type ZoneCondition = z.infer<typeof ZoneCondition>;

export const ZoneConditions = z.record(z.string(), ZoneCondition);
export type ZoneConditions = z.infer<typeof ZoneConditions>;

/** Whether a start of a target has finished its cold-start ramp; a higher generation overrides a lower one. */
export const Warmth = z.object({generation: count, warm: z.boolean()});
export type Warmth = z.infer<typeof Warmth>;

/** One target as directory hosts publish it. */
export const DirectoryEntry = Announcement.omit({cacheEvents: true}).extend({handle: count, warmth: Warmth});
export type DirectoryEntry = z.infer<typeof DirectoryEntry>;

/** Quantised load of a target identified by its handle: handle, running, waiting, cache usage in sixteenths, and prefilling if the engine reports it. */
export const LoadChange = z.tuple([count, count, count, count]).rest(count);
export type LoadChange = z.infer<typeof LoadChange>;

/** Position of a reader in the changes of one directory. */
export const DigestPosition = z.object({epoch: z.string(), seq: count});
export type DigestPosition = z.infer<typeof DigestPosition>;

/** Changes of a directory since a position; targets that are not listed are unchanged and alive. */
export const DirectoryDigest = DigestPosition.extend({
	full: z.boolean(),
	entries: z.array(DirectoryEntry),
	loads: z.array(LoadChange),
	removed: z.array(count),
});
export type DirectoryDigest = z.infer<typeof DirectoryDigest>;

/** Free capacity of one model in a zone. */
export const ModelSummary = z.object({model: z.string(), copies: count, freeSlots: count});
export type ModelSummary = z.infer<typeof ModelSummary>;

/** Bounded summary of a zone for the hosts of other zones, with the targets available for spill-over, warm ones first. */
export const ZoneSummary = z.object({zone: z.string(), models: z.array(ModelSummary), targets: z.array(DirectoryEntry)});
export type ZoneSummary = z.infer<typeof ZoneSummary>;

export const CandidateQuery = z.object({
	model: z.string().optional(),
	adapter: z.string().optional(),
	service: z.string().optional(),
	zoneStates: ZoneConditions,
	hostZone: z.string(),
});
export type CandidateQuery = z.infer<typeof CandidateQuery>;

/** A target that meets the requirements of a request, as passed to the routing policies. */
export const Candidate = z.object({
	targetId: z.string(),
	startId: z.string(),
	zone: z.string(),
	address: z.string(),
	role: z.enum(['prefill', 'decode', 'mixed']),
	load: LoadReport,
	/** Current load estimated by this host: the report, corrected by its own requests. */
	outstanding: count,
	/** The same, assuming that the other hosts, which use the same report, have behaved like this one. */
	expected: z.number().nonnegative(),
	adapterResident: z.boolean(),
	cold: z.boolean(),
	suspected: z.boolean(),
	distanceMs: durationMs,
	/** Share of requests that may use this candidate; below 1 while its zone is returning to service. */
	zoneShare: z.number().min(0).max(1),
});
export type Candidate = z.infer<typeof Candidate>;

/** Number of targets that meet the requirements of a request but accept no new requests, by reason. */
export const ExclusionCounts = z.object({leaving: count, takenOut: count, cutOff: count});
export type ExclusionCounts = z.infer<typeof ExclusionCounts>;

export const CandidateSet = z.object({candidates: z.array(Candidate), setAside: ExclusionCounts});
export type CandidateSet = z.infer<typeof CandidateSet>;

export const RoutingRequest = z.object({
	model: z.string().optional(),
	adapter: z.string().optional(),
	service: z.string().optional(),
	/** Whether the active configuration contains the model or service. */
	known: z.boolean(),
	/** Whether the host loads the adapter before it sends the request; otherwise only targets that hold it qualify. */
	canLoadAdapter: z.boolean().optional(),
	prompt: z.string().default(''),
	/** Targets that have already refused this request. */
	excluded: z.array(z.object({targetId: z.string(), reason: z.enum(['permit-denied', 'tried'])})).default([]),
});
export type RoutingRequest = z.infer<typeof RoutingRequest>;

export const CandidateScore = z.object({targetId: z.string(), score: z.number()});
export type CandidateScore = z.infer<typeof CandidateScore>;

/** The chosen target, with the fields for the log line of the decision. */
export const Choice = z.object({
	targetId: z.string(),
	startId: z.string(),
	zone: z.string(),
	address: z.string(),
	needsPermit: z.boolean(),
	adapterResident: z.boolean(),
	reason: z.string(),
	considered: count,
	scores: z.array(CandidateScore),
});
export type Choice = z.infer<typeof Choice>;

export const PermitRequest = z.object({hostId: z.string(), targetId: z.string(), startId: z.string()});
export type PermitRequest = z.infer<typeof PermitRequest>;

/** The zone owner's answer; `ttlMs` counts from when the host sent its request. */
export const PermitAnswer = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('warm'), warmth: Warmth}),
	z.object({
		kind: z.literal('granted'), permitId: z.string(), ttlMs: durationMs, level: count,
	}),
	z.object({kind: z.literal('denied'), reason: z.string(), retryAfterMs: durationMs}),
]);
export type PermitAnswer = z.infer<typeof PermitAnswer>;

/** How a request under a permit ended; only a completed one raises the ramp. */
export const PermitOutcome = z.enum(['completed', 'failed', 'cancelled']);
export type PermitOutcome = z.infer<typeof PermitOutcome>;

export const PermitRelease = PermitRequest.extend({permitId: z.string(), outcome: PermitOutcome});
export type PermitRelease = z.infer<typeof PermitRelease>;

export const PermitRenewal = z.object({hostId: z.string(), permitIds: z.array(z.string())});
export type PermitRenewal = z.infer<typeof PermitRenewal>;

/** Permit of a host to send one request to a target; without an id the target is warm and needs no permit. */
export const HeldPermit = PermitRequest.extend({permitId: z.string().optional(), zone: z.string(), requestedAtMs: durationMs});
export type HeldPermit = z.infer<typeof HeldPermit>;

/** A host's report that a start recorded as warm responds like a cold one. */
export const ColdReport = PermitRequest.extend({generation: count});
export type ColdReport = z.infer<typeof ColdReport>;

/** The zone owner's current state of one start, for the directories of the zone. */
export const StartWarmth = z.object({targetId: z.string(), startId: z.string(), warmth: Warmth});
export type StartWarmth = z.infer<typeof StartWarmth>;
