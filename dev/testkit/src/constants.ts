/** Ports below the range from which the system hands out ports of its own, so that no other process takes one in between. */
export const FIRST_PORT = 20_000;
export const PORT_COUNT = 10_000;
export const START_TIMEOUT_MS = 20_000;
export const WAIT_TIMEOUT_MS = 20_000;
export const POLL_INTERVAL_MS = 25;
