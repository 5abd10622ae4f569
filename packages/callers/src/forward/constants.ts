import {MAX_SOUND_SILENCE_MS} from '@egretrill/common';

/** A request is refused when no target is expected within this fraction of its timeout, while its caller can still retry elsewhere. */
export const MAX_WAIT_RATIO = 0.5;

/** Maximum wait for a model whose load no engine owner has planned; while there is an owner, plans are made several times a second. */
export const UNPLANNED_MODEL_WAIT_MS = 700;

/** The same in a shortage, unless an eighth of the target latency is longer. */
export const SHORTAGE_UNPLANNED_WAIT_MS = 200;

/** Time after figures of a shortage for which the waits for its model stay short; longer than the gaps between the polls of a host. */
export const RECENT_SHORTAGE_MS = 5000;

/** Fraction of the target latency that a request may wait for a slot of which nothing is known; a request held for longer and then refused has cost its caller time. */
export const UNKNOWN_WAIT_RATIO = 1 / 8;

/** Parts of their limits within which the slot of a new request, or the end of a load, must be expected; the rest is for errors of the forecast. */
export const ADMISSION_RATIO = 1 / 2;
export const LOAD_ADMISSION_RATIO = 2 / 3;

/** Fraction of its timeout that a request may wait for a model whose load is known to finish by then. */
export const PLANNED_WAIT_RATIO = 0.75;

/** Fraction of the target latency that a request may wait while all targets are busy; requests answered late delay others past their latency. */
export const SATURATED_WAIT_RATIO = 0.8;

/** A request may wait at least this long while all targets are busy and no shortage of its model is known. */
export const MIN_SATURATED_WAIT_MS = 250;

/** Time constant of the rate at which slots become free. */
export const SLOT_RATE_TIME_CONSTANT_MS = 1000;

/** Interval between the retries of two refused callers when the rate at which slots become free is unknown. */
export const DEFAULT_RETRY_SPACING_MS = 25;

/** Fraction of the freed slots that is planned for retries of refused callers; the rest is for first attempts. */
export const RETRY_SLOT_RATIO = 0.5;

/** Upper bound on the retry time that results from spacing the retries of refused callers. */
export const MAX_SPACED_RETRY_MS = 4000;

/** Upper bound on the retry time that results from the slots of all hosts; callers leave sooner. */
export const MAX_FLEET_RETRY_MS = 10_000;

/** Age up to which the figures of all hosts are used; hosts that reach the leader receive them several times within it. */
export const FLEET_FIGURES_TTL_MS = 3000;

/** Time for which the leader returns the same figures; short beside the time between two polls of a host. */
export const FIGURES_CACHE_MS = 50;

/** Time constant of the rate at which slots become free over all hosts; long enough for models with a few slots a second. */
export const FLEET_SLOT_TIME_CONSTANT_MS = 2000;

/** Models in a host's report of its queue; more than an engine class of the largest deployment holds. */
export const MAX_REPORTED_MODELS = 512;

/** Length of the names of services and models in reports; callers may send longer ones. */
export const MAX_REPORTED_NAME_LENGTH = 256;

/** Kinds of requests (priority and target latency) of a model in a report or in the figures; more than the routes of a service have. */
export const MAX_MODEL_KINDS = 32;

/** Models of which the leader returns figures; callers may name models that do not exist. */
export const MAX_SHORTAGE_MODELS = 1024;

/** Requests that all hosts together send beyond the slots of an engine; its own queue takes a multiple of this. */
export const MAX_BEYOND_SLOTS = 3;

/** Free slots of an engine from which on a request is sent there in a shortage whatever the share of its host, as after the load of a copy. */
export const CLEARLY_FREE_SLOTS = 4;

/** Factor on the probability with which a caller that returns after a refusal takes a slot; its second refusal costs more than a first one. */
export const RETURNING_SHARE_FACTOR = 2;

/** Time ahead for which the present arrivals are taken to go on; peaks of traffic last a few seconds. */
export const DEMAND_HORIZON_MS = 2000;

