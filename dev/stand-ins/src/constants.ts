export const HEARTBEAT_INTERVAL_MS = 1000;
export const PROMPT_TOKENS = 8;
export const SERVICE_CONCURRENCY_LIMIT = 64;
/** How often held work looks whether it may go on. */
export const HOLD_POLL_INTERVAL_MS = 5;
/** Requests kept for tests; long measurements send far more. */
export const MAX_RECORDED_REQUESTS = 4096;
