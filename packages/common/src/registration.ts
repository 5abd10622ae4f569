import {z} from 'zod';
import {parseSocketAddress, SocketAddress} from './socket-address.js';

/**
 * Bounds of one registration. They stay far above what engines report (a few models, about 100 adapters, several hundred stored models), and a list of
 * registrations at these bounds stays within the limits of messages between hosts.
 */
const MAX_HELD_MODELS = 256;
const MAX_ADAPTERS = 1024;
const MAX_STORED_MODELS = 1024;
/** Bound of all models and adapters in the lists of one registration. */
const MAX_NAMES = 4096;
const MAX_SLOTS = 65_536;
/** Bound of the time for which a target stays slow after its start, one day. */
const MAX_COLD_MS = 86_400_000;
/** Bound of start times, so that one in microseconds does not count as newer than all others. */
const MAX_STARTED_AT_MS = Date.UTC(2100, 0, 1);

/** Name of a service, zone, model or adapter. */
const Name = z.string().regex(/^\P{C}{1,128}$/v, 'a name of 1 to 128 printable characters');

/** Id of a target, which is sent to it in a header. */
export const TargetId = z.string().regex(/^[!-~]{1,128}$/v, 'an id of 1 to 128 printable ASCII characters without spaces');

/** Address of a target. A connection to an unspecified address would reach this host instead. */
const TargetAddress = SocketAddress.refine(address => parseSocketAddress(address)?.host !== '0.0.0.0', 'the address of one host');

/** A model that is loaded in an engine, with its resident adapters. */
export const HeldModel = z.object({name: Name, version: z.int(), adapters: z.array(Name).max(MAX_ADAPTERS)});
export type HeldModel = z.infer<typeof HeldModel>;

/** The models that are loaded in one engine. */
export const HeldModels = z.array(HeldModel).max(MAX_HELD_MODELS);

type NamedLists = {readonly models: readonly HeldModel[]; readonly inMemory: readonly string[]; readonly onDisk: readonly string[]};

function countNames({models, inMemory, onDisk}: NamedLists): number {
	let count = models.length + inMemory.length + onDisk.length;
	for (const {adapters} of models) {
		count += adapters.length;
	}

	return count;
}

/** What a target reports about itself when it registers. */
export const Registration = z.object({
	targetId: TargetId,
	/** Start time of the target's process, which distinguishes its lifetimes. */
	startedAtMs: z.int().nonnegative().max(MAX_STARTED_AT_MS),
	/** Increases with each registration within a lifetime. */
	sequence: z.int().nonnegative(),
	service: Name,
	address: TargetAddress,
	zone: Name,
	slots: z.int().positive().max(MAX_SLOTS),
	isLeaving: z.boolean(),
	/** Time after which a target that leaves is gone, if it says so. */
	leavesInMs: z.number().nonnegative().optional(),
	coldForMs: z.number().nonnegative().max(MAX_COLD_MS),
	models: HeldModels,
	/** Number of orders that the engine has accepted in this lifetime, if it reports it. */
	orderCount: z.int().nonnegative().optional(),
	/** Models whose weights the engine keeps in host memory and on disk. */
	inMemory: z.array(Name).max(MAX_STORED_MODELS),
	onDisk: z.array(Name).max(MAX_STORED_MODELS),
}).refine(registration => countNames(registration) <= MAX_NAMES, `at most ${MAX_NAMES} models and adapters in all lists`);
export type Registration = z.infer<typeof Registration>;

/** Values of a registration in a message besides its lists, with room for further fields. */
const BASE_VALUES = 40;
const VALUES_PER_MODEL = 7;

/** Returns an upper bound of the number of values that a registration adds to a message. */
export function countRegistrationValues(registration: Registration): number {
	return BASE_VALUES + (VALUES_PER_MODEL * registration.models.length) + countNames(registration);
}
