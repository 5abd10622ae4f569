import {
	CrashAnswer, CrashRecord, CrashReport, QueueReport, ShortageFigures,
} from '@egretrill/callers';
import {Bytes, TrafficSource} from '@egretrill/common';
import {ColdWant, RegistryUpdate} from '@egretrill/engines';
import {defineDocumentMethod, defineListMethod, defineMethod} from '@egretrill/hosts';
import {UsagePlan, UsageReport} from '@egretrill/provider';
import {z} from 'zod';
import {MAX_COLD_WANTS, MAX_LEAVING_TARGETS} from './constants.js';
import {SpeedPlan, SpeedReport} from './speed-messages.js';

const count = z.int().nonnegative();
const KnownRegistry = z.object({origin: z.string(), revision: count});
/** Starts of targets that leave, as their answers say: target and start time. */
const LeavingTargets = z.array(z.object({targetId: z.string(), startedAtMs: count})).max(MAX_LEAVING_TARGETS);
const Control = z.object({id: z.string(), zone: z.string().optional()});

/** Report of an entry host in each poll. */
export const EntryReport = z.object({
	hostId: z.string(),
	startId: z.string(),
	/** Running requests of this host at each target. */
	running: z.array(z.tuple([z.string(), count])),
	/** Running requests of this host that use an adapter: target, model, adapter, count. */
	adapters: z.array(z.tuple([z.string(), z.string(), z.string(), count])),
	/** Arrivals since the last poll: service, model, adapter or an empty string, count, total milliseconds for which they are expected to occupy slots. */
	arrivals: z.array(z.tuple([z.string(), z.string(), z.string(), count, z.number()])),
	/** Waiting requests: service, model, number without a copy, number for which all copies were full. */
	waiting: z.array(z.tuple([z.string(), z.string(), count, count])),
	rates: z.object({ackedSerial: count, standing: z.number(), demand: z.array(z.object({name: z.string(), perSecond: z.number(), meanCost: z.number()}))}),
	/** Costs borrowed from customers' pools and not spent, each in one report only; hosts of earlier builds report none. */
	unspent: z.array(z.tuple([z.string(), z.number().nonnegative()])).optional(),
	/** Targets that have told this host that they leave; hosts of earlier builds report none. */
	leaving: LeavingTargets.optional(),
	/** Evidence on what ends targets; hosts of earlier builds report none. */
	crashes: CrashReport.optional(),
	/** Observations on the speeds of targets; absent without targets that report their current speed. */
	speeds: SpeedReport.optional(),
	/** Requests of each customer by window; hosts of earlier builds report none. */
	usage: UsageReport.optional(),
	/** What waits at this host by kind, and the slots that it got; hosts of earlier builds report none. */
	queue: QueueReport.optional(),
});
export type EntryReport = z.infer<typeof EntryReport>;

const SyncRequest = z.object({
	report: EntryReport, configVersion: count, registry: KnownRegistry, waitMs: count,
	/** Whether the host receives configurations in parts; hosts of earlier builds expect them in the answer. */
	receivesParts: z.boolean().optional(),
});

/** The part of the leader's state that it returns to an entry host. */
export const LeaderPlan = z.object({
	/** Running requests of the other entry hosts at each target. */
	others: z.array(z.tuple([z.string(), count])),
	/** Models that no engine can serve yet: service, model, expected milliseconds until one can. */
	expected: z.array(z.tuple([z.string(), z.string(), z.number()])),
	rates: z.object({
		serial: count, standing: z.number(), leased: z.array(z.tuple([z.string(), z.number()])), hostCount: count,
	}),
	crashes: CrashAnswer.optional(),
	/** Targets that have told some host that they leave. */
	leaving: LeavingTargets.optional(),
	/** Speeds of targets that this host has not received yet. */
	speeds: SpeedPlan.optional(),
	/** Absent unless the leader reports usage to the provider. */
	usage: UsagePlan.optional(),
	/** Figures of all hosts for models in shortage; leaders of earlier builds send none. */
	shortage: ShortageFigures.optional(),
});
export type LeaderPlan = z.infer<typeof LeaderPlan>;

