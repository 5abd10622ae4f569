/** Tokens that a chat request reserves when it sets no `max_tokens`; a smaller burst would refuse every such request. */
export const MIN_BURST_TOKENS = 256;

/** Names the person behind a change; the credential alone does not tell operators apart. */
export const OPERATOR_HEADER = 'x-egretrill-operator';
export const DEFAULT_OPERATOR = 'operator';

export const SESSION_COOKIE = 'egretrill-console';

/** A working day, so that operators sign in once. */
export const SESSION_TTL_MS = 8 * 3_600_000;

/** 256 random bits, so that the digest of a key cannot be searched. */
export const KEY_SECRET_BYTES = 32;

/** Bounds the memory of sessions; the oldest one ends first. */
export const MAX_SESSIONS = 256;

/** Entries rendered before other tasks get a turn; a form of 3,100 accelerators would otherwise hold up streams and leases. */
export const ENTRIES_PER_YIELD = 25;
