import {
	parseInParts, Registration, RepeatedMessages, TargetId,
} from '@egretrill/common';
import {Result} from 'true-myth';
import {z} from 'zod';
import {MAX_TARGETS} from './constants.js';

/** A registered target as control hosts exchange it. */
export const RegisteredTarget = z.object({
	registration: Registration,
	/** Time since the registration was received by a control host. */
	ageMs: z.number().nonnegative(),
	hasEnded: z.boolean(),
});
const TargetState = RegisteredTarget.omit({registration: true});
export type RegisteredTarget = z.infer<typeof RegisteredTarget>;

const IdentifiedTarget = z.object({registration: z.object({targetId: TargetId})});

/** Returns the id of an entry that is otherwise invalid, or an empty string. */
function readTargetId(entry: unknown): string {
	const parsed = IdentifiedTarget.safeParse(entry);
	return parsed.success ? parsed.data.registration.targetId : '';
}

/** Registrations of the updates that this process receives, most of which repeat earlier ones. */
const registrations = new RepeatedMessages(message => {
	const parsed = parseInParts(Registration, message);
	return 'faults' in parsed ? Result.err(parsed.faults) : Result.ok(parsed.data as Registration);
});

function readTarget(entry: unknown): RegisteredTarget | undefined {
	const state = TargetState.safeParse(entry);
	if (!state.success) {
		return undefined;
	}

	const {registration} = entry as {readonly registration?: unknown};
	const {targetId} = (registration ?? {}) as {readonly targetId?: unknown};
	return registrations.read(String(targetId), registration).map(read => ({...state.data, registration: read})).unwrapOr(undefined);
}

/** Validates each entry by itself, so that an invalid one costs only itself. */
function readTargets(entries: readonly unknown[]): {readonly valid: RegisteredTarget[]; readonly invalid: unknown[]} {
	const valid: RegisteredTarget[] = [];
	const invalid: unknown[] = [];
	for (const entry of entries) {
		const target = readTarget(entry);
		if (target) {
			valid.push(target);
		} else {
			invalid.push(entry);
		}
	}

	return {valid, invalid};
}

/** A cold target that a host wants to send a request to, and what the target bears of all hosts per second. */
export const ColdWant = z.object({targetId: TargetId, perSecond: z.number().nonnegative()});
export type ColdWant = z.infer<typeof ColdWant>;

/**
 * Changes of a registry since a given revision. Entries that are invalid here, which a host of another version may accept and pass on, are skipped; an error
 * would make the whole update unreadable for as long as one of them is registered.
 */
export const RegistryUpdate = z.object({
	/** Identifies the registry that the revision belongs to. */
	origin: z.string(),
	revision: z.int().nonnegative(),
	/** Whether the update contains every target; all others are then removed. */
	isWhole: z.boolean(),
	targets: z.array(z.unknown()).max(MAX_TARGETS),
}).transform(({targets, ...update}) => {
	const {valid, invalid} = readTargets(targets);
	return {
		...update,
		targets: valid,
		/** Ids of the skipped entries, empty if unreadable; set by the reader. */
		...(invalid.length > 0 && {skippedIds: invalid.map(entry => readTargetId(entry))}),
	};
});
export type RegistryUpdate = z.infer<typeof RegistryUpdate>;

/** Number of requests that use an adapter of a target's model. */
export type AdapterUse = readonly [targetId: string, model: string, adapter: string, count: number];

/** Requirements of a request for its target. */
export type TargetRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Targets to which this request has already been sent. */
	readonly tried: ReadonlySet<string>;
	/** Leaves out targets that are silent now. */
	readonly avoidsSilent?: boolean;
};

/** Outcome of a request at its target: it answered, failed or refused the request, aborted the answer, could not be reached, was silent until another target took over, or was sent nothing. */
export type TargetOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable' | 'replaced' | 'unsent';

/** A slot for one request at a target, held until it is released with the outcome. */
export type AcquiredSlot = {
	readonly registration: Registration;
	readonly outstanding: number;
	readonly wasCold: boolean;
	/** Whether the target has announced that it leaves, or has left the registry, since the slot was acquired. */
	readonly isLeaving: () => boolean;
	readonly updateOutstanding: (count: number) => void;
	/** Ranks the target last for a while, since it is silent in the middle of its answer. */
	readonly reportSilence: () => void;
	/** Records that the target says in its answer that it leaves; no further request is sent to it. */
	readonly reportLeaving: () => void;
	/** Records that the target takes no requests for a time. */
	readonly reportPause: (pauseMs: number) => void;
	/** Records that something has arrived from the target, which ends its silence. */
	readonly recordActivity: () => void;
	readonly release: (outcome: TargetOutcome) => void;
};
