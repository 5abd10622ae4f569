import type {TargetAddress, Verdict} from '@egretrill/common';
import type {Result} from 'true-myth';

/** What a request needs from a target. */
export type TargetRequirements = {
	readonly requestId: string;
	readonly customer?: string;
	readonly kind: 'engine' | 'service';
	readonly model?: string;
	readonly adapter?: string;
	readonly service?: string;
	readonly prompt: string;
	/** The start that must be used, when a begun answer is resumed. */
	readonly startId?: string;
	readonly excluded: ReadonlySet<string>;
	readonly timeoutMs: number;
};

/** How an exchange with a target ended, as far as the choice of targets cares. */
export type TargetOutcome = 'completed' | 'failed' | 'unreachable' | 'cancelled';

/** A target that was chosen for one request. */
export abstract class ChosenTarget {
	abstract readonly address: TargetAddress;
	/** Whether the request uses a permit for a cold target. */
	abstract readonly hasPermit: boolean;
	/** False once the target leaves, restarts or its zone is taken out. */
	abstract isAvailable(): boolean;
	/** True while the process that was chosen still announces itself, even if it takes no new work. */
	abstract isProcessAlive(): boolean;
	/** Whether the process that was chosen has ended, which a refused connection shows before its announcements expire. */
	abstract hasEnded(): Promise<boolean>;
	/** Notes the time until the first part of the answer. */
	abstract recordFirstToken(elapsedMs: number): void;
	/** Says how the exchange ended; must be called exactly once. */
	abstract release(outcome: TargetOutcome): void;
}

/** Chooses targets for requests. */
export abstract class TargetPool {
	/** Requests that the targets of a model can take beyond those that run now. */
	abstract getFreeSlots(model: string): number;
	abstract choose(want: TargetRequirements, signal: AbortSignal): Promise<Result<ChosenTarget, Verdict>>;
}
