import {
	ApiKey, ConfigDocument, Fault, LoadReport, ResidentModel, RunState, Zone, ZoneState,
} from '@egretrill/common';
import {z} from 'zod';

const identifier = ApiKey.shape.id;
const version = z.int().nonnegative();

/** Name of the operator who makes a change. */
export const OperatorName = z.string().regex(/^[\w.@\-]{1,64}$/v, 'a name of 1 to 64 letters, digits, or . _ @ -');
export type OperatorName = z.infer<typeof OperatorName>;

/** Identifies one accepted configuration. */
export const ConfigStamp = z.object({version, digest: z.string(), author: z.string()});
export type ConfigStamp = z.infer<typeof ConfigStamp>;

export const ConfigInForce = z.object({...ConfigStamp.shape, document: ConfigDocument});
export type ConfigInForce = z.infer<typeof ConfigInForce>;

/** A document to apply, with the version on which it is based. */
export const ApplyRequest = z.strictObject({document: ConfigDocument, follows: version, requestId: identifier});
export type ApplyRequest = z.infer<typeof ApplyRequest>;

export const ConfigChange = z.object({...ApplyRequest.shape, author: OperatorName});
export type ConfigChange = z.infer<typeof ConfigChange>;

export const Accepted = z.object({result: z.literal('accepted'), ...ConfigStamp.shape});
export const Conflict = z.object({result: z.literal('conflict'), winner: ConfigStamp});
export const Refused = z.object({result: z.literal('refused'), faults: z.array(Fault).min(1)});
export const NotFound = z.object({result: z.literal('not-found'), reason: z.string()});

/** The operation failed or its result is unknown; `effect` tells whether the change may still come into force. */
export const Unavailable = z.object({result: z.literal('unavailable'), effect: z.enum(['not-applied', 'unknown']), reason: z.string()});
export type Unavailable = z.infer<typeof Unavailable>;

export const ApplyOutcome = z.discriminatedUnion('result', [Accepted, Conflict, Refused, Unavailable]);
export type ApplyOutcome = z.infer<typeof ApplyOutcome>;

export const ValidateRequest = z.strictObject({document: ConfigDocument});

export const ValidateOutcome = z.discriminatedUnion('result', [z.object({result: z.literal('valid')}), Refused]);
export type ValidateOutcome = z.infer<typeof ValidateOutcome>;

/** State of a key withdrawal; it is in force once no host can accept the key any more. */
export const WithdrawalOutcome = z.discriminatedUnion('result', [
	z.object({
		result: z.literal('pending'), key: identifier, version, waitingFor: z.array(identifier),
	}),
	z.object({result: z.literal('in-force'), key: identifier, version}),
	z.object({result: z.literal('not-withdrawn'), key: identifier}),
	NotFound,
	Unavailable,
]);
export type WithdrawalOutcome = z.infer<typeof WithdrawalOutcome>;

export const ZoneStateRequest = z.strictObject({state: ZoneState, requestId: identifier.optional()});

export const ZoneStateOutcome = z.discriminatedUnion('result', [Accepted, Conflict, Refused, NotFound, Unavailable]);
export type ZoneStateOutcome = z.infer<typeof ZoneStateOutcome>;

export const RequestIdBody = z.strictObject({requestId: identifier.optional()});

export const DrainOutcome = z.discriminatedUnion('result', [
	z.object({result: z.literal('draining'), host: identifier}),
	NotFound,
	Unavailable,
]);
export type DrainOutcome = z.infer<typeof DrainOutcome>;

/** A host's status as reported by the answering host; `votes` is absent if the host keeps no log or did not answer. */
export const HostStatus = z.object({
	id: identifier, zone: identifier, live: z.boolean(), ready: z.boolean(), votes: z.boolean().optional(), version, reasons: z.array(z.string()),
});
export type HostStatus = z.infer<typeof HostStatus>;

export const FleetStatus = z.object({
	host: identifier,
	zone: identifier,
	leader: identifier.nullable(),
	term: z.int().nonnegative(),
	inForce: ConfigStamp.nullable(),
	hosts: z.array(HostStatus),
	zones: z.array(Zone),
});
export type FleetStatus = z.infer<typeof FleetStatus>;

export const TargetStatus = z.object({
	id: identifier,
	startId: identifier,
	zone: identifier,
	kind: z.enum(['engine', 'service']),
	service: identifier.optional(),
	state: z.enum(['cold', 'serving', 'leaving', 'lost']),
	reportAgeMs: z.number().nonnegative(),
	load: LoadReport,
	resident: z.array(ResidentModel),
});
export type TargetStatus = z.infer<typeof TargetStatus>;
export const TargetList = z.object({targets: z.array(TargetStatus)});

/** Copies of a model, and why each candidate target was or was not chosen. */
export const PlacementExplanation = z.object({
	model: identifier,
	demand: z.number().nonnegative(),
	copies: z.array(z.object({target: identifier, version: identifier, state: z.enum(['resident', 'loading', 'unloading'])})),
	candidates: z.array(z.object({target: identifier, chosen: z.boolean(), reason: z.string()})),
});
export type PlacementExplanation = z.infer<typeof PlacementExplanation>;

/** Body of an error answer that does not come from an operation. */
export const ApiError = z.object({error: z.object({verdict: RunState, code: z.string(), message: z.string()})});
export type ApiError = z.infer<typeof ApiError>;
