import {ADAPTER_ANSWER_MS} from '@egretrill/engines';

export const DIRECTORY_SYNC_INTERVAL_MS = 500;
/** The secondary directory host holds the same targets, so it is polled less often while the primary one responds. */
export const SECONDARY_DIRECTORY_SYNC_INTERVAL_MS = 1000;
export const SUMMARY_SYNC_INTERVAL_MS = 1000;
export const DEMAND_REPORT_INTERVAL_MS = 1000;

/** A host's demand reports expire after this time without a new one. */
export const DEMAND_TTL_MS = 5000;
export const ZONE_DUTY_INTERVAL_MS = 200;
export const POOL_RETRY_MS = 20;

/** How often a zone owner audits the models resident on its targets against the promises. */
export const PLACEMENT_AUDIT_INTERVAL_MS = 5000;

/** How often hosts with disks append the promise counters to the evidence log. */
export const PROMISE_RECORD_INTERVAL_MS = 600_000;

/** Deadline of an adapter load call, well beyond the zone owner's own limit, so that a slow load is not mistaken for an unresponsive host. */
export const ADAPTER_CALL_DEADLINE_MS = 2 * ADAPTER_ANSWER_MS;

/** Delay before a failed adapter load is retried; typical causes, such as a recent change of the zone owner, last at least this long. */
export const ADAPTER_RETRY_MS = 250;

/** How often the fair queues adjust their slots to the targets' capacity. */
export const SLOT_UPDATE_INTERVAL_MS = 100;
export const LOAD_PERMIT_POLL_MS = 50;

/** Longest time between two checks of the configuration and of the blocked requests. */
export const CONFIG_SYNC_INTERVAL_MS = 250;
export const INITIAL_CONFIG_RETRY_MS = 500;

/** Assumed latency between zones of one region, so that near targets are preferred at equal load. */
export const ZONE_DISTANCE_MS = 1;

/** Assumed latency between regions. */
export const REGION_DISTANCE_MS = 30;

/** How often the certificate files are re-read, so that a rotation needs no restart. */
export const CERTIFICATE_REFRESH_MS = 1000;

/** Longest wait at the end of a drain for the requests in flight to end; a record of a call that must not run twice is released within it. */
export const REQUEST_END_TIMEOUT_MS = 500;

/** Time for the last answers to be sent before the connections are closed. */
export const FINAL_FLUSH_MS = 50;

/** Ends of targets under one unchanged request from which on it is refused; the leader knows of each end before the request is sent again. */
export const CHAT_REQUEST_ENDS_TO_BLOCK = 2;

/** Shortest time between two reports of evidence to the leader. */
export const CRASH_REPORT_INTERVAL_MS = 250;