/** Part of their remaining time up to which refused callers wait before they return. */
export const RETURN_WAIT_RATIO = 1 / 3;

/** Windows after which requests draw again without new figures; polls that are a little late are no reason to. */
export const REDRAW_WINDOWS = 1.5;

/** Bounds on the time between two figures over which slots are shared. */
export const MIN_FIGURES_WINDOW_MS = 50;
export const MAX_FIGURES_WINDOW_MS = 1000;

/** Steps of the time by which a request has to be sent, within which the shares of customers decide. */
export const DUE_STEP_MS = 250;

/** Steps of a customer's share of the slots within which arrival decides; a quarter of its share is one. */
export const OWN_SHARE_STEPS = 4;

/** Time constant over which the parts of requests that got a slot are compared; longer than a burst. */
export const SERVED_RATIO_TIME_CONSTANT_MS = 10_000;

/** Time between two steps of this decay. */
export const RATIO_DECAY_STEP_MS = 100;

/** Requests below which a ratio says nothing. */
export const MIN_ASKED_FOR_RATIO = 5;

/** Part of its group's ratio below which a kind goes first; a kind may not fall below a quarter. */
export const FLOOR_RATIO = 0.3;

/** Shortest time between two checks of all waiting requests against their limits, and against reasons outside the queue. */
export const LIMIT_CHECK_INTERVAL_MS = 20;
export const REFUSAL_CHECK_INTERVAL_MS = 50;

/** Time by which a caller's remaining time falls short of its route's limit after a refusal; the shortest retry time, less what timers vary. */
export const MIN_RETURN_GAP_MS = 80;

/** Time after the earliest retry over which retries are spread if that one is later; a single time for all would bring them back in one wave. */
export const MAX_RETRY_SPREAD_MS = 2000;

/** A refused caller counts as waiting until this long after its retry time. */
export const RETRY_GRACE_MS = 500;

/** Callers of streams disconnect when they receive nothing for this long, for this multiple of the target latency or for eight times the pause that their route allows between events, whichever is longest. */
export const STREAM_CALLER_TIMEOUT_MS = 2000;
export const STREAM_CALLER_TIMEOUT_RATIO = 4;

/** Fraction of a stream caller's timeout that a request may wait for a slot; the rest is for the target. */
export const STREAM_WAIT_RATIO = 0.75;

/** Minimum time left for a request to be sent to a target. */
export const MIN_TIME_LEFT_TO_SEND_MS = 20;

/** Lower bound on the retry time given to refused callers. */
export const MIN_RETRY_AFTER_MS = 100;

/** Retry time for callers when no target serves their request. */
export const NO_TARGET_RETRY_MS = 1500;

/** A resumable stream that completes no event for this long is offered to another target, while its own may still go on: a sound engine may pause for longer. Callers disconnect after `STREAM_CALLER_TIMEOUT_MS` or later, which leaves the other target time to answer. */
export const STREAM_IDLE_TIMEOUT_MS = 1000;

/** The target of a resumable stream counts as silent after this time without an event. It is shorter than `STREAM_IDLE_TIMEOUT_MS` by the usual longest pause between two events, so that targets which fall silent together are all known before a stream is offered to one of them. */
export const SILENCE_REPORT_MS = 800;

/** A stream that has been silent for longer than a sound target is, with room for the way to this host, is also offered to targets that are silent themselves: their old connections may be dead while new ones work. */
export const ANY_TARGET_SWITCH_MS = MAX_SOUND_SILENCE_MS + 50;

/** Interval at which a free slot at another target is looked for while a stream is silent. */
export const SWITCH_RETRY_INTERVAL_MS = 100;

/** A timer that fires later than this shows that the host itself stood still. Timers fire before the data that arrived meanwhile is read, so a stream then seems silent that is not. */
export const MAX_WAKE_DELAY_MS = 50;

/** Answers that are not streams are buffered up to this size before they are sent to the caller. */
export const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;

