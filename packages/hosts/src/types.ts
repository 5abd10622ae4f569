import {
	ConfigDocument, PeerHost, TrafficSource, ZoneState,
} from '@egretrill/common';
import {Bytes, LogEntry} from '@egretrill/disk';
import {z} from 'zod';
import {
	MAX_OUTCOME_BODY_BYTES, MAX_SETTLED_AT_ONCE, MAX_STORED_CRASHES, MAX_STORED_ENDS, MAX_USAGE_CUSTOMERS,
} from './constants.js';

const count = z.int().nonnegative();

/** A member of the replicated log. `initial` is a learner of a fleet that has not had all its voters yet. */
export const Member = z.object({
	id: z.string(),
	/** Identity of the data directory to which this role belongs; empty until the member has answered. */
	identity: z.string(),
	role: z.enum(['voter', 'learner', 'initial']),
});
export type Member = z.infer<typeof Member>;

export const Members = z.array(Member);
export type Members = z.infer<typeof Members>;

export const RequestVoteRequest = z.object({
	candidateId: z.string(),
	term: count,
	/** A pre-vote only checks whether the candidate could win an election; it does not change the voter's state. */
	preVote: z.boolean(),
	lastIndex: count,
	lastTerm: count,
	/** Identity of the voter in the candidate's membership; a voter whose own identity differs has lost its log. */
	voterIdentity: z.string(),
});
export type RequestVoteRequest = z.infer<typeof RequestVoteRequest>;

export const RequestVoteResponse = z.object({
	term: count,
	granted: z.boolean(),
	identity: z.string(),
	/** Whether the member's log is empty. */
	blank: z.boolean(),
});
export type RequestVoteResponse = z.infer<typeof RequestVoteResponse>;

export const AppendEntriesRequest = z.object({
	leaderId: z.string(),
	term: count,
	prevIndex: count,
	prevTerm: count,
	entries: z.array(LogEntry),
	commitIndex: count,
});
export type AppendEntriesRequest = z.infer<typeof AppendEntriesRequest>;

export const AppendEntriesResponse = z.object({
	term: count,
	accepted: z.boolean(),
	/** If not accepted: the last index at which the follower's log may still match the leader's. */
	lastIndex: count,
	identity: z.string(),
	/** Not accepted only because the follower's disk is full: the same entries are to be sent again later. */
	isFull: z.boolean().optional(),
});
export type AppendEntriesResponse = z.infer<typeof AppendEntriesResponse>;

/** One chunk of a snapshot; chunks are sent in order of their offset. */
export const InstallSnapshotRequest = z.object({
	leaderId: z.string(),
	term: count,
	index: z.int().positive(),
	snapshotTerm: count,
	members: Bytes,
	offset: count,
	chunk: Bytes,
	last: z.boolean(),
});
export type InstallSnapshotRequest = z.infer<typeof InstallSnapshotRequest>;

export const InstallSnapshotResponse = z.object({
	term: count,
	identity: z.string(),
	/** Offset of the next chunk that the follower expects. */
	nextOffset: count,
});
export type InstallSnapshotResponse = z.infer<typeof InstallSnapshotResponse>;

/** State of a member as shown to operators and metrics. */
export const ConsensusStatus = z.object({
	memberId: z.string(),
	identity: z.string(),
	role: z.enum(['leader', 'follower', 'learner', 'stopped']),
	term: count,
	leaderId: z.string().optional(),
	lastIndex: count,
	commitIndex: count,
	appliedIndex: count,
	snapshotIndex: count,
	members: Members,
	failure: z.string().optional(),
});
export type ConsensusStatus = z.infer<typeof ConsensusStatus>;

/** Outcome of a proposed command. With `unknown`, the command may or may not be committed later. */
export type ProposeOutcome<Result> =
	| {readonly kind: 'committed'; readonly index: number; readonly result: Result}
	| {readonly kind: 'not-leader'; readonly leaderId?: string}
	| {readonly kind: 'unknown'};

const operation = {requestId: z.string().min(1).max(128), author: z.string().min(1).max(256)};
const digest = z.string().min(1).max(128);

/** Identifies one attempt to send a non-idempotent request; `attempt` must be unique for every send. */
const attemptFields = {
	customer: z.string().min(1), key: z.string().min(1).max(256), host: z.string().min(1), attempt: z.string().min(1),
};

/** A target's answer, which is replayed to a caller that sends the same request again. */
export const RequestOutcome = z.object({
	status: z.int().min(100).max(599),
	headers: z.record(z.string(), z.string()),
	body: Bytes.refine(body => body.length <= MAX_OUTCOME_BODY_BYTES, `at most ${MAX_OUTCOME_BODY_BYTES} bytes`),
});
export type RequestOutcome = z.infer<typeof RequestOutcome>;

/** Time elapsed on the leader since its previous command with this field; set by the leader. */
const elapsedMs = count.default(0);

