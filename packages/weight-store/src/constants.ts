/** A model load permit ends by itself after this time: twice the 4.5 s of a load at full concurrency, rounded up. */
export const MODEL_PERMIT_TTL_MS = 10_000;

/** Adapter loads take 5-10 ms under the knee. */
export const ADAPTER_PERMIT_TTL_MS = 500;

/** A refused request keeps its place in the queue this long; holders ask again well before. */
export const QUEUED_REQUEST_TTL_MS = 2000;

/** Share of the concurrent loads that speculative loads may use, so that an urgent one finds a place. */
export const SPECULATIVE_RATIO = 0.5;

/** Shortest time after which a refused holder asks again. */
export const MIN_RETRY_MS = 20;
