import {z} from 'zod';
import {MAX_REPORTED_WINDOWS, MAX_WINDOW_CUSTOMERS} from './constants.js';

const count = z.int().nonnegative();

/** Requests of each customer that engines began to run. */
export const UsageCounts = z.array(z.tuple([z.string(), count])).max(MAX_WINDOW_CUSTOMERS);
export type UsageCounts = z.infer<typeof UsageCounts>;

/** Counts of one window; window k begins k times its length after the start of 1970. */
export const UsageWindow = z.object({window: count, counts: UsageCounts});
export type UsageWindow = z.infer<typeof UsageWindow>;

/** What an entry host reports in each poll, in full each time. */
export const UsageReport = z.object({
	/** Wall-clock time of the host when it sent the poll. */
	timeOfDayMs: z.number(),
	/** The windows before this one have ended, and all their counts that are not settled are in this report; absent until the host knows the time of the fleet. */
	completeBefore: count.optional(),
	windows: z.array(UsageWindow).max(MAX_REPORTED_WINDOWS + 1),
});
export type UsageReport = z.infer<typeof UsageReport>;

/** What the leader returns to an entry host. */
export const UsagePlan = z.object({
	fleetTimeMs: z.number(),
	windowMs: z.number().positive(),
	/** Last window whose counts are settled; -1 if none is. */
	settledThrough: z.int().min(-1),
});
export type UsagePlan = z.infer<typeof UsagePlan>;

/** Settings of the duties towards the provider. */
export const ProviderSettings = z.object({
	address: z.string().min(1),
	reportsUsage: z.boolean(),
	ordersEngines: z.boolean(),
	callsPerSecond: z.number().positive(),
	windowMs: z.number().positive(),
	/** Lease of the duties: time after which no earlier holder calls any more. */
	orderLeaseMs: z.number().positive(),
	/** Time after the end of a window in which its report must arrive. */
	reportDeadlineMs: z.number().positive(),
});
export type ProviderSettings = z.infer<typeof ProviderSettings>;

/** Identifies the host that calls the provider; the token increases with each change of the holder. */
export const DutyHolder = z.object({holder: z.string(), fencingToken: count});
export type DutyHolder = z.infer<typeof DutyHolder>;

/** Number of engines that a zone is to have. */
export const EngineOrder = z.object({service: z.string(), zone: z.string(), count});
export type EngineOrder = z.infer<typeof EngineOrder>;

/** An order as the log has it. */
export const RecordedOrder = EngineOrder.extend({isAccepted: z.boolean()});
export type RecordedOrder = z.infer<typeof RecordedOrder>;

/** Settled windows as the log has them. */
export type SettledUsage = {
	/** Last window whose counts are settled; -1 if none is. */
	readonly settledThrough: number;
	/** Settled windows that the provider has not confirmed, oldest first. */
	readonly unconfirmed: readonly UsageWindow[];
};

/** Outcome of a call: `limited` if the provider takes no more calls now, `unknown` if it may have taken effect, `not-sent` if it certainly has not. */
export type CallOutcome = 'accepted' | 'limited' | 'refused' | 'unknown' | 'not-sent';
