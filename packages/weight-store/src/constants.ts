/** Lifetime of a model load permit that is not released: twice the 4.5 s of a load at full concurrency, rounded up. */
export const MODEL_PERMIT_TTL_MS = 10_000;

/** Lifetime of an adapter load permit that is not released. Adapter loads take 5-10 ms until the weight store saturates. */
export const ADAPTER_PERMIT_TTL_MS = 500;

/** Time for which a refused request stays queued; holders repeat it well before that. */
export const QUEUED_REQUEST_TTL_MS = 2000;

/** Share of the concurrent loads that speculative loads may use, so that permits remain for urgent ones. */
export const SPECULATIVE_RATIO = 0.5;

/** Shortest time after which a refused holder repeats its request. */
export const MIN_RETRY_MS = 20;
