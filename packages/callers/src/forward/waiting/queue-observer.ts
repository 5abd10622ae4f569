import type {WaitReason} from './wait-forecast.js';

/** How a request that found no free slot left the queue. */
export type WaitEnd = {
	readonly reason: WaitReason;
	readonly outcome: 'served' | 'refused';
	readonly waitedMs: number;
	/** Wait that was expected when the request arrived; undefined if it was unknown. */
	readonly forecastMs: number | undefined;
};

/** Receives events of a queue. */
export abstract class QueueObserver {
	abstract recordWaitEnd(end: WaitEnd): void;
}
