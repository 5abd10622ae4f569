export const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Engines with room for a further model. */
export const SPARE_ENGINES = ZONES.map(zone => `engine-${zone}-2`);
export const HOSTS_PER_ZONE = 2;
export const WITHDRAWN_KEY_COUNT = 4;

/** Longer than any route's time limit and any pause, so that a late answer is still seen. */
export const CALL_TIMEOUT_MS = 15_000;
export const ADMIN_TIMEOUT_MS = 5000;
export const SAMPLE_INTERVAL_MS = 100;

/** Time for which an operator sends a change again until the answer is definite. */
export const OPERATOR_RETRY_MS = 20_000;

/** Time after a fault of a host in which no other one is planned for it: a restart, or a stop that waits for its work. */
export const HOST_FAULT_SPACING_MS = 6000;

/** Requests after which a started engine counts as warm. */
export const WARM_AFTER_REQUESTS = 6;
