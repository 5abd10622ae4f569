/** Bound of the promises P6 and P10 and of key withdrawal on reachable hosts. */
export const NEW_WORK_CUTOFF_MS = 2000;

/** A host that has lost touch honours keys, and what it knows of zones, for one key lease. */
export const KEY_LEASE_MS = 4000;

/** A host checks key and zone before it connects; the connect takes at most this long before the body is written. */
export const MAX_CONNECT_MS = 1000;

/** After a fault has ended, elections and the polls of followers need this long until every host has heard of all changes. */
export const RECOVERY_MS = 5000;
