/** A permit of the weight store; `release` gives it back and does not wait for the answer. */
export type LoadPermit = {readonly release: () => void};

/** Asks the owner of the weight store's budget for permits; the daemon connects it to `LoadBudget`. */
export abstract class LoadPermits {
	/** Waits for a permit, at most for the given time. */
	abstract acquire(kind: 'model' | 'adapter', urgent: boolean, timeoutMs: number, signal: AbortSignal): Promise<LoadPermit | undefined>;
}
