/** Start of a port range below the system's ephemeral ports, so that no other process is assigned a port between its choice and its use. */
export const FIRST_PORT = 20_000;
export const PORT_COUNT = 10_000;
export const START_TIMEOUT_MS = 20_000;
export const WAIT_TIMEOUT_MS = 20_000;
export const POLL_INTERVAL_MS = 25;