/** A process of a target that has left, and the time of day of its leaving. Processes of the target that started earlier have left too. */
export const TargetDeparture = z.object({targetId: z.string().min(1), startedAtMs: count, leftAtMs: count});
export type TargetDeparture = z.infer<typeof TargetDeparture>;

/** Evidence that targets end under a key of requests. Its times are times of day, since it outlasts the processes that have seen the ends. */
export const StoredCrash = z.object({
	key: z.string(),
	/** How specific the key is. */
	rank: count,
	/** Lifetimes of targets that ended, and the times of their ends. */
	ends: z.array(z.tuple([z.string(), count])).max(MAX_STORED_ENDS),
	/** Last answer that proved the key harmless. */
	provenAtMs: count.optional(),
	probeCount: count,
	probedAtMs: count.optional(),
	arrivedAtMs: count,
});
export type StoredCrash = z.infer<typeof StoredCrash>;

/** Requests of each customer in one window of time; the counts of a settled window never change. */
export const SettledWindow = z.object({window: count, counts: z.array(z.tuple([z.string(), count])).max(MAX_USAGE_CUSTOMERS)});
export type SettledWindow = z.infer<typeof SettledWindow>;

/** Windows up to `settledThrough` are settled; the provider has confirmed them except for those in the list, oldest first. */
export const UsageState = z.object({settledThrough: z.int().min(-1), unconfirmed: z.array(SettledWindow)});
export type UsageState = z.infer<typeof UsageState>;

const engineCountFields = {service: z.string(), zone: z.string(), count};

/** Number of engines last ordered for a service in a zone, and whether the provider has accepted the order. */
export const EngineCount = z.object({...engineCountFields, isAccepted: z.boolean()});
export type EngineCount = z.infer<typeof EngineCount>;

/** Commands that change the replicated state of the fleet. */
export const FleetCommand = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('apply'), document: ConfigDocument, follows: count, digest, ...operation,
	}),
	z.object({kind: z.literal('withdrawKey'), keyId: z.string(), ...operation}),
	z.object({
		kind: z.literal('setZoneState'), zone: z.string(), state: ZoneState, ...operation,
	}),
	z.object({kind: z.literal('addMember'), member: PeerHost, ...operation}),
	z.object({kind: z.literal('removeMember'), memberId: z.string(), ...operation}),
	z.object({
		kind: z.literal('record'), fingerprint: z.string().min(1), elapsedMs, ...attemptFields,
	}),
	z.object({
		kind: z.literal('outcome'), outcome: RequestOutcome, elapsedMs, ...attemptFields,
	}),
	z.object({kind: z.literal('release'), ...attemptFields}),
	z.object({
		kind: z.literal('grantLease'), zone: z.string(), host: z.string(), ttlMs: z.int().positive(),
	}),
	/** Ignored unless its version is higher than the stored one; a stored version's content never changes. */
	z.object({kind: z.literal('putTraffic'), traffic: TrafficSource}),
	/** `follows`: number of orders for the zone when this one was given; refused if another one has changed the zone since. */
	z.object({
		kind: z.literal('setZoneService'), zone: z.string(), isInService: z.boolean(), follows: count.optional(),
	}),
	z.object({kind: z.literal('setEntryHosts'), hostIds: z.array(z.string())}),
	z.object({kind: z.literal('recordDeparture'), departure: TargetDeparture}),
	/** Replaces all evidence; only a leader that has applied all earlier entries proposes it, at itself. */
	z.object({kind: z.literal('setCrashes'), crashes: z.array(StoredCrash).max(MAX_STORED_CRASHES)}),
	/** Settles windows in ascending order; windows that are settled already stay as they are. */
	z.object({kind: z.literal('settleUsage'), windows: z.array(SettledWindow).max(MAX_SETTLED_AT_ONCE)}),
	z.object({kind: z.literal('confirmUsage'), window: count}),
	z.object({kind: z.literal('orderEngines'), ...engineCountFields}),
	/** Ignored unless it names the last ordered count. */
	z.object({kind: z.literal('acceptEngines'), ...engineCountFields}),
]);
export type FleetCommand = z.infer<typeof FleetCommand>;
export type FleetCommandOf<Kind extends FleetCommand['kind']> = Extract<FleetCommand, {kind: Kind}>;

/** The right to manage a zone; `epoch` is a fencing token that increases with every change of holder. */
export const ZoneLease = z.object({host: z.string(), epoch: z.int().positive()});
export type ZoneLease = z.infer<typeof ZoneLease>;

