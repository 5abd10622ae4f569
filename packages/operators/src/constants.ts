/** Tokens that a chat request without `max_tokens` reserves. With a smaller burst every such request would be refused. */
export const MIN_BURST_TOKENS = 256;

/** Header with the name of the operator who makes a change, because all operators share one credential. */
export const OPERATOR_HEADER = 'x-egretrill-operator';
export const DEFAULT_OPERATOR = 'operator';

export const SESSION_COOKIE = 'egretrill-console';

/** 8 hours, a working day, so that operators sign in once a day. */
export const SESSION_TTL_MS = 8 * 3_600_000;

/** 256 random bits, so that a key cannot be found from its digest by brute force. */
export const KEY_SECRET_BYTES = 32;

/** Limits the memory used by sessions; a new session beyond it ends the oldest one. */
export const MAX_SESSIONS = 256;

/** Form entries rendered between two yields to the event loop; rendering 3,100 accelerators at once would block it and delay streams and lease renewals. */
export const ENTRIES_PER_YIELD = 25;
