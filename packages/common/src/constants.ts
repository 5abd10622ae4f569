/** Environment-independent limits shared by several packages. */
export const MAX_BODY_BYTES = 1_048_576;
export const MAX_MESSAGE_BYTES = 16_777_216;

/**
 * Values in one message between hosts. The schemas note each wrong value, which fills the memory when a message of MAX_MESSAGE_BYTES consists of them.
 * A zone of 148 engines with 100 adapters on each stays below 65,536, and a document with 610 models, 3,100 accelerators and 5,000 keys has 116,354.
 */
export const MAX_MESSAGE_VALUES = 65_536;
export const MAX_DOCUMENT_VALUES = 262_144;
/** Deeper messages come from no schema and can exhaust the stack of code that walks them. */
export const MAX_MESSAGE_DEPTH = 64;
/** Faults named in the error for a message that does not match its schema. */
export const MAX_DECODE_FAULTS = 3;

/** Largest whole answer that a host holds for one caller. */
export const MAX_ANSWER_BYTES = 4_194_304;

/** Found values longer than this are cut in faults. */
export const MAX_FOUND_LENGTH = 200;

/** Relative clock drift assumed between two hosts when one counts a lease granted by the other. */
export const CLOCK_DRIFT_RATIO = 0.01;

export const ANNOUNCE_INTERVAL_MS = 500;
export const ANNOUNCE_TTL_MS = 2000;

/** Lease of a zone's owner, counted by the owner from when it asked; a successor waits it out before its first order and its first permit. */
export const ZONE_LEASE_TTL_MS = 3000;

export const DEFAULT_KEY_LEASE_MS = 4000;
export const MIN_KEY_LEASE_MS = 1000;
export const MAX_KEY_LEASE_MS = 10_000;

export const VERDICT_HEADER = 'x-egretrill-verdict';
export const DEADLINE_HEADER = 'x-egretrill-deadline-ms';
export const REQUEST_ID_HEADER = 'x-request-id';
export const RESUME_HEADER = 'x-resume-from';
export const PRIORITY_HEADER = 'x-egretrill-priority';
export const TARGET_CONNECT_TIMEOUT_MS = 1000;
