/** An engine sends a heartbeat each second, so three missed ones mean that the connection is lost. */
export const STREAM_HEARTBEAT_DEADLINE_MS = 3000;

/** Longest prefill of a live engine; heartbeats alone do not extend it. */
export const STREAM_PROGRESS_DEADLINE_MS = 60_000;

/** Time from the end marker to the end of the answer; the caller has its whole answer by then, so that only the kept connection is lost. */
export const STREAM_END_DEADLINE_MS = 1000;

export const STREAM_WATCHDOG_INTERVAL_MS = 250;
export const DONE_MARKER = '[DONE]';

/** Common HTTP servers close a connection that is idle for 5 s; a request written at that moment would fail. */
export const IDLE_CONNECTION_MS = 4000;

/** Idle connections kept to one engine; covers the streams of one host, so that a burst after a pause opens none. */
export const MAX_IDLE_ENGINE_CONNECTIONS = 256;