/** Result of applying a fleet command. */
export const FleetResult = z.discriminatedUnion('kind', [
	/** `author` is the operator whose change was accepted first, also if another operator repeats it. */
	z.object({
		kind: z.literal('accepted'), version: count, digest: z.string(), author: z.string(),
	}),
	/** The document was based on another version than the one in force, which is returned. */
	z.object({
		kind: z.literal('conflict'), version: count, digest: z.string(), author: z.string(),
	}),
	z.object({kind: z.literal('refused'), code: z.string(), message: z.string()}),
	/** No earlier send is recorded, so the request may be sent. */
	z.object({kind: z.literal('new')}),
	z.object({kind: z.literal('known'), outcome: RequestOutcome}),
	/** An earlier send has no recorded outcome, so the request may have run. */
	z.object({kind: z.literal('pending')}),
	z.object({kind: z.literal('key-reused')}),
	z.object({kind: z.literal('recorded')}),
	z.object({kind: z.literal('released')}),
	z.object({kind: z.literal('no-record')}),
	z.object({kind: z.literal('lease'), ...ZoneLease.shape}),
	z.object({kind: z.literal('traffic'), version: count}),
	z.object({kind: z.literal('zone-service'), zonesOut: z.array(z.string())}),
	z.object({kind: z.literal('entry-hosts'), hostIds: z.array(z.string())}),
	z.object({kind: z.literal('departed')}),
	z.object({kind: z.literal('crashes')}),
	z.object({kind: z.literal('usage'), settledThrough: z.int().min(-1)}),
	z.object({kind: z.literal('engine-counts')}),
]);
export type FleetResult = z.infer<typeof FleetResult>;

const changeFields = {version: z.int().positive(), digest: z.string(), author: z.string()};

/** Changed entries of one list of the document: `set` holds those added or replaced, `removed` the ids of those removed. */
export const ListChange = z.object({set: z.array(z.unknown()), removed: z.array(z.string())});
export type ListChange = z.infer<typeof ListChange>;

/** An accepted version, as a patch to the previous version or as a full document. */
export const ConfigChange = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('document'), document: ConfigDocument, ...changeFields}),
	z.object({
		kind: z.literal('patch'), lists: z.record(z.string(), ListChange), values: z.record(z.string(), z.unknown()), ...changeFields,
	}),
]);
export type ConfigChange = z.infer<typeof ConfigChange>;

/** The configuration in force; at version 0 there is no document. */
export const FleetConfig = z.object({
	version: count, digest: z.string(), author: z.string(), document: ConfigDocument.optional(),
});
export type FleetConfig = z.infer<typeof FleetConfig>;

/** Brings a follower to the version in force. */
export const ConfigUpdate = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('changes'), changes: z.array(ConfigChange)}),
	z.object({kind: z.literal('snapshot'), config: FleetConfig}),
]);
export type ConfigUpdate = z.infer<typeof ConfigUpdate>;

export const AtMostOnceRecord = z.object({
	fingerprint: z.string(),
	host: z.string(),
	attempt: z.string(),
	/** Log time of the record. */
	recordedMs: count,
	outcome: RequestOutcome.optional(),
});
export type AtMostOnceRecord = z.infer<typeof AtMostOnceRecord>;

/** Records in buckets by the hash of customer and key, so that an immutable update copies only one bucket. */
export const RecordTable = z.array(z.record(z.string(), AtMostOnceRecord));
export type RecordTable = z.infer<typeof RecordTable>;

export const OperatorAnswer = z.object({requestId: z.string(), fingerprint: z.string(), result: FleetResult});
export type OperatorAnswer = z.infer<typeof OperatorAnswer>;

export const MemberRequest = z.object({id: z.string(), wish: z.enum(['voter', 'absent']), host: PeerHost.optional()});
export type MemberRequest = z.infer<typeof MemberRequest>;

/** The complete replicated state of the fleet. */
export const FleetSnapshot = z.object({
	config: FleetConfig,
	changes: z.array(ConfigChange),
	answers: z.array(OperatorAnswer),
	records: RecordTable,
	leases: z.record(z.string(), ZoneLease),
	members: z.array(MemberRequest),
	/** The traffic configuration in force. */
	traffic: TrafficSource.optional(),
	/** Zones out of service: their targets receive no new requests. */
	zonesOut: z.array(z.string()).default([]),
	/** Number of applied orders for each zone, without those of older builds. */
	zoneOrders: z.record(z.string(), count).default({}),
	/** Entry hosts, each of which may hold a leased share of the rate limits. */
	entryHosts: z.array(z.string()).default([]),
	/** Processes of targets that left a short time ago, the last one to leave at the end. */
	departures: z.array(TargetDeparture).default([]),
	/** Evidence on what ends targets. */
	crashes: z.array(StoredCrash).default([]),
	/** Usage that is reported to the provider. */
	usage: UsageState.default({settledThrough: -1, unconfirmed: []}),
	/** Last ordered engine counts. */
	engineCounts: z.array(EngineCount).default([]),
	/** Sum of the elapsed times in commands; never advances faster than real time. */
	logTimeMs: count,
});
export type FleetSnapshot = z.infer<typeof FleetSnapshot>;
