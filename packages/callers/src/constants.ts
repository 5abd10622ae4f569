/** The request of a caller that accepts no data for this long is cancelled. */
export const CALLER_STALL_MS = 60_000;

/** A queued request is not started if less than this is left until its deadline. */
export const MIN_TIME_LEFT_TO_START_MS = 50;

export const MAX_ATTEMPTS = 3;

/** A request whose target's process ended is retried at most once, since the request may be the cause. */
export const MAX_ATTEMPTS_AFTER_CRASH = 2;

/** Estimated tokens per character of a prompt, used until the engine reports the actual count. */
export const TOKENS_PER_CHARACTER = 0.25;

/** Hop-by-hop headers and headers that identify the caller; they are not forwarded to targets. */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
	'authorization', 'proxy-authorization', 'cookie', 'x-api-key', 'host', 'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect', 'accept-encoding',
]);

/** Customer name for requests on open routes, in queues and records. */
export const OPEN_CUSTOMER = '(open)';

/** A reservation is returned after this wait in the queue, well before its lifetime of 2,000 ms ends. */
export const MAX_RESERVATION_HOLD_MS = 1500;

/** Maximum wait for a new reservation by a request that already has its slot. */
export const MAX_REACQUIRE_WAIT_MS = 500;

/** Interval at which the slots of the queues are updated from the capacity of the targets. */
export const SLOT_UPDATE_INTERVAL_MS = 100;

/** A host that has received nothing from the leader for this long cannot commit a record and refuses calls that need one at once. */
export const RECORD_STALE_MS = 1500;

/** Retry time of requests that the stop of this host refuses: long enough for the balancer's next check. */
export const STOP_RETRY_AFTER_MS = 1000;
