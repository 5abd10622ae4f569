/** Limits shared by several packages; they are the same in every environment. */
export const MAX_BODY_BYTES = 1_048_576;
export const MAX_MESSAGE_BYTES = 16_777_216;

/**
 * Largest number of values in one message between hosts. Schema validation collects an issue for each invalid value, which would exhaust the memory
 * for a message of MAX_MESSAGE_BYTES that consists of them.
 * A zone of 148 engines with 100 adapters on each stays below 65,536, and a document with 610 models, 3,100 accelerators and 5,000 keys has 116,354.
 */
export const MAX_MESSAGE_VALUES = 65_536;
export const MAX_DOCUMENT_VALUES = 262_144;
/** Limit of messages with a list of registrations, whose items are validated one by one: a full registry and as much as a message besides. */
export const MAX_LIST_VALUES = 524_288;
/** Largest number of values in one item of a list whose other items are used without it. */
export const MAX_ITEM_VALUES = 8192;
/** No schema nests this deep, and recursive code could exhaust the stack on deeper messages. */
export const MAX_MESSAGE_DEPTH = 64;
/** Number of faults listed in the error for a message that does not match its schema. */
export const MAX_DECODE_FAULTS = 3;

/** Largest answer that a host buffers as a whole for one caller. */
export const MAX_ANSWER_BYTES = 4_194_304;

/** Longer values are truncated in fault descriptions. */
export const MAX_FOUND_LENGTH = 200;

/** Relative clock drift assumed between two hosts when one of them times a lease granted by the other. */
export const CLOCK_DRIFT_RATIO = 0.01;

/** Longest time for which a sound target may send nothing and answer nothing on all its connections. A decision that rests on a silence waits for longer, or is taken back when the target goes on. */
export const MAX_SOUND_SILENCE_MS = 1600;

export const ANNOUNCE_INTERVAL_MS = 500;
export const ANNOUNCE_TTL_MS = 2000;

/** Lease of a zone owner, which the owner times from its request; a successor waits until it has expired before its first order and its first permit. */
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
