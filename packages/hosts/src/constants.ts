export const PEER_CALL_DEADLINE_MS = 1000;

/** A connection between hosts that answers no ping for this long is closed and opened anew. */
export const PEER_KEEPALIVE_INTERVAL_MS = 1000;
export const PEER_KEEPALIVE_TIMEOUT_MS = 1500;
export const PEER_RECONNECT_MIN_MS = 100;
export const PEER_RECONNECT_MAX_MS = 1000;

/** Longest time a parent holds a follow poll open while nothing changes. */
export const FOLLOW_WAIT_MS = 250;
export const FOLLOW_RETRY_MS = 100;
