export const HEARTBEAT_INTERVAL_MS = 1000;
export const PROMPT_TOKENS = 8;
export const SERVICE_CONCURRENCY_LIMIT = 64;
/** Interval at which held work checks whether the fault that holds it was cleared. */
export const HOLD_POLL_INTERVAL_MS = 5;
/** Number of the latest requests kept for tests; bounds the memory in long measurements, which send far more. */
export const MAX_RECORDED_REQUESTS = 4096;
