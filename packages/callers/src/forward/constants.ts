/** A request for which no target is in sight within this share of its time is refused, while its caller can still go elsewhere. */
export const MAX_WAIT_RATIO = 0.5;

/** Longest wait for a model that no owner of engines has planned to load; plans are made several times a second while there is an owner. */
export const UNPLANNED_MODEL_WAIT_MS = 700;

/** Share of its time that a request may wait for a model whose load is known to end by then. */
export const PLANNED_WAIT_RATIO = 0.75;

/** Part of the target latency that a request may wait for busy targets; those that are answered late keep others from being answered in time. */
export const SATURATED_WAIT_RATIO = 0.8;

/** Shortest time that a request may wait for busy targets. */
export const MIN_SATURATED_WAIT_MS = 250;

/** Time constant of the rate at which places become free. */
export const SLOT_RATE_TIME_CONSTANT_MS = 1000;

/** Time between the returns of two refused callers when nothing tells how fast places are given. */
export const DEFAULT_RETRY_SPACING_MS = 25;

/** Share of the places given that refused callers may count on; the rest is for those who come for the first time. */
export const RETRY_SLOT_RATIO = 0.5;

/** Latest time to return that a refused caller is told for the sake of others. */
export const MAX_SPACED_RETRY_MS = 4000;

/** A caller that was told when to return counts as waiting until this long after that time. */
export const RETRY_GRACE_MS = 500;

/** Callers of streams leave when nothing comes for this long, or for a multiple of the target latency if that is longer. */
export const STREAM_CALLER_TIMEOUT_MS = 2000;
export const STREAM_CALLER_TIMEOUT_RATIO = 4;

/** Part of a stream caller's patience that a request may wait for a place; the rest is for the target. */
export const STREAM_WAIT_RATIO = 0.75;

/** Least time left for which a request is still sent to a target. */
export const MIN_TIME_LEFT_TO_SEND_MS = 20;

/** Shortest time after which a refused caller is told to return. */
export const MIN_RETRY_AFTER_MS = 100;

/** When callers return that found no target at all. */
export const NO_TARGET_RETRY_MS = 1500;

/** A stream in which no event ends for this long continues at another target; callers leave after two seconds of silence. */
export const STREAM_IDLE_TIMEOUT_MS = 1000;

/** Answers that arrive whole are held up to this size before the caller sees them. */
export const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;

/** Longest event of a stream; only whole events are passed on, and the rest of one is held in memory. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Share of a customer's rate that hosts hold without a lease, so that they serve while the owner is out of reach. */
export const STANDING_RATIO = 0.25;

/** Share of a large customer's rate that is leased to hosts by demand; the rest is a pool for single requests. */
export const LEASED_RATIO = 0.5;

/** Share of a small customer's rate in the pool. Its standing parts are smaller than a request and serve only hosts that cannot reach the owner, up to the tolerated excess. */
export const SMALL_CUSTOMER_POOL_RATIO = 0.9;

/** A customer is large when the leased part of a host holds a burst of this many of its requests. */
export const LARGE_CUSTOMER_BURST_REQUESTS = 3;

/** Lifetime of the leased part of a rate, counted by the host from when it asked. */
export const RATE_LEASE_MS = 4000;

/** Time constant of the demand that a host reports for a customer. */
export const RATE_DEMAND_TIME_CONSTANT_MS = 2000;

/** A host that has not asked for this long no longer counts when rates are divided, beyond what it still holds. */
export const RATE_HOST_TTL_MS = 15_000;

/** Longest time for which a host takes a customer's pool for empty without asking its owner again. */
export const MAX_EMPTY_POOL_CACHE_MS = 500;
