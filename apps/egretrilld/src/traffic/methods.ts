import {TrafficSource} from '@egretrill/common';
import {RegistryUpdate} from '@egretrill/engines';
import {defineDocumentMethod, defineMethod} from '@egretrill/hosts';
import {z} from 'zod';

const count = z.int().nonnegative();
const KnownRegistry = z.object({origin: z.string(), revision: count});
const Control = z.object({id: z.string(), zone: z.string().optional()});

/** What an entry host tells with each poll. */
export const EntryReport = z.object({
	hostId: z.string(),
	startId: z.string(),
	/** Requests of this host at each target. */
	running: z.array(z.tuple([z.string(), count])),
	/** Requests of this host that use an adapter: target, model, adapter, count. */
	adapters: z.array(z.tuple([z.string(), z.string(), z.string(), count])),
	/** Arrivals since the last poll: service, model, adapter or an empty text, count, milliseconds for which they will hold places together. */
	arrivals: z.array(z.tuple([z.string(), z.string(), z.string(), count, z.number()])),
	/** Requests that wait: service, model, those without a copy, those that found all copies full. */
	waiting: z.array(z.tuple([z.string(), z.string(), count, count])),
	rates: z.object({ackedSerial: count, standing: z.number(), demand: z.array(z.object({name: z.string(), perSecond: z.number(), meanCost: z.number()}))}),
});
export type EntryReport = z.infer<typeof EntryReport>;

const SyncRequest = z.object({
	report: EntryReport, configVersion: count, registry: KnownRegistry, waitMs: count,
});

/** What only the leader can tell. */
export const LeaderPlan = z.object({
	/** Requests of the other hosts at each target. */
	others: z.array(z.tuple([z.string(), count])),
	/** Models that no engine can serve yet: service, model, expected time in milliseconds until one can. */
	expected: z.array(z.tuple([z.string(), z.string(), z.number()])),
	rates: z.object({
		serial: count, standing: z.number(), leased: z.array(z.tuple([z.string(), z.number()])), hostCount: count,
	}),
});
export type LeaderPlan = z.infer<typeof LeaderPlan>;

const SyncResponse = z.object({
	leaderId: z.string().optional(),
	controls: z.array(Control),
	config: TrafficSource.optional(),
	zonesOut: z.array(z.string()),
	registry: RegistryUpdate,
	plan: LeaderPlan.optional(),
});
export type SyncResponse = z.infer<typeof SyncResponse>;

/** The poll by which entry hosts follow configuration, targets and their parts of rates. */
export const syncMethod = defineDocumentMethod('Traffic', 'sync', SyncRequest, SyncResponse);

/** Tells the leader of a model or adapter that a request needs now. */
export const requestAdapterMethod = defineMethod('Traffic', 'want', z.object({service: z.string(), model: z.string(), adapter: z.string().optional()}), z.object({
	/** Engine that holds the adapter now. */
	targetId: z.string().optional(),
}));

/** What a request costs of its customer's rate. */
export const RateLoan = z.object({customer: z.string(), cost: z.number().nonnegative()});
export type RateLoan = z.infer<typeof RateLoan>;

/** Spends from the leader's pools of customers' rates, with an answer for each loan; without answers the host asked does not lead. */
export const borrowMethod = defineMethod('Traffic', 'borrow', z.object({loans: z.array(RateLoan)}), z.object({
	answers: z.array(z.object({isGranted: z.boolean(), retryAfterMs: z.number()})).optional(),
}));

/** Exchanges registrations between control hosts. */
export const gossipMethod = defineMethod('Traffic', 'gossip', z.object({hostId: z.string(), zone: z.string(), registry: KnownRegistry}), z.object({
	registry: RegistryUpdate, zone: z.string(), memberIds: z.array(z.string()), leaderId: z.string().optional(),
}));

/** Reads the newest configuration at the leader; `isCurrent` is false when it cannot be sure. */
export const readTrafficMethod = defineDocumentMethod('Traffic', 'read', z.object({}), z.object({isCurrent: z.boolean(), traffic: TrafficSource.optional()}));
