import type {Announcement} from '@egretrill/common';
import {z} from 'zod';

/** Options of a stand-in engine. */
export const EngineOptions = z.object({
	targetId: z.string(),
	zone: z.string(),
	/** Target addresses of the hosts to which it announces itself. */
	hosts: z.array(z.string()),
	port: z.int().default(0),
	memoryMb: z.number().default(48_000),
	slots: z.int().default(8),
	prefillMs: z.number().default(20),
	tokenIntervalMs: z.number().default(10),
	honoursFencing: z.boolean().default(true),
	checksResidency: z.boolean().default(true),
	modelLoadMs: z.number().default(500),
	/** Address of a weight store from which models are loaded; without one a load takes `modelLoadMs`. */
	weightStore: z.string().optional(),
	adapterLoadMs: z.number().default(8),
	resident: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string()).default([])})).default([]),
	/** Memory in MB of each model and adapter, with the KV reserve included for models. */
	sizesMb: z.record(z.string(), z.number()).default({}),
	/** Completed requests after which the engine is warm; a cold engine fails requests above `coldSlots`. */
	warmAfterRequests: z.int().default(0),
	coldSlots: z.int().default(2),
});
export type EngineOptions = z.infer<typeof EngineOptions>;

/** Faults that tests and the demo inject into a running stand-in. */
export const Faults = z.object({
	/** Closes the connection after this number of chunks of the next streamed answer, which clears all faults. */
	breakAfterChunks: z.int().optional(),
	/** Stops sending, heartbeats included, after this number of chunks without closing the connection. */
	muteAfterChunks: z.int().optional(),
	/** Sends only heartbeats after this number of chunks until this fault is cleared. */
	holdAfterChunks: z.int().optional(),
	/** Runs the call and holds back its answer until this fault is cleared. */
	holdAnswer: z.boolean().optional(),
	/** Sends this chunk with the id of another request. */
	crossAtChunk: z.int().optional(),
	/** Kills the process on requests whose prompt contains this text. */
	crashOn: z.string().optional(),
	/** Runs the call and closes the connection instead of answering. */
	loseAnswer: z.boolean().optional(),
	/** Pads the text of each chunk to this number of characters. */
	chunkLength: z.int().optional(),
	/** Sends tokens without a pause between them. */
	isFast: z.boolean().optional(),
	prefillMs: z.number().optional(),
	cold: z.boolean().optional(),
	leaving: z.boolean().optional(),
	dropOrders: z.boolean().optional(),
});
export type Faults = z.infer<typeof Faults>;

/** One request as a stand-in received it, with its outcome. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly body: unknown;
	/** Wall-clock time, for comparison with log lines of other processes. */
	readonly atMs: number;
	outcome: 'running' | 'completed' | 'not-answered';
	sentChunks: number;
};

/** Anything that announces itself to hosts. */
export type Announcer = {readonly getAnnouncement: () => Announcement; readonly hosts: readonly string[]};

const eventFields = {
	/** Milliseconds of the system's monotonic clock, which all processes of one machine share. */
	atMs: z.number(),
	targetId: z.string(),
	startId: z.string(),
	zone: z.string(),
};

/** Events that a stand-in emits about its own work, for checks over a recorded history. */
export const TargetEvent = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('run-begun'),
		...eventFields,
		requestId: z.string(),
		/** The caller's id of this attempt, from the header `x-attempt`. */
		attempt: z.string(),
		bodyDigest: z.string(),
		/** Number of chunks that an earlier run of the request delivered. */
		resumeFrom: z.int(),
		/** Whether any header contains a caller's key. */
		seesKey: z.boolean(),
		/** Number of running requests, this one included, and of requests completed since the start. */
		running: z.int(),
		completed: z.int(),
		limit: z.int(),
		isCold: z.boolean(),
	}),
	z.object({
		kind: z.literal('run-ended'), ...eventFields, requestId: z.string(), chunks: z.int(), isComplete: z.boolean(),
	}),
	z.object({kind: z.literal('collapsed'), ...eventFields, requestId: z.string()}),
	z.object({kind: z.literal('leaving'), ...eventFields}),
	z.object({
		kind: z.literal('memory'), ...eventFields, usedMb: z.number(), limitMb: z.number(),
	}),
]);
export type TargetEvent = z.infer<typeof TargetEvent>;
