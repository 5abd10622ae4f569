/** Ends under one key from which on its requests are sent one at a time by each host; a single end happens with any crash. */
export const ENDS_TO_SUSPECT = 2;

/** The same for a key under which no answer has gone on yet. */
export const ENDS_TO_SUSPECT_UNPROVEN = 1;

/** Ends of targets under one key, without a proven answer after the first of them, from which on requests with the key are refused. */
export const ENDS_TO_BLOCK = 3;

/** Ends from which on the refusal of a blocked key is final. With fewer the callers are asked to come back, since sound requests may have been caught at the same targets by chance. */
export const ENDS_TO_CONFIRM = 4;

/** Bounds on the time after which callers of a block that is not confirmed are asked to come back. */
export const MIN_BLOCK_RETRY_MS = 1000;
export const MAX_BLOCK_RETRY_MS = 4000;

/** Ends of targets under one unchanged request from which on it is refused; it is at one target at a time, so these ends do not coincide. */
export const REQUEST_ENDS_TO_BLOCK = 3;

/** Ends that a key needs beside those at which a key was waiting that is blocked already; those are explained by that key. */
export const UNEXPLAINED_ENDS_TO_BLOCK = 2;

/** Rank of the key of a whole request, which is more specific than each of its parts. */
export const REQUEST_RANK = 1000;

/** Ends closer together than this may have one cause, such as the loss of a rack, and count once. */
export const END_SPACING_MS = 100;

/** Time from the first counted end until a key is blocked; answers that other hosts have received meanwhile are still on their way. */
export const BLOCK_SETTLE_MS = 1000;

/** Time for which an answer must go on to prove that its target survived the request. */
export const ANSWER_PROOF_MS = 100;

/** Lifetime of an end as evidence, and of a block after the last request with its key. */
export const EVIDENCE_TTL_MS = 600_000;

/** Time for which a key without ends is kept, so that a late report of an end before the last proof does not count. */
export const CLEARED_RETENTION_MS = 10_000;

/** Delay of the first probe of a blocked key, and the factor from each delay to the next; each probe may end one more target. */
export const FIRST_PROBE_DELAY_MS = 10_000;
export const PROBE_DELAY_FACTOR = 4;

/** Time in which the host that was granted a probe may send it; a request waits there for the grant. */
export const PROBE_GRANT_TTL_MS = 3000;

/** Interval at which arrivals of a blocked key are passed on to the other hosts. */
export const ARRIVAL_REPORT_INTERVAL_MS = 10_000;

/** Keys with evidence that one host keeps; the ones that changed first are dropped. */
export const MAX_CRASH_RECORDS = 4096;

/** Ends kept for one key; with fewer, ends under a blocked key could count against the other parts of its requests. */
export const MAX_ENDS_PER_KEY = 32;

/** Records that are passed on with the configuration; those with the most ends come first. */
export const MAX_PASSED_RECORDS = 64;

/** Records in one message; the rest follow in the next. */
export const MAX_RECORDS_PER_MESSAGE = 256;

/** Keys whose last proven answer a host remembers. */
export const MAX_PROVEN_KEYS = 8192;

/** Longest time that a request waits while it is open whether its key is blocked. */
export const MAX_VERDICT_WAIT_MS = 1500;

/** Longest id of a prompt part that is used as it is. */
export const MAX_PART_ID_LENGTH = 64;

/** Longest key in a message. */
export const MAX_KEY_LENGTH = 128;

/** Longest name of a lifetime of a target in a message: its id and its start time. */
export const MAX_START_ID_LENGTH = 256;
