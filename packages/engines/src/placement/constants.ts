/** Longest time between the first write of an order and the destruction of its last connection. */
export const ORDER_LIFETIME_MS = 2000;

/** Announcements that arrive were made at most this long ago; it equals the life of a directory entry. */
export const REPORT_MAX_AGE_MS = 2000;

/**
 * An order that was never answered may still have started a model load, which a report does not show. Nine concurrent
 * loads at 2 loads/s take 4.5 s each at full speed; twice that allows for a slow store.
 */
export const MAX_UNANSWERED_MODEL_LOAD_MS = 10_000;

/** A load that the engine confirmed holds its memory this long, unless the engine reports its end. */
export const MAX_ACCEPTED_LOAD_MS = 60_000;

/** Adapter loads take 5-10 ms under the knee; beyond it they slow down by an unspecified factor. */
export const MAX_ADAPTER_LOAD_MS = 500;

/** Number of earlier starts of a target that are remembered, so that their late reports are ignored. */
export const MAX_RETIRED_START_IDS = 8;

/** First pause before a lost order is sent again; it doubles with each attempt. */
export const ORDER_RETRY_MS = 100;

/** An owner stops writing when less than this remains of its lease. */
export const LEASE_MARGIN_MS = 50;

/** A silent target's books are kept until no order or load can be under way there any more. */
export const SILENT_TARGET_RETENTION_MS = 2 * MAX_ACCEPTED_LOAD_MS;

/** How often a host without the lease looks whether it has been granted. */
export const LEASE_POLL_MS = 100;

export const PLAN_PERIOD_MS = 1000;

/** A move gives up when the weight store has no permit for it within this time; the next round decides afresh. */
export const PERMIT_TIMEOUT_MS = 5000;

/** An adapter load on demand is answered after this time at most: the permit, the order's lifetime and the report that shows it. */
export const ADAPTER_ANSWER_MS = 3000;

/** Time that a request occupies one of an engine's parallel places, until the caller measures it. */
export const MEAN_SERVICE_MS = 2000;

/** Time constants of the demand estimates: the quick one notices a shift, the slow one is steady, and the medium one replaces the noisy quick one while the slow one catches up. */
export const QUICK_DEMAND_TIME_CONSTANT_MS = 1500;
export const MEDIUM_DEMAND_TIME_CONSTANT_MS = 6000;
export const SLOW_DEMAND_TIME_CONSTANT_MS = 30_000;

/** Quick and slow estimates must differ by this many standard deviations to count as a shift. */
export const SHIFT_SIGMAS = 3;

/** Rates below this are forgotten, so that the table does not grow with every name ever asked for. */
export const MIN_TRACKED_RATE_PER_S = 0.0001;

/** Planning horizon over which the gain of a move is weighed against its cost. */
export const GAIN_HORIZON_MS = 30_000;

/** A gain must exceed the cost by this factor, which keeps two near-equal models from swapping places. */
export const HYSTERESIS_RATIO = 1.5;

/** A copy younger than this is not evicted for another model's gain. */
export const MIN_RESIDENCE_MS = 15_000;

/** Share of a target's capacity that the plan fills; queues grow steeply above it. */
export const PLANNED_UTILISATION = 0.85;

/** Smallest unserved demand, as a share of one target's capacity, that justifies a further copy. */
export const MIN_UNSERVED_RATIO = 0.1;

export const MAX_MOVES_PER_ROUND = 32;

/** Requests that wait now count as demand that is to be worked off within this time. */
export const BACKLOG_DRAIN_MS = 15_000;

/** A direct load that gains less than this share of what is unserved is weighed against a relocation. */
export const PARTIAL_GAIN_RATIO = 0.4;

/** A relocation under way is waited for when it makes room for this share of what is unserved; otherwise another one begins beside it. */
export const PENDING_RELOCATION_RATIO = 0.5;

/** Targets whose evictions are weighed for one copy; weighing all of 3,100 would exceed the time of a round. */
export const MAX_CANDIDATE_TARGETS = 64;

/** Passes that shift each model's load to its less loaded copies; further passes change loads by under 1 %. */
export const BALANCE_PASSES = 8;

/** Phase utilisation above which a role is short of targets, and below which it can give one up. */
export const ROLE_SHORT_UTILISATION = 0.9;
export const ROLE_SPARE_UTILISATION = 0.5;

/** Utilisation of the phases is averaged over this time, so that one burst of prompts changes no role. */
export const PHASE_TIME_CONSTANT_MS = 10_000;

/** No role changes in a zone until the load of all its targets has been measured this long in their present roles. */
export const MIN_ROLE_MEASUREMENT_MS = 30_000;

/** Utilisation of a phase that has work and no target. */
export const MAX_PHASE_UTILISATION = 10;

/** A target keeps a role at least this long, since changing it drops its KV cache. */
export const MIN_ROLE_MS = 60_000;

/** Decisions kept for a caller that does not fetch them. */
export const MAX_BUFFERED_DECISIONS = 256;

/** Explanations kept per model for `egretrill placement explain`. */
export const EXPLANATIONS_PER_MODEL = 8;
