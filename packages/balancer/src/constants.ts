/** The balancer probes readiness about twice a second, so after this wait it has seen a failed probe and opens no new connections. */
export const BALANCER_WAIT_MS = 1000;

/** Retry delay for clients that reach a draining host; by then the balancer routes them to another host. */
export const DRAIN_RETRY_AFTER_MS = 1000;

/** Largest number of label sets per metric; five customers times 100 models fit, and the rest is aggregated under `OVERFLOW_LABEL`. */
export const MAX_LABEL_SETS = 512;

/** Percentiles need up to 16 KB per label set, so their limit is lower than that of counters. */
export const MAX_PERCENTILE_LABEL_SETS = 256;

/** Value of every label in the label set that aggregates all sets beyond the limit. */
export const OVERFLOW_LABEL = 'other';

/** Durations are recorded in tenths of a millisecond, a twentieth of the 2 ms latency bound. */
export const DURATION_STEPS_PER_MS = 10;

/** Longer durations are recorded as this value, the queue deadline of batch requests. */
export const MAX_DURATION_MS = 600_000;

export const REPORTED_QUANTILES = [0.5, 0.95, 0.99] as const;

/** Percentiles cover the last one to two windows of this length, so that a slow hour is not hidden by a fast week. */
export const PERCENTILE_WINDOW_MS = 300_000;
