/** A permit of the weight store, given back when the load has ended. */
export type LoadPermit = {readonly release: () => Promise<void>};

/** Asks the owner of the weight store's budget for permits; the daemon connects it to `LoadBudget`. */
export abstract class LoadPermits {
	/** Waits for a permit, at most for the given time. */
	abstract acquire(kind: 'model' | 'adapter', urgent: boolean, timeoutMs: number, signal: AbortSignal): Promise<LoadPermit | undefined>;
}
