import type {TargetAddress, Verdict} from '@egretrill/common';
import type {Result} from 'true-myth';

/** What a request requires of a target. */
export type TargetRequirements = {
	readonly requestId: string;
	readonly customer?: string;
	readonly kind: 'engine' | 'service';
	readonly model?: string;
	readonly adapter?: string;
	readonly service?: string;
	readonly prompt: string;
	/** The target start that must be used to resume an answer. */
	readonly startId?: string;
	readonly excluded: ReadonlySet<string>;
	readonly timeoutMs: number;
};

/** How an exchange with a target ended, for the choice of targets. */
export type TargetOutcome = 'completed' | 'failed' | 'unreachable' | 'cancelled';

/** A target chosen for one request. */
export abstract class ChosenTarget {
	abstract readonly address: TargetAddress;
	/** Whether the request uses a permit for a cold target. */
	abstract readonly hasPermit: boolean;
	/** False once the target leaves or restarts, or its zone is taken out of service. */
	abstract isAvailable(): boolean;
	/** True while the chosen process still announces itself, even if it accepts no new requests. */
	abstract isProcessAnnounced(): boolean;
	/** Whether the chosen process has ended; a refused connection shows this before its announcements expire. */
	abstract hasEnded(): Promise<boolean>;
	/** Records the time to the first token of the answer. */
	abstract recordFirstToken(elapsedMs: number): void;
	/** Releases the target with the outcome of the exchange; must be called exactly once. */
	abstract release(outcome: TargetOutcome): void;
}

/** Chooses targets for requests. */
export abstract class TargetPool {
	/** Number of requests that the targets of a model can accept in addition to those running. */
	abstract getFreeSlots(model: string): number;
	abstract choose(requirements: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>>;
}
