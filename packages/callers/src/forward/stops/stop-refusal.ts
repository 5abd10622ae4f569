import type {DurationBasis} from './decide-at-stop.js';

/** Step of a request at which a planned stop is checked. */
export type StopCheckpoint = 'arrival' | 'body' | 'send' | 'switch';

/** What was expected of a request during a planned stop, for logs. */
export type StopEstimate = {
	readonly checkpoint: StopCheckpoint;
	/** Time since the stop began. */
	readonly stopElapsedMs: number;
	readonly stopLeftMs: number;
	readonly expectedMs: number;
	readonly basis: DurationBasis;
	/** Number of observed durations of the route. */
	readonly observedCount: number;
	/** The most tokens that the request lets its target generate, if it names them. */
	readonly tokensOut?: number;
};

/** Why a request was refused or not sent again during a planned stop. */
export type StopRefusal = StopEstimate;