/** Retry time for callers whose key is not confirmed: the host may be in touch again by then, or get no new connections. */
export const KEY_RETRY_MS = 1000;

/** Retry time for callers whose request finds no room in the memory of the host. */
export const OVERLOADED_RETRY_MS = 1000;

/** Maximum size of a stream event; only complete events are relayed, and an incomplete one is buffered in memory. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Events without an id or text that may follow one another, and their bytes: keep-alive comments once a second stay below both for an hour, while empty lines without end would only occupy the host. */
export const MAX_EMPTY_EVENTS = 4096;
export const MAX_EMPTY_EVENT_BYTES = 65_536;

/** Fraction of a customer's rate that hosts hold without a lease, so that they can serve while the owner is unreachable. */
export const STANDING_RATIO = 0.25;

/** Fraction of a large customer's rate that is leased to hosts by demand; the rest, after the standing parts, is a pool for single requests. */
export const LEASED_RATIO = 0.5;

/** Fraction of a small customer's rate in the pool. Its standing parts are smaller than a request and serve only hosts that cannot reach the owner, up to the tolerated excess. */
export const SMALL_CUSTOMER_POOL_RATIO = 0.9;

/** A customer is large when the leased part of one host covers a burst of this many of its requests. */
export const LARGE_CUSTOMER_BURST_REQUESTS = 3;

/** Lifetime of the leased part of a rate; the host counts it from when it sent its request. */
export const RATE_LEASE_MS = 4000;

/** Time constant of the demand that a host reports for a customer. */
export const RATE_DEMAND_TIME_CONSTANT_MS = 2000;

/** A host that has sent no request for this long no longer counts when rates are divided, except for what it still holds. */
export const RATE_HOST_TTL_MS = 15_000;

/** Maximum time that a host treats a customer's pool as empty without another request to the owner. */
export const MAX_EMPTY_POOL_CACHE_MS = 500;

/** Time after the first broken exchange in which those of other requests at the same target are collected for one record. */
export const END_COLLECT_MS = 200;

/** Time for which the end of a target is remembered; its last connections break within it. */
export const END_MEMORY_MS = 5000;

/** Part of the balancer's wait after which requests count as those of kept connections; less than all of it, since the signal may have reached this host late. */
export const NEW_CONNECTIONS_RATIO = 5 / 6;

/** Time before the end of a planned stop by which a request should have ended: its answer still has to reach the caller, and timers may fire up to 50 ms late. */
export const STOP_END_MARGIN_MS = 100;

/** With fewer observed durations of a route, the longest of them says little about the next request. */
export const MIN_OBSERVED_DURATIONS = 20;

/** Durations that are remembered for a route, and routes for which they are; 128 let the high quantile rest on six requests. */
export const MAX_DURATIONS_PER_ROUTE = 128;
export const MAX_DURATION_ROUTES = 1024;

/** Remembered requests whose sizes are at most this far from a request's tell how long it may take, and at least this many that are closest to it. */
export const MAX_SIMILAR_SIZE_RATIO = 2;
export const MIN_SIMILAR_REQUESTS = 32;

/** Quantile of the observed durations that a request which may be repeated is expected to stay below. */
export const HIGH_DURATION_QUANTILE = 0.95;

/** Factor applied to the high quantile, or to the longest duration of a stream, since the targets of a host that stops may be busier than before. */
export const REPEATABLE_DURATION_FACTOR = 1.5;

/** Factor applied to the longest observed duration, or the target latency if that is longer, while few durations of a route are known. */
export const FEW_OBSERVED_FACTOR = 4;

/** Factor applied to the longest observed duration for requests that must not be repeated. */
export const ONCE_DURATION_FACTOR = 2;

/** Factors applied to the time of the longest request of similar size; it is larger for requests that must not be repeated. */
export const SIZED_DURATION_FACTOR = 1.25;
export const SIZED_ONCE_DURATION_FACTOR = 1.5;

/** Weight of each request in the mean size of its route. */
export const ROUTE_SIZE_RATIO = 0.05;
