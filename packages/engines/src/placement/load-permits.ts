/** A permit to load from the weight store; `release` returns it without waiting for the answer. */
export type LoadPermit = {readonly release: () => void};

/** Requests permits from the owner of the weight store's budget; the daemon connects it to `LoadBudget`. */
export abstract class LoadPermits {
	/** Waits for a permit until the timeout. */
	abstract acquire(kind: 'model' | 'adapter', urgent: boolean, timeoutMs: number, signal: AbortSignal): Promise<LoadPermit | undefined>;
}
