/** Lifetime of a granted share; bounds how long a dead host or owner can hold up a customer's burst. */
export const SHARE_TTL_MS = 2000;
export const EXCHANGE_PERIOD_MS = 200;
/** Least time between two exchanges with one owner, so that a crowd of waiting requests shares a message. */
export const MIN_EXCHANGE_INTERVAL_MS = 5;
export const EXCHANGE_TIMEOUT_MS = 500;
export const MIN_FAILURE_BACKOFF_MS = 20;
export const MAX_FAILURE_BACKOFF_MS = 400;
/** A serial is repeated only while a grant under it would still be worth using. */
export const MAX_SERIAL_REUSE_AGE_MS = 1000;
/** Unused tokens older than this go back and are granted anew, so that a reservation starts with most of its lifetime. */
export const REFRESH_AGE_MS = 1000;

/** Time constant of the demand average; two periods follow a shift within one share lifetime. */
export const DEMAND_AVERAGE_MS = 400;
/** Demand varies between periods; a host asks for half as much again as its average. */
export const DEMAND_MARGIN = 1.5;
/** A host keeps up to this multiple of its target, so that small variations cost no returns. */
export const SURPLUS_RATIO = 2;
/** Below this estimate for one period a customer counts as idle on the host. */
export const IDLE_DEMAND_REQUESTS = 0.05;

/** What a host last said it needs counts for this long; a dead host then stops holding up the others. */
export const NEED_TTL_MS = 500;
/** Bounds on how soon a host with requests over the rate asks again. */
export const MIN_SHORT_RETRY_MS = 50;
export const MAX_SHORT_RETRY_MS = 200;
/** A host stops saving tokens for a while after the owner reported a shortage. */
export const SHORTAGE_HOLD_MS = 400;
/** Exchange memory of a silent host; longer than any repeat can take. */
export const HOST_EXCHANGE_TTL_MS = 20_000;

/** Requests of one customer that may wait for its rate on one host; bounds the memory of held bodies. */
export const MAX_RATE_WAITERS = 1000;
/** Upper bound of an idle task's wait; it is woken earlier by any new request. */
export const IDLE_WAIT_MS = 3_600_000;

export const INTERACTIVE_QUEUE_DEADLINE_MS = 10_000;
export const BATCH_QUEUE_DEADLINE_MS = 600_000;
export const MAX_QUEUE_LENGTH = 2000;
/** Requests by which a customer may catch up; without it, small customers wait behind a noisy one for their own small bursts. */
export const CREDIT_REQUESTS = 4;
/** While batch requests wait, one slot in this many is theirs; counting slots keeps long batch requests from taking more. */
export const BATCH_SLOT_INTERVAL = 8;

export const POISON_BLOCK_MS = 600_000;
export const POISON_TARGET_LIMIT = 2;
export const MAX_POISON_ENTRIES = 10_000;

export const RETRY_WINDOW_MS = 10_000;
export const RETRY_RATIO = 0.1;
export const RETRY_RESERVE = 10;
