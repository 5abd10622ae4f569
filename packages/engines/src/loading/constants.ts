/** How often the owner plans loads. */
export const LOAD_PLAN_MS = 100;

/** Time constant of the demand that loads follow. */
export const LOAD_DEMAND_MS = 2500;

/** Requests a second below which a model counts as idle. */
export const IDLE_DEMAND = 0.05;

/** Requests a second that one copy of a model serves well; a model with more gets another copy. */
export const COPY_REQUESTS_PER_SECOND = 18;

/** A copy may go when those that are left would each get at most this share of what one serves well. */
export const SPARE_RATIO = 0.7;

/** Least demand that one second of loading counts as, to weigh a slow load against a busy copy that would go. */
export const LOAD_SECOND_DEMAND = 2;

/** Weight of an engine's other work when a site for a load is chosen. */
export const SITE_LOAD_RATIO = 0.2;

/** Adapters that a waiting change, and a move of a model, count as when an engine for an adapter is chosen. */
export const PENDING_WEIGHT = 2;
export const MOVE_WEIGHT = 100;

/** The owner watches demand for this long before it adds copies of models that have one. */
export const DEMAND_WATCH_MS = 2500;

/** A copy is not evicted for another model within this time after it was loaded. */
export const MIN_COPY_AGE_MS = 6000;

/** Requests that wait for a model count as so many arrivals a second. */
export const WAITING_WEIGHT = 2;

/** Time between telling the entry hosts that a model goes and the order to unload it. */
export const UNLOAD_NOTICE_MS = 80;

/** Longest time for the answer to an order. */
export const ORDER_ANSWER_MS = 1000;

/** Time that an adapter takes until requests for it are accepted. */
export const ADAPTER_LOAD_MS = 15;

/** Pause before an engine whose state is in doubt is asked for it. */
export const REPORT_PAUSE_MS = 300;

/** How often a load or unload in progress is looked at when no registration shows its end. */
export const PROGRESS_POLL_MS = 400;

/** A load that has not ended by then is given up; its engine is asked what it holds. */
export const MAX_LOAD_MS = 30_000;
