/** A caller that accepts no byte for this long has its work cancelled. */
export const CALLER_STALL_MS = 60_000;

/** Time left after which a queued request is not started any more. */
export const MIN_TIME_LEFT_TO_START_MS = 50;

export const MAX_ATTEMPTS = 3;

/** A request whose target's process ended is tried once more at most, since it may itself be the cause. */
export const MAX_ATTEMPTS_AFTER_CRASH = 2;

/** Tokens assumed per character of a prompt, used only until the engine reports its count. */
export const TOKENS_PER_CHARACTER = 0.25;

/** Headers that belong to one hop or to the caller's identity and never reach a target. */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
	'authorization', 'proxy-authorization', 'cookie', 'x-api-key', 'host', 'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect', 'accept-encoding',
]);

/** Customer name under which requests of open routes are queued and recorded. */
export const OPEN_CUSTOMER = '(open)';

/** A share is given back after this wait in the queue, well before its lifetime of 2,000 ms ends. */
export const SHARE_HOLD_MS = 1500;

/** Longest wait for a new share by a request that already has its slot. */
export const MAX_REACQUIRE_WAIT_MS = 500;

/** How often the slots of the queues follow the capacity of the targets. */
export const SLOT_UPDATE_INTERVAL_MS = 100;

/** A host that has heard nothing of the leader for this long cannot commit a record, and says so at once. */
export const RECORD_STALE_MS = 1500;
