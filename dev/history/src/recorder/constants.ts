export const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Engines with memory for another model. */
export const SPARE_ENGINES = ZONES.map(zone => `engine-${zone}-2`);
export const HOSTS_PER_ZONE = 2;
export const WITHDRAWN_KEY_COUNT = 4;

/** Longer than any route's timeout and any pause of a host, so that a late answer is still recorded. */
export const CALL_TIMEOUT_MS = 15_000;
export const ADMIN_TIMEOUT_MS = 5000;
export const SAMPLE_INTERVAL_MS = 100;

/** Time for which an operator retries a change until its result is definite. */
export const OPERATOR_RETRY_MS = 20_000;

/** Minimum time between two faults of one host; covers a restart, or a stop that waits for requests in progress. */
export const HOST_FAULT_SPACING_MS = 6000;

/** Completed requests after which a started engine reports that it is warm. */
export const WARM_AFTER_REQUESTS = 6;
