/** How often the duties are checked for due work. */
export const DUTY_CHECK_INTERVAL_MS = 100;

/** Part of the time in which a report must arrive that is left for sending it: several attempts at a slow provider. */
export const SEND_TIME_RATIO = 0.4;

/** Windows that one report of an entry host names besides the open one; the oldest go first. */
export const MAX_REPORTED_WINDOWS = 16;

/** Ended windows that an entry host retains while no leader settles them, about 20 minutes. */
export const MAX_RETAINED_WINDOWS = 256;

/** Customers in one window; the log takes no more in one entry. */
export const MAX_WINDOW_CUSTOMERS = 1024;

/** Windows that are settled at once; the log takes no more in one entry. */
export const MAX_SETTLED_AT_ONCE = 32;

/** Resolution and number of the counts that an entry host keeps before it knows the time of the fleet. */
export const EARLY_SLICE_MS = 250;
export const MAX_EARLY_SLICES = 240;

/** Answers of the leader from which an entry host takes the one that came fastest. */
export const TIME_SAMPLES = 8;

/** A host's wall-clock time counts for this long after its last poll. */
export const TIME_SAMPLE_TTL_MS = 5000;

/** Time after which a leader trusts the clocks of the hosts that have polled, although half of the hosts have not. */
export const TIME_TRUST_MS = 3000;

/** How often the median of the clocks is computed again. */
export const MEDIAN_INTERVAL_MS = 100;

/** Counts of a host that no longer polls are retained for this long unless their windows are settled. */
export const HOST_USAGE_TTL_MS = 600_000;

/** A host that has not polled for this long, and is not in the log, is not waited for. */
export const AWAITED_HOST_TTL_MS = 5000;

/** Backoff after calls that failed one after the other. */
export const MIN_BACKOFF_MS = 250;
export const MAX_BACKOFF_MS = 4000;

/** Time after which a report that the provider has refused is sent again; the reports after it are sent meanwhile. */
export const REFUSED_RETRY_MS = 10_000;

/** Margin of the provider's limit on calls per second, for the variation of transit times. */
export const CALL_RATE_MARGIN = 1.1;

/** How often the use of engines is measured. */
export const USE_SAMPLE_INTERVAL_MS = 250;

/** Time constant of the use of slots; shorter than a wave of traffic, so that its peaks stay visible. */
export const USE_SMOOTHING_MS = 1000;

/** Period of the peaks and means that decide on growth, one wave of traffic. */
export const GROWTH_PERIOD_MS = 13_000;

/** Period whose peak decides on a reduction, three waves of traffic. */
export const SHRINK_PERIOD_MS = 40_000;

/** Shortest measurement from which engines are ordered. */
export const MIN_GROWTH_MEASUREMENT_MS = 3000;

/** Shortest time between two orders for a zone beyond the lease of the duties, so that no zone goes back and forth within it. */
export const ORDER_INTERVAL_MARGIN_MS = 1000;

/** Shortest time from a change of a zone's engines to a reduction there, and between reductions of different zones. */
export const SHRINK_AFTER_CHANGE_MS = 20_000;
export const SHRINK_INTERVAL_MS = 5000;

/** Share of the engines in excess that one order gives up, at least one. */
export const SHRINK_STEP_RATIO = 1 / 3;

/** Smallest growth of one order: each one costs a call, and a crowded zone seldom needs a single engine more. */
export const GROWTH_STEP_RATIO = 1.1;

/** Time beyond the start of an engine after which one that is missing is taken to stay away. */
export const MISSING_MARGIN_MS = 5000;

/** Growth that is ordered while the engines of the last order still start; smaller growth is left to the engines that still start. */
export const GROWTH_WHILE_STARTING_RATIO = 1.1;

/** A zone whose use was not measured for this long is measured anew. */
export const USE_GAP_MS = 2000;

/** Use of slots at the peak of a wave, and on average, for which engines are ordered. */
export const PEAK_USE_RATIO = 0.9;
export const MEAN_USE_RATIO = 0.75;

/** Use on average from which demand is taken to exceed the slots: refused requests are in none of the counts. */
export const SATURATED_USE_RATIO = 0.95;
export const SATURATED_GROWTH_RATIO = 1.3;

/** Use at the peak up to which engines are given up: an engine costs about as much as one request a second is worth, and serves several. */
export const SHRINK_USE_RATIO = 0.65;

/** Use from which waiting requests count as demand; below, they wait for a model rather than for a slot. */
export const WAITING_COUNTS_RATIO = 0.7;
