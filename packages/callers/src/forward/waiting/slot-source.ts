import type {PromptPart, TargetLoad} from '../types.js';
import type {ExpectedWork} from './route-sizes.js';
import type {WaitReason} from './wait-forecast.js';

/** What a request requires of its target. */
export type SlotRequirements = {
	readonly service: string;
	readonly model?: string;
	readonly adapter?: string;
	readonly parts: readonly PromptPart[];
	/** Targets to which this request has already been sent. */
	readonly tried: ReadonlySet<string>;
	/** Leaves out targets that are silent now. */
	readonly avoidsSilent?: boolean;
	/** What the request is expected to take, for the choice of its target. */
	readonly work?: ExpectedWork;
	/** Number of requests that a full target may be sent beyond its slots, which wait in its own queue; below zero, the number of its slots that are left free. */
	readonly beyondSlots?: number;
};

/** The result of a request for the health of its target: it answered, it failed or refused the request, it broke off the result, it could not be reached, it was silent until another one took over, or nothing was sent to it. */
export type SlotOutcome = 'answered' | 'failed' | 'broke-off' | 'unreachable' | 'replaced' | 'unsent';

/** Room for one request at a target; `release` frees it. */
export type TargetSlot = {
	readonly targetId: string;
	readonly address: string;
	readonly zone: string;
	/** Start time of the target's process, which distinguishes its lifetimes. */
	readonly startedAtMs: number;
	/** Whether the target was still slow after its start when it was chosen. */
	readonly wasCold: boolean;
	/** Whether the target has announced that it leaves, or has left, since it was chosen. */
	readonly isLeaving: () => boolean;
	/** Time until the target is gone; undefined if it has not announced that. */
	readonly getLeaveLeftMs?: () => number | undefined;
	/** Known requests of all hosts outstanding at the target when it was chosen. */
	readonly outstanding: number;
	/** Records the load that the target reports with an answer. */
	readonly recordLoad: (load: TargetLoad) => void;
	/** Records the events of a stream after its first one, and the time that they took. */
	readonly recordStream: (events: number, durationMs: number) => void;
	/** Ranks the target last for a while, since it is silent in the middle of its answer. */
	readonly reportSilence: () => void;
	/** Records that the target says in its answer that it leaves; no further request is sent to it. */
	readonly reportLeaving: () => void;
	/** Records that the target takes no requests for a time. */
	readonly reportPause: (pauseMs: number) => void;
	/** Records that something has arrived from the target, which ends its silence. */
	readonly recordActivity: () => void;
	readonly release: (outcome: SlotOutcome) => void;
};

/** A slot, or the reason why none is available now. */
export type SlotResult =
	| {readonly kind: 'slot'; readonly slot: TargetSlot}
	/** `isCold` if the only targets with free slots are cold, for which the leader grants single sends. */
	| {readonly kind: WaitReason; readonly isCold?: boolean};

/** Finds slots at the known targets. */
export abstract class SlotSource {
	abstract findSlot(requirements: SlotRequirements): SlotResult;
	/** Requests the load of a model or adapter that no target can serve yet. */
	abstract requestLoad(requirements: SlotRequirements): void;
	/** Time until the first of the targets that take no requests for a time takes some again; undefined if there is none. */
	abstract getPauseLeftMs(requirements: SlotRequirements): number | undefined;
	/** Time until a model that is being loaded can serve; undefined when no load is in progress. */
	abstract getTimeUntilReadyMs(requirements: SlotRequirements): number | undefined;
}
