import {
	Announcement, Model, Order, Placements, ResidentModel,
} from '@egretrill/common';
import {z} from 'zod';

/** The part of an announcement that placement reads. */
export const TargetReport = Announcement.pick({
	targetId: true, startId: true, memoryMb: true, resident: true, settledOrders: true, role: true,
});
export type TargetReport = z.infer<typeof TargetReport>;

export const EngineRole = Announcement.shape.role.unwrap();
export type EngineRole = z.infer<typeof EngineRole>;

/** An order together with the target it goes to. */
export const TargetOrder = z.object({targetId: z.string(), order: Order});
export type TargetOrder = z.infer<typeof TargetOrder>;

export const ReserveFailure = z.object({
	code: z.enum(['target-unknown', 'report-too-old', 'size-unknown', 'order-conflict', 'settling', 'memory-short']),
	reason: z.string(),
});
export type ReserveFailure = z.infer<typeof ReserveFailure>;

/** Known state of an order. Memory is counted as if an `open` order both had and had not been executed. */
export const OrderState = z.enum(['reserved', 'open', 'accepted', 'settled']);
export type OrderState = z.infer<typeof OrderState>;

export const LedgerEntry = z.object({
	order: Order,
	startId: z.string(),
	state: OrderState,
	expiresAtMs: z.number(),
	attempts: z.int(),
});
export type LedgerEntry = z.infer<typeof LedgerEntry>;

/** Memory of one target: `possibleMb` is the most that may be in use, whichever unsettled orders were executed. */
export const MemoryUse = z.object({memoryMb: z.number(), possibleMb: z.number(), freeMb: z.number()});
export type MemoryUse = z.infer<typeof MemoryUse>;

export const SettledOrder = z.object({orderId: z.string(), applied: z.boolean()});
export type SettledOrder = z.infer<typeof SettledOrder>;

/** Outcome of one attempt to deliver an order. */
export const SendOutcome = z.object({
	result: z.enum(['accepted', 'refused', 'stale-fencing', 'not-sent', 'unknown']),
	reason: z.string(),
});
export type SendOutcome = z.infer<typeof SendOutcome>;

/** Final outcome of an order. */
export const OrderResult = z.object({
	orderId: z.string(),
	targetId: z.string(),
	result: z.enum(['applied', 'not-applied', 'refused', 'not-reserved', 'lease-lost', 'unsettled']),
	reason: z.string(),
});
export type OrderResult = z.infer<typeof OrderResult>;

/** Arrivals per second for a model or one of its adapters at one host, refused requests included, and the requests that currently wait there for a slot. */
export const DemandReport = z.object({
	model: z.string(), adapter: z.string().optional(), quickPerS: z.number(), mediumPerS: z.number(), slowPerS: z.number(), waiting: z.int().nonnegative().default(0),
});
export type DemandReport = z.infer<typeof DemandReport>;

/** An adapter that a request needs on a target that holds its model. */
export const AdapterRequest = z.object({targetId: z.string(), model: z.string(), adapter: z.string()});
export type AdapterRequest = z.infer<typeof AdapterRequest>;

/** Whether a target holds a requested adapter, and the reason if it does not. */
export const AdapterLoadResult = z.object({isLoaded: z.boolean(), reason: z.string()});
export type AdapterLoadResult = z.infer<typeof AdapterLoadResult>;

export const DemandEstimate = z.object({
	model: z.string(),
	adapter: z.string().optional(),
	ratePerS: z.number(),
	sigmaPerS: z.number(),
	shifted: z.boolean(),
});
export type DemandEstimate = z.infer<typeof DemandEstimate>;

/** One resident copy in the input of planning. */
export const PlannedCopy = ResidentModel.extend({ageMs: z.number(), idleMs: z.number().default(0)});
export type PlannedCopy = z.infer<typeof PlannedCopy>;

export const PlannedTarget = z.object({
	targetId: z.string(),
	zone: z.string(),
	/** False for targets of other zones: their copies count, but they get no orders. */
	orderable: z.boolean(),
	memoryMb: z.number(),
	freeMb: z.number(),
	capacityPerS: z.number(),
	role: z.enum(['prefill', 'decode', 'mixed']),
	roleAgeMs: z.number(),
	/** True while an earlier move on this target is unfinished. */
	busy: z.boolean(),
	leaving: z.boolean(),
	copies: z.array(PlannedCopy),
	loading: z.array(ResidentModel),
});
export type PlannedTarget = z.infer<typeof PlannedTarget>;

export const PhaseLoad = z.object({prefillUtilisation: z.number(), decodeUtilisation: z.number()});
export type PhaseLoad = z.infer<typeof PhaseLoad>;

/** Number of requests for one model that wait for a slot. */
export const WaitingCount = z.object({model: z.string(), count: z.int()});
export type WaitingCount = z.infer<typeof WaitingCount>;

export const PlanInput = z.object({
	nowMs: z.number(),
	models: z.array(Model),
	placements: Placements,
	demand: z.array(DemandEstimate),
	targets: z.array(PlannedTarget),
	/** Requests for each model that currently wait for a slot. */
	waiting: z.array(WaitingCount).default([]),
	/** Loads that the weight store can start in this round. */
	loadSlots: z.int(),
	loadMs: z.number(),
	phase: PhaseLoad.optional(),
});
export type PlanInput = z.infer<typeof PlanInput>;

/** One step of a move; the steps run in order, each after the previous one has settled. */
export const MoveStep = z.discriminatedUnion('kind', [
	z.object({kind: z.enum(['load-model', 'unload-model']), model: z.string(), version: z.string()}),
	z.object({
		kind: z.enum(['load-adapter', 'unload-adapter']), model: z.string(), version: z.string(), adapter: z.string(),
	}),
	z.object({kind: z.literal('set-role'), role: z.enum(['prefill', 'decode', 'mixed'])}),
]);
export type MoveStep = z.infer<typeof MoveStep>;

export const MoveReason = z.enum([
	'no-copy', 'pinned', 'forbidden', 'new-version', 'old-version', 'not-configured', 'second-zone', 'unserved-demand', 'relocation', 'adapter-demand', 'role-short', 'static', 'on-demand',
]);
export type MoveReason = z.infer<typeof MoveReason>;

export const Move = z.object({
	targetId: z.string(), model: z.string(), reason: MoveReason, urgent: z.boolean(), steps: z.array(MoveStep),
});
export type Move = z.infer<typeof Move>;

/** Why a model was moved or kept in place, and the alternative that this was compared with. */
export const Explanation = z.object({
	model: z.string(),
	targetId: z.string().optional(),
	decision: z.enum(['move', 'keep', 'wait']),
	reason: z.string(),
	weighedAgainst: z.string(),
});
export type Explanation = z.infer<typeof Explanation>;

/** Demand for one model and the latest decisions of the zone owner about it, for `egretrill placement explain`. */
export const ModelExplanation = z.object({demandPerS: z.number(), explanations: z.array(Explanation)});
export type ModelExplanation = z.infer<typeof ModelExplanation>;

export const PlanRound = z.object({moves: z.array(Move), explanations: z.array(Explanation)});
export type PlanRound = z.infer<typeof PlanRound>;
