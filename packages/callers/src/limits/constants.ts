/** Lifetime of a granted share; limits how long a failed host or owner can withhold a customer's burst. */
export const SHARE_TTL_MS = 2000;
export const EXCHANGE_PERIOD_MS = 200;
/** Minimum interval between two exchanges with the same owner, so that many waiting requests share one message. */
export const MIN_EXCHANGE_INTERVAL_MS = 5;
export const EXCHANGE_TIMEOUT_MS = 500;
export const MIN_FAILURE_BACKOFF_MS = 20;
export const MAX_FAILURE_BACKOFF_MS = 400;
/** An exchange is repeated under its serial only up to this age, while a grant under it still has a useful lifetime. */
export const MAX_SERIAL_REUSE_AGE_MS = 1000;
/** Unused tokens older than this are returned and granted again, so that a reservation starts with most of its lifetime. */
export const REFRESH_AGE_MS = 1000;

/** Time constant of the demand average; at two exchange periods it follows a shift of demand within one share lifetime. */
export const DEMAND_AVERAGE_MS = 400;
/** Demand varies between periods, so a host requests 1.5 times its average. */
export const DEMAND_MARGIN = 1.5;
/** A host keeps up to this multiple of its target, so that small variations do not cause returns. */
export const SURPLUS_RATIO = 2;
/** A customer is idle on a host if its estimated demand for one period is below this many requests. */
export const IDLE_DEMAND_REQUESTS = 0.05;

/** How long the need reported by a host counts; after that a failed host no longer delays the others. */
export const NEED_TTL_MS = 500;
/** Bounds on the interval after which a host with requests over the rate sends another exchange. */
export const MIN_SHORT_RETRY_MS = 50;
export const MAX_SHORT_RETRY_MS = 200;
/** How long a host keeps no tokens in reserve after the owner reported a shortage. */
export const SHORTAGE_HOLD_MS = 400;
/** How long the owner keeps the last exchange of an inactive host; longer than any repeated exchange can take. */
export const HOST_EXCHANGE_TTL_MS = 20_000;

/** Maximum number of one customer's requests that wait for its rate on one host; limits the memory used by their bodies. */
export const MAX_RATE_WAITERS = 1000;
/** Maximum sleep of an idle exchange task; any new request wakes it earlier. */
export const IDLE_WAIT_MS = 3_600_000;

export const INTERACTIVE_QUEUE_DEADLINE_MS = 10_000;
export const BATCH_QUEUE_DEADLINE_MS = 600_000;
export const MAX_QUEUE_LENGTH = 2000;
/** Credit in requests with which a customer that is below its share may catch up; without it, small bursts of small customers would wait behind a busy customer. */
export const CREDIT_REQUESTS = 4;
/** While batch requests wait, one slot in this many is reserved for them; counting slots in use keeps long batch requests from exceeding that. */
export const BATCH_SLOT_INTERVAL = 8;

export const RETRY_WINDOW_MS = 10_000;
export const RETRY_RATIO = 0.1;
export const RETRY_RESERVE = 10;