const SyncResponse = z.object({
	leaderId: z.string().optional(),
	controls: z.array(Control),
	/** Log entry up to which `config` and `zonesOut` are complete; absent while the host replays its log. */
	stateIndex: count.optional(),
	config: TrafficSource.optional(),
	/** Version in force if it is newer and the host receives it in parts. */
	configVersion: count.optional(),
	zonesOut: z.array(z.string()),
	/** Stored evidence on what ends targets, for a host without a configuration; hosts of earlier builds send none. */
	crashes: z.array(CrashRecord).optional(),
	registry: RegistryUpdate,
	/** Version that the leader has confirmed as in force, and the time since then; hosts of earlier builds do not tell. */
	confirmed: z.object({version: count, ageMs: z.number().nonnegative()}).optional(),
	/** Number of entry hosts in the log; hosts of earlier builds do not tell. */
	entryHostCount: count.optional(),
	plan: LeaderPlan.optional(),
});
export type SyncResponse = z.infer<typeof SyncResponse>;

/** Long poll of an entry host for the configuration, the targets and its rate allocations. */
export const syncMethod = defineListMethod('Traffic', 'sync', SyncRequest, SyncResponse);

/** Asks for the part of a version that begins at an offset; version 0 stands for the version in force. */
const ConfigPartRequest = z.object({version: count, offset: count});
export type ConfigPartRequest = z.infer<typeof ConfigPartRequest>;

/** Part of the UTF-8 text of a configuration. */
const ConfigPart = z.object({
	version: count,
	/** Position of the part in the text, and the length of the whole text, in bytes. */
	offset: count,
	totalBytes: count,
	deflated: Bytes,
});
export type ConfigPart = z.infer<typeof ConfigPart>;

/** Reads a part of a configuration; a host without one, or that is replaying its log, returns none. */
export const configPartMethod = defineMethod('Traffic', 'config-part', ConfigPartRequest, z.object({part: ConfigPart.optional()}));

/** Exchanges evidence on what ends targets with the leader between two polls; a host that is not the leader returns none. */
export const crashMethod = defineMethod('Traffic', 'crashes', CrashReport, z.object({answer: CrashAnswer.optional()}));

/** Requests a model or adapter from the leader; the answer follows once the adapter is loaded. */
export const requestAdapterMethod = defineMethod('Traffic', 'want', z.object({service: z.string(), model: z.string(), adapter: z.string().optional()}), z.object({
	/** Engine that holds the adapter. */
	targetId: z.string().optional(),
}));

/** Cost of a request to be spent from its customer's rate. */
export const RateLoan = z.object({customer: z.string(), cost: z.number().nonnegative()});
export type RateLoan = z.infer<typeof RateLoan>;

/** Spends from the leader's pools of customers' rates and returns one answer per loan; a host that is not the leader returns none. */
export const borrowMethod = defineMethod('Traffic', 'borrow', z.object({loans: z.array(RateLoan)}), z.object({
	answers: z.array(z.object({isGranted: z.boolean(), retryAfterMs: z.number()})).optional(),
}));

/** Requests one send to each of some cold targets; returns those that it is granted for. A host that is not the leader grants none. */
export const coldSendMethod = defineMethod('Traffic', 'cold-sends', z.object({wants: z.array(ColdWant).max(MAX_COLD_WANTS)}), z.object({
	grantedIds: z.array(z.string()),
}));

/** Whether a host reads the log entries of the duties towards the provider; one of an earlier build would end at them. */
const readsDuties = z.boolean().optional();

/** Exchanges registrations, members and the current leader between control hosts. The whole registry has as many values as a configuration document. */
export const gossipMethod = defineListMethod('Traffic', 'gossip', z.object({
	hostId: z.string(), zone: z.string(), registry: KnownRegistry, readsDuties,
}), z.object({
	registry: RegistryUpdate,
	/** Whether the registry is complete; hosts of earlier builds do not tell. */
	isRegistrySettled: z.boolean().optional(),
	readsDuties,
	/** Version in force if the host leads with a majority; hosts of earlier builds do not tell. */
	confirmedVersion: count.optional(),
	zone: z.string(),
	memberIds: z.array(z.string()),
	leaderId: z.string().optional(),
}));

/** Reads the number of applied orders for a zone from the leader; a host that cannot confirm it returns none. */
export const readZoneOrdersMethod = defineMethod('Traffic', 'zone-orders', z.object({zone: z.string()}), z.object({orderCount: count.optional()}));

/** Ends a process of a target at another control host; without a start time, only asks which process that host knows as running. */
export const departMethod = defineMethod('Traffic', 'depart', z.object({targetId: z.string(), startedAtMs: count.optional()}), z.object({startedAtMs: count.optional()}));

/** Reads the latest configuration from the leader; `isCurrent` is false if the host cannot confirm that it is the latest. */
export const readTrafficMethod = defineDocumentMethod('Traffic', 'read', z.object({}), z.object({isCurrent: z.boolean(), traffic: TrafficSource.optional()}));
