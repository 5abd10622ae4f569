/** How often the owner plans loads. */
export const LOAD_PLAN_PERIOD_MS = 100;

/** Time constant of the demand that loads follow. */
export const LOAD_DEMAND_TIME_CONSTANT_MS = 2500;

/** Places in use below which a model counts as idle. */
export const MAX_IDLE_SLOTS = 0.05;

/** Share of an engine's places that may be in use before a further copy pays; beyond it answers come in late pieces. */
export const COPY_BUSY_UTILISATION = 0.4;

/** Time that an engine takes for one generated token, and prompt tokens that it reads in a millisecond, to tell how long a request holds a place. */
export const MS_PER_GENERATED_TOKEN = 7;
export const PROMPT_TOKENS_PER_MS = 38;

/** What a request at a crowded engine counts for, against one that no engine can serve. */
export const CROWDED_LOSS_RATIO = 0.15;

/** Rounds in which demand is balanced over the engines of each model. */
export const SPREAD_ROUNDS = 4;

/** A load must pay for itself within this time; demand moves on after it. */
export const PLAN_HORIZON_S = 20;

/** Engines at which a load is weighed exactly, of those that an estimate prefers. */
export const MAX_COSTED_ENGINES = 8;

/** Copies and engines that one plan may visit; what is left over comes first in the next plan. A leader sends its heartbeats from the thread that plans. */
export const MAX_PLAN_VISITS = 300_000;

/** Rest after a plan, in times of the time that it took, so that planning takes a small part of a core. */
export const PLAN_PAUSE_RATIO = 5;

/** Least gain, in requests lost times seconds, for which a further copy is loaded. */
export const MIN_MOVE_GAIN_REQUEST_S = 15;

/** Share of requests that need an adapter their engine does not hold yet. */
export const ADAPTER_DEMAND_RATIO = 0.1;

/** Adapters that a waiting change, and a move of a model, count as when an engine for an adapter is chosen. */
export const PENDING_CHANGE_WEIGHT = 2;
export const MODEL_MOVE_WEIGHT = 100;

/** A copy is not evicted for another model within this time after it was loaded. */
export const MIN_COPY_AGE_MS = 2500;

/** How many times the places of a model in use a missing one must need to take its last copy. */
export const LAST_COPY_RATIO = 5;

/** Places that a request counts as which waits for a model. */
export const SLOTS_PER_WAITING_REQUEST = 2;

/** Requests for a model without a copy count once more for each such time that it has been missing, so that rare models get their turn beside busy ones. */
export const MISSING_MODEL_BOOST_MS = 1000;

/** The owner watches demand for this long before it unloads a copy for a further one of a busier model. */
export const MIN_DEMAND_MEASUREMENT_MS = 2500;

/** Time between telling the entry hosts that a model goes and the order to unload it. */
export const UNLOAD_NOTICE_MS = 80;

/** Time that an unload usually takes: that of an idle model its notice, that of one in use also the answers under way. */
export const IDLE_UNLOAD_MS = 200;
export const BUSY_UNLOAD_MS = 2500;

/** Share of the engines that may unload a model at the same time to make room for a further copy of another one; the rest stays ready for models without a copy and for adapters. */
export const MAX_SWAP_RATIO = 0.25;

/** Longest time for the answer to an order. */
export const ORDER_TIMEOUT_MS = 1000;

/** Time that an adapter takes until requests for it are accepted. */
export const ADAPTER_LOAD_MS = 15;

/** Time after its load for which an adapter is not unloaded, so that the requests that waited for it reach the engine. */
export const MIN_ADAPTER_AGE_MS = 400;

/** How long the word of a host counts that its requests use an adapter. */
export const ADAPTER_USE_TTL_MS = 1500;

/** Pause before an engine whose state is in doubt is asked for it. */
export const REPORT_RETRY_MS = 300;

/** How often a load or unload in progress is looked at when no registration shows its end. */
export const PROGRESS_POLL_MS = 400;

/** A load that has not ended by then is given up; its engine is asked what it holds. */
export const MAX_LOAD_MS = 30_000;

/** How long the word of a host counts that requests wait there, which outlasts the loss of a poll; those of a host that stopped have ended. */
export const WAITING_TTL_MS = 3000;
