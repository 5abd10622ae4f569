/** Period of the owner's planning of loads. */
export const LOAD_PLAN_PERIOD_MS = 100;

/** Time constant of the decaying demand that loads are planned for. */
export const LOAD_DEMAND_TIME_CONSTANT_MS = 2500;

/** A model whose requests need fewer slots than this counts as idle. */
export const MAX_IDLE_SLOTS = 0.05;

/** Share of an engine's slots that may be in use before an additional copy pays off; beyond it, chunks of responses arrive late. */
export const COPY_BUSY_UTILISATION = 0.4;

/** Time that an engine takes to generate a token, and prompt tokens that it processes per millisecond; both estimate how long a request occupies a slot. */
export const MS_PER_GENERATED_TOKEN = 7;
export const PROMPT_TOKENS_PER_MS = 38;

/** Weight of a request at a crowded engine in the lost demand, relative to a request that no engine can serve. */
export const CROWDED_LOSS_RATIO = 0.15;

/** Rounds in which demand is balanced over the engines of each model. */
export const SPREAD_ROUNDS = 4;

/** Time within which a load must pay for itself, since demand shifts after it. */
export const PLAN_HORIZON_S = 20;

/** Number of engines, those with the lowest estimates, for which the exact cost of a load is computed. */
export const MAX_COSTED_ENGINES = 8;

/** Ratio of the highest to the lowest speed from which engines count as unequal, and the share of engines that is left out at either end. */
export const MIN_SPEED_RATIO = 1.25;
export const OMITTED_SPEED_RATIO = 0.1;

/** Share of late requests for each unit by which an engine is slower than the mean: half of those at a speed of 0.6, where the gaps between events exceed 200 ms whenever the engine slows down. */
export const LATE_RATIO_PER_MISSING_SPEED = 1.25;

/** Demand below which a model is left out when demand is spread; it decays towards zero but never reaches it. */
export const MIN_SPREAD_SLOTS = 0.005;

/** Longest time between two plans of a service while no request waits and the last plan had nothing to do. */
export const QUIET_PLAN_PERIOD_MS = 500;

/** Least time between two plans of additional copies; in between, only models that callers wait for are planned. */
export const COPY_PLAN_PERIOD_MS = 300;

/** Time for which the store's rate accumulates while no load starts, and the most loads that it may amount to, so that plans at intervals use the whole rate. */
export const STORE_BURST_S = 0.2;
export const MAX_STORE_BURST_LOADS = 3;

/** Time within which the store starts no more loads than its rate and a burst allow. */
export const STORE_WINDOW_MS = 5000;

/** Time within which a move is not undone unless that gains more than both moves cost. */
export const UNDO_PERIOD_MS = 20_000;

/** Slots of recent demand from which a model without a copy is loaded although no caller waits: all were refused since none could be served in time. */
export const MIN_MISSING_SLOTS = 1;

/** Request-seconds that are expected to be lost when a model in no demand has no copy: its next callers cannot wait for the weight store. */
export const ABSENT_MODEL_COST_REQUEST_S = 6;

/** Number of models without demand that may be loading at a time. */
export const MAX_ABSENT_LOADS = 16;

/** Number of copies and engines that one plan may visit; the remaining models come first in the next plan. A leader sends its heartbeats from the thread that plans. */
export const MAX_PLAN_VISITS = 300_000;

/** Pause after a plan as a multiple of the plan's duration, so that planning uses a small part of a core. */
export const PLAN_PAUSE_RATIO = 5;

/** Least gain, in lost requests times seconds, for which an additional copy is loaded. */
export const MIN_MOVE_GAIN_REQUEST_S = 15;

/** Share of requests that need an adapter which their engine does not hold yet. */
export const ADAPTER_DEMAND_RATIO = 0.1;

/** Number of adapters that a pending change, and a running move of a model, count as when an engine for an adapter is chosen. */
export const PENDING_CHANGE_WEIGHT = 2;
export const MODEL_MOVE_WEIGHT = 100;

/** Time after its load during which a copy in use is not evicted for another model. */
export const MIN_COPY_AGE_MS = 2500;

/** A missing model must need this many times the slots of a model in use before it evicts the last copy of that one. */
export const LAST_COPY_RATIO = 5;

/** Number of slots that a request which waits for a model counts as. */
export const SLOTS_PER_WAITING_REQUEST = 2;

/** The demand for a model without a copy increases by its own amount after each such time without one, so that rare models are loaded under constant demand for busy ones. */
export const MISSING_MODEL_BOOST_MS = 1000;

/** Time for which the owner measures demand before it unloads a copy for an additional one of a busier model. */
export const MIN_DEMAND_MEASUREMENT_MS = 2500;

/** Time between the notice to the entry hosts that a model is about to be unloaded and the order to unload it. */
export const UNLOAD_NOTICE_MS = 80;

/** Usual duration of an unload: for an idle model that of the notice, for one in use also that of the responses in progress. */
export const IDLE_UNLOAD_MS = 200;
export const BUSY_UNLOAD_MS = 2500;

/** Share of the engines that may unload a model at the same time for an additional copy of another one; the others stay available for models without a copy and for adapters. */
export const MAX_SWAP_RATIO = 0.25;

/** Timeout for the answer to an order. */
export const ORDER_TIMEOUT_MS = 1000;

/** Time from the order to load an adapter until requests for it are accepted. */
export const ADAPTER_LOAD_MS = 15;

/** Time after its load during which an adapter is not unloaded, so that the requests that waited for it reach the engine. */
export const MIN_ADAPTER_AGE_MS = 400;

/** Validity of a host's report that its requests use an adapter. */
export const ADAPTER_USE_TTL_MS = 1500;

/** Pause before the state of an engine is requested after an order with an uncertain outcome. */
export const REPORT_RETRY_MS = 300;

/** Period in which the state of an engine is polled while a load or unload is in progress. */
export const PROGRESS_POLL_MS = 400;

/** Period of these polls once a registration shows the end, which the engine's reports show some hundred milliseconds late. */
export const REGISTERED_POLL_MS = 100;

/** Timeout of a load beyond its expected duration; what the engine holds is requested after it. */
export const MAX_LOAD_MS = 30_000;

/** Validity of a host's report of waiting requests. It outlasts one lost poll; requests at a host that stopped have ended. */
export const WAITING_TTL_MS = 3000;
