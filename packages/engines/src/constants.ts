/** An engine sends a heartbeat each second, so three missed ones mean that the connection is lost. */
export const STREAM_HEARTBEAT_DEADLINE_MS = 3000;

/** Longest prefill of a healthy engine; heartbeats alone do not extend the deadline. */
export const STREAM_PROGRESS_DEADLINE_MS = 60_000;

/** Time from the end marker to the end of the HTTP answer; the caller has its complete answer by then, so a timeout only costs the keep-alive connection. */
export const STREAM_END_DEADLINE_MS = 1000;

export const STREAM_WATCHDOG_INTERVAL_MS = 250;
export const DONE_MARKER = '[DONE]';

/** Idle time after which a connection is closed. Common HTTP servers close theirs after 5 s, and a request written at that moment would fail. */
export const IDLE_CONNECTION_MS = 4000;

/** Idle connections kept open to one engine. Covers the streams of one host, so that a burst after a pause opens no new connections. */
export const MAX_IDLE_ENGINE_CONNECTIONS = 256;

/** Timeout of a probe; a target that neither accepts nor refuses a connection within it may still be alive. */
export const PROBE_TIMEOUT_MS = 500;

/** A terminating process closes its listening socket within this time after its connections, so a probe connection that stays open longer has reached a live process. */
export const PROBE_CLOSE_WAIT_MS = 100;
export const PROBE_RETRY_MS = 20;
