/** Longest time that a control host holds the poll of an entry host open while nothing changes. */
export const SYNC_WAIT_MS = 200;

/** Time for the owner of rates to lend; a request that waits longer spends what its host holds. */
export const BORROW_TIMEOUT_MS = 250;

/** Time for the answer to a poll beyond the wait. */
export const SYNC_RESPONSE_TIMEOUT_MS = 700;

/** Least time between two polls, so that a burst of changes travels in one answer. */
export const MIN_SYNC_INTERVAL_MS = 50;

/** What each entry host adds to the time between two polls, so that the leader answers at most 250 polls a second, and the most that this adds up to. */
export const SYNC_INTERVAL_PER_HOST_MS = 4;
export const MAX_SYNC_INTERVAL_MS = 500;

/** Time between two polls when no control host answers. */
export const SYNC_RETRY_MS = 150;

/** A control host that did not answer is passed over for this long. */
export const CONTROL_SUSPICION_MS = 1000;

/** How often control hosts exchange registrations. */
export const GOSSIP_INTERVAL_MS = 150;

/** How often a control host that is no member of the log asks to become one. */
export const JOIN_RETRY_MS = 500;

/** How often a control host looks for silent targets and changed duties. */
export const CONTROL_CHECK_INTERVAL_MS = 250;

/** A member that has not answered for this long is removed when enough others vote; it asks to be added again when it returns. */
export const MEMBER_TIMEOUT_MS = 2500;

/** How often the leader looks for silent members. */
export const MEMBER_CHECK_INTERVAL_MS = 1000;

/** Time for a leaving member's own removal before it stops. */
export const LEAVE_TIMEOUT_MS = 1500;

/** Drift and delay added to the lease of an earlier holder before the first order of a new one. */
export const ORDER_TAKEOVER_MARGIN_MS = 300;

/** What the running requests of a silent entry host count for after its last poll. */
export const ENTRY_REPORT_TTL_MS = 1500;

/** How often the leader compares the entry hosts that it hears with those that the log names. */
export const ENTRY_RECORD_INTERVAL_MS = 400;

/** The leader is not asked again for an adapter within this time. */
export const ADAPTER_REQUEST_INTERVAL_MS = 50;

/** The same while it has not answered: it answers when the adapter is loaded, and the call may be lost. */
export const ADAPTER_REQUEST_RETRY_MS = 250;

/** How long a change of the settings file may go unnoticed when no signal tells of it. */
export const SETTINGS_POLL_INTERVAL_MS = 1000;

/** Decision lines that an entry host writes on average. The platform keeps about 180 kB of the output of a process, which then reaches back more than a minute. */
export const LOG_BYTES_PER_SECOND = 2450;

/** Decision lines that may be written at once after a quiet time. */
export const LOG_BURST_BYTES = 8500;

/** With less than this left, failures share the line of their second. */
export const FULL_LINE_RESERVE_BYTES = 5000;

/** A cause whose failures share lines has a line of its own at least this often, since that one tells more. */
export const CAUSE_LINE_INTERVAL_MS = 10_000;

/** With less than this left, the line of a second counts failures without their ids. */
export const FAILURE_IDS_RESERVE_BYTES = 3500;

/** With less than this left, the line of a second holds the ids of answered requests without further facts. */
export const ANSWER_DETAILS_RESERVE_BYTES = 2000;

/** What a line holds beside its fields: the names of process, host and part, its level, time and message. */
export const LINE_OVERHEAD_BYTES = 200;

/** Time whose decisions share a line. */
export const AGGREGATION_INTERVAL_MS = 1000;

/** Callers choose ids and the names of models; longer ones are cut, so that no caller can use up the room of the others' lines. */
export const MAX_LOGGED_NAME_LENGTH = 64;
