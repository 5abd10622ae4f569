import {HeldModel} from '@egretrill/common';
import {z} from 'zod';

/** One change that an engine is ordered to make. */
export const LoadStep = z.object({
	kind: z.enum(['load-model', 'unload-model', 'load-adapter', 'unload-adapter']),
	model: z.string(),
	adapter: z.string().optional(),
});
export type LoadStep = z.infer<typeof LoadStep>;

/** An order to one engine, which refuses it if it has accepted another order in the meantime. */
export const LoadOrder = LoadStep.extend({
	holder: z.string(),
	/** Increases with each change of the host that sends orders. */
	fencingToken: z.int(),
	/** Orders that the engine has accepted so far. */
	expectedOrderCount: z.int(),
});
export type LoadOrder = z.infer<typeof LoadOrder>;

/** The outcome of sending an order; after `unknown` the engine may still execute it seconds later. */
export const LoadOrderOutcome = z.enum(['begun', 'done', 'conflict', 'refused', 'not-sent', 'unknown']);
export type LoadOrderOutcome = z.infer<typeof LoadOrderOutcome>;

/** State of an engine as it reports it on request. */
export const EngineReport = z.object({
	models: z.array(HeldModel),
	isBusy: z.boolean(),
	orderCount: z.int(),
});
export type EngineReport = z.infer<typeof EngineReport>;

/** Slots that the requests for a model occupy at a time, the requests that wait for a copy, and those that found all copies full. */
export const ModelDemand = z.object({
	model: z.string(), places: z.number(), waiting: z.number(), crowded: z.number().default(0),
	/** How long requests have been waiting for a first copy. */
	missingMs: z.number().default(0),
});
export type ModelDemand = z.infer<typeof ModelDemand>;

/** State of an engine that a plan of loads uses. */
export const PlannedEngine = z.object({
	targetId: z.string(),
	/** Whether it can accept an order now. */
	isFree: z.boolean(),
	weightsMb: z.number(),
	/** How fast it generates tokens relative to the mean of the service; unknown at first. */
	speed: z.number().positive().optional(),
	copies: z.array(z.object({model: z.string(), ageMs: z.number(), adapterCount: z.int()})),
	/** The model that a running move loads, and the models that it unloads. */
	loading: z.string().optional(),
	unloading: z.array(z.string()).default([]),
	/** Whether a running move unloads a model for an additional copy of another one. */
	isSwapping: z.boolean().default(false),
	inMemory: z.array(z.string()),
	onDisk: z.array(z.string()),
});
export type PlannedEngine = z.infer<typeof PlannedEngine>;

/** One change of what an engine holds: unloads first, then the load. */
export const LoadMove = z.object({
	targetId: z.string(), unload: z.array(z.string()), load: z.string(), reason: z.enum(['missing', 'crowded', 'absent']), fromStore: z.boolean(),
	/** Expected time until the model can serve, and the part of it that the load itself takes. */
	totalMs: z.number(),
	loadMs: z.number(),
	/** Request-seconds that are lost while it runs; only where engines differ in speed. */
	costRequestS: z.number().optional(),
});
export type LoadMove = z.infer<typeof LoadMove>;

/** Returns the speed of a target's process relative to the mean of its service (2 is twice as fast), or undefined while it is not known. */
export type GetTargetSpeed = (targetId: string, startedAtMs: number) => number | undefined;
