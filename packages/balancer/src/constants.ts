/** The balancer probes about twice a second, so after this wait it has seen the failed readiness and sends no new connections. */
export const BALANCER_WAIT_MS = 1000;

/** Clients that meet a draining host are told to return once the balancer has moved them elsewhere. */
export const DRAIN_RETRY_AFTER_MS = 1000;

/** Label sets kept per metric; five customers times 100 models fit, and the rest is summed under one label. */
export const MAX_LABEL_SETS = 512;

/** Percentiles cost up to 16 KB per label set, so they get a tighter bound than counters. */
export const MAX_PERCENTILE_LABEL_SETS = 256;

/** Value of every label of the set that collects what exceeds the bound. */
export const OVERFLOW_LABEL = 'other';

/** Durations are recorded in tenths of a millisecond, a twentieth of the 2 ms latency bound. */
export const DURATION_STEPS_PER_MS = 10;

/** Longer durations are recorded as this one: the queue deadline of batch requests. */
export const MAX_DURATION_MS = 600_000;

export const REPORTED_QUANTILES = [0.5, 0.95, 0.99] as const;

/** Percentiles cover the last one to two windows, so that a slow hour is not hidden by a fast week. */
export const PERCENTILE_WINDOW_MS = 300_000;
