/** Time after which zones out of service (P6) and leaving targets (P10) get no new work; withdrawn keys on reachable hosts have the same bound. */
export const NEW_WORK_CUTOFF_MS = 2000;

/** A host without a connection to the fleet accepts keys, and uses the last known zone states, for one key lease. */
export const KEY_LEASE_MS = 4000;

/** A host checks key and zone before it connects to a target; the connect delays the write of the body by at most this time. */
export const MAX_CONNECT_MS = 1000;

/** Time after the end of a fault that elections and the polls of followers need until every host has received all changes. */
export const RECOVERY_MS = 5000;
