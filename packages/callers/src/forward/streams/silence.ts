import type {Clock} from '@egretrill/common';
import {MIN_TIME_LEFT_TO_SEND_MS, STREAM_IDLE_TIMEOUT_MS} from '../constants.js';

/** Reason for cancelling the request at another target when the silent one goes on. */
export const STREAM_WENT_ON = 'The silent target has gone on.';

/** How long a stream has completed no event, apart from the time in which its caller accepted no data. */
export class Silence {
	private lastEventMs: number;
	private isWriting = false;
	private nextEvent: AbortController | undefined;

	constructor(private readonly clock: Clock) {
		this.lastEventMs = clock.now();
	}

	recordEvent(): void {
		this.lastEventMs = this.clock.now();
		this.nextEvent?.abort(STREAM_WENT_ON);
		this.nextEvent = undefined;
	}

	/** Suspends the measurement until `resume`, while the engine cannot send since its caller accepts no data. */
	suspend(): void {
		this.isWriting = true;
	}

	resume(): void {
		this.isWriting = false;
		this.lastEventMs = this.clock.now();
	}

	getDurationMs(): number {
		return this.isWriting ? 0 : this.clock.now() - this.lastEventMs;
	}

	/** Returns a signal that aborts at the next event. */
	getNextEventSignal(): AbortSignal {
		this.nextEvent ??= new AbortController();
		return this.nextEvent.signal;
	}
}

/** Time until a stream that has been silent for the duration is due to be offered to another target; at most 0 when it is due. */
export function getTimeUntilSwitchMs(silentMs: number): number {
	return STREAM_IDLE_TIMEOUT_MS - silentMs;
}

/** State of a request whose stream is silent. */
export type SwitchState = {
	readonly attempts: number;
	readonly maxAttempts: number;
	readonly hasRetry: boolean;
	readonly timeLeftMs: number;
	/** Id of the last event that the caller has; without one another target cannot know where to go on. */
	readonly lastEventId: number | undefined;
};

/** Whether a silent stream may be offered to another target. */
export function maySwitch({attempts, maxAttempts, hasRetry, timeLeftMs, lastEventId}: SwitchState): boolean {
	return attempts < maxAttempts && hasRetry && timeLeftMs >= MIN_TIME_LEFT_TO_SEND_MS && lastEventId !== undefined;
}
