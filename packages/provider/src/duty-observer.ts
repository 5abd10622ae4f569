import type {CallOutcome} from './types.js';

/** Receives events of the duties, for metrics. */
export abstract class DutyObserver {
	abstract recordCall(duty: 'usage' | 'engines', outcome: CallOutcome, tookMs: number): void;
	/** Records windows that were settled, and whether all hosts had reported them. */
	abstract recordSettled(windows: number, isComplete: boolean): void;
	/** Records the time from the end of a window to the confirmation of its report. */
	abstract recordConfirmed(delayMs: number): void;
	abstract setUnconfirmed(windows: number): void;
	abstract setOrderedEngines(service: string, zone: string, count: number): void;
}
