import {ADAPTER_ANSWER_MS} from '@egretrill/engines';

export const DIRECTORY_SYNC_INTERVAL_MS = 500;
/** The second directory host hears the same targets, so it is asked less often while the first one answers. */
export const SECONDARY_DIRECTORY_SYNC_INTERVAL_MS = 1000;
export const SUMMARY_SYNC_INTERVAL_MS = 1000;
export const DEMAND_REPORT_INTERVAL_MS = 1000;

/** Reports of a host's demand are forgotten after this time without a new one. */
export const DEMAND_TTL_MS = 5000;
export const ZONE_DUTY_INTERVAL_MS = 200;
export const POOL_RETRY_MS = 20;

/** How often the owner of a zone checks what its targets hold against the promises. */
export const PLACEMENT_AUDIT_INTERVAL_MS = 5000;

/** How often hosts with disks write the promise counters into the evidence. */
export const PROMISE_RECORD_INTERVAL_MS = 600_000;

/** A call for an adapter ends well after the zone owner's own limit, so that a slow load does not count as a silent host. */
export const ADAPTER_CALL_DEADLINE_MS = 2 * ADAPTER_ANSWER_MS;

/** Pause after an adapter could not be loaded; its cause, such as a zone owner that has just changed, takes longer to pass. */
export const ADAPTER_RETRY_MS = 250;

/** How often the slots of the fair queues follow the targets' capacity. */
export const SLOT_UPDATE_INTERVAL_MS = 100;
export const LOAD_PERMIT_POLL_MS = 50;

/** Blocked requests reach the admission of this host at least this often. */
export const CONFIG_SYNC_INTERVAL_MS = 250;
export const INITIAL_CONFIG_RETRY_MS = 500;

/** A target that neither accepts nor refuses a connection for this long may still live. */
export const PROBE_TIMEOUT_MS = 500;

/** A dying process closes its listening socket within this time after its connections; a probe that stays open for longer has reached a live one. */
export const PROBE_CLOSE_WAIT_MS = 100;
export const PROBE_RETRY_MS = 20;

/** Distance assumed between zones of one region, so that near targets are preferred at equal load. */
export const ZONE_DISTANCE_MS = 1;

/** Distance assumed between regions. */
export const REGION_DISTANCE_MS = 30;

/** How often the certificate files are read again, so that a rotation needs no restart. */
export const CERTIFICATE_REFRESH_MS = 1000;
