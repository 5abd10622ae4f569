import type {CallOutcome} from './types.js';

/** A call that is due. `send` makes one attempt; `record` takes its outcome. */
export type DueCall = {
	readonly duty: 'usage' | 'engines';
	readonly send: (mayWrite: () => boolean) => Promise<CallOutcome>;
	readonly record: (outcome: CallOutcome) => Promise<void>;
};

/** A duty of the holder towards the provider. */
export abstract class Duty {
	/** Brings the log up to date: decides what is to be sent, and records what has been confirmed. */
	abstract update(): Promise<void>;
	/** Returns the call that is due next according to the log. */
	abstract getDueCall(): DueCall | undefined;
}
