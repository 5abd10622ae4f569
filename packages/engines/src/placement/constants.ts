/** Longest time between the first write of an order and the destruction of its last connection. */
export const ORDER_LIFETIME_MS = 2000;

/** Maximum age of a received announcement; it equals the lifetime of a directory entry. */
export const REPORT_MAX_AGE_MS = 2000;

/**
 * An order without an answer may still have started a model load, which reports do not show. Nine concurrent
 * loads at 2 loads/s take 4.5 s each at full speed; twice that, rounded up, allows for a slow store.
 */
export const MAX_UNANSWERED_MODEL_LOAD_MS = 10_000;

/** A load that the engine accepted reserves memory for this long, unless the engine reports its end. */
export const MAX_ACCEPTED_LOAD_MS = 60_000;

/** Adapter loads take 5-10 ms until the weight store saturates; beyond that they slow down by an unspecified factor. */
export const MAX_ADAPTER_LOAD_MS = 500;

/** Number of earlier start ids that are kept for each target, so that late reports from those starts are ignored. */
export const MAX_RETIRED_START_IDS = 8;

/** First pause before an unanswered order is sent again; it doubles with each attempt. */
export const ORDER_RETRY_MS = 100;

/** An owner stops writing when less than this remains of its lease. */
export const LEASE_MARGIN_MS = 50;

/** The account of a target that stopped reporting is kept until no order or load can still be in progress there. */
export const SILENT_TARGET_RETENTION_MS = 2 * MAX_ACCEPTED_LOAD_MS;

/** Period in which a host without the lease checks whether it has been granted. */
export const LEASE_POLL_MS = 100;

export const PLAN_PERIOD_MS = 1000;

/** A move is abandoned if the weight store grants no permit within this time; the next round decides again. */
export const PERMIT_TIMEOUT_MS = 5000;

/** Longest time until an adapter load on demand is answered: the permit, the order's lifetime and the report that shows its effect. */
export const ADAPTER_ANSWER_MS = 3000;

/** Assumed time for which a request occupies a slot of an engine, until the caller measures it. */
export const MEAN_SERVICE_MS = 2000;

/** Time constants of the demand estimates: the quick one detects a shift, the slow one is steady, and the medium one replaces the noisy quick one until the slow one has converged. */
export const QUICK_DEMAND_TIME_CONSTANT_MS = 1500;
export const MEDIUM_DEMAND_TIME_CONSTANT_MS = 6000;
export const SLOW_DEMAND_TIME_CONSTANT_MS = 30_000;

/** Quick and slow estimates must differ by this many standard deviations to count as a shift. */
export const SHIFT_SIGMAS = 3;

/** Lower rates are dropped, so that the table does not grow with every name that was ever requested. */
export const MIN_TRACKED_RATE_PER_S = 0.0001;

/** Planning horizon over which the gain of a move is compared with its cost. */
export const GAIN_HORIZON_MS = 30_000;

/** A gain must exceed the cost by this factor, which keeps two models of nearly equal demand from evicting each other in turn. */
export const HYSTERESIS_RATIO = 1.5;

/** A copy younger than this is not evicted for another model's gain. */
export const MIN_RESIDENCE_MS = 15_000;

/** Share of a target's capacity that the plan fills; queues grow steeply above it. */
export const PLANNED_UTILISATION = 0.85;

/** Smallest unserved demand, as a share of one target's capacity, that justifies an additional copy. */
export const MIN_UNSERVED_RATIO = 0.1;

export const MAX_MOVES_PER_ROUND = 32;

/** Waiting requests count as demand that is to be served within this time. */
export const BACKLOG_DRAIN_MS = 15_000;

/** A direct load that gains less than this share of the unserved demand is compared with a relocation. */
export const PARTIAL_GAIN_RATIO = 0.4;

/** A relocation in progress is awaited if it makes room for this share of the unserved demand; otherwise another one starts in parallel. */
export const PENDING_RELOCATION_RATIO = 0.5;

/** Number of targets whose evictions are evaluated for one copy; evaluating all of 3,100 would exceed the time of a round. */
export const MAX_CANDIDATE_TARGETS = 64;

/** Passes that shift each model's load to its less loaded copies; additional passes change loads by under 1 %. */
export const BALANCE_PASSES = 8;

/** Phase utilisation above which a role is short of targets, and below which it can spare one. */
export const ROLE_SHORT_UTILISATION = 0.9;
export const ROLE_SPARE_UTILISATION = 0.5;

/** Time constant of the smoothed phase utilisation, so that one burst of prompts changes no role. */
export const PHASE_TIME_CONSTANT_MS = 10_000;

/** No role changes in a zone until the load of all its targets has been measured for this long in their present roles. */
export const MIN_ROLE_MEASUREMENT_MS = 30_000;

/** Upper bound of phase utilisation, which a phase with work and no target has. */
export const MAX_PHASE_UTILISATION = 10;

/** Shortest time for which a target keeps a role, since changing it drops the KV cache. */
export const MIN_ROLE_MS = 60_000;

/** Number of decisions kept until the caller fetches them; the oldest are dropped first. */
export const MAX_BUFFERED_DECISIONS = 256;

/** Number of explanations kept per model for `egretrill placement explain`. */
export const EXPLANATIONS_PER_MODEL = 8;
