/** Longest time that a control host holds a long poll of an entry host while nothing changes. */
export const SYNC_WAIT_MS = 200;

/** Timeout of a borrow call to the leader; after it a request is charged to its host's own allocation of the rate. */
export const BORROW_TIMEOUT_MS = 250;

/** Timeout of a poll in addition to the time for which it may be held. */
export const SYNC_RESPONSE_TIMEOUT_MS = 700;

/** Length of a part of a configuration. Even one that cannot be compressed takes 0.3 s on a link of 7 Mbit/s, and calls between hosts time out after 1 s. */
export const CONFIG_PART_BYTES = 262_144;

/** Number and bytes of the versions of the configuration that are retained for hosts that are receiving them. */
export const MAX_RETAINED_CONFIGS = 8;
export const MAX_RETAINED_CONFIG_BYTES = 33_554_432;

/** Shortest time between two polls of an entry host, so that a burst of changes is returned in one answer. */
export const MIN_SYNC_INTERVAL_MS = 50;

/** Poll interval per entry host of the fleet, so that the leader answers at most 250 polls a second, and the upper bound of the interval. */
export const SYNC_INTERVAL_PER_HOST_MS = 4;
export const MAX_SYNC_INTERVAL_MS = 500;

/** Time between two polls while no control host answers. */
export const SYNC_RETRY_MS = 150;

/** A control host that did not answer a poll is skipped for this long. */
export const CONTROL_SUSPICION_MS = 1000;

/** Time in which each running target registers with some control host; targets register about every 1.2 s. */
export const REGISTRY_SETTLE_MS = 1500;

/** Longest time from the start of a control host during which it serves no targets because it does not know yet what the log holds: no leader tells it while its zone is cut off. */
export const DEPARTURES_WAIT_MS = 6000;

/** How often control hosts exchange registrations, members and the leader. */
export const GOSSIP_INTERVAL_MS = 150;

/** Longest time from the arrival of an order for a zone to its confirmation. */
export const ZONE_ORDER_DEADLINE_MS = 5000;

/** Time between two questions to the leader while it does not answer. */
export const ZONE_ORDER_RETRY_MS = 50;

/** Longest time that a deregistration waits for the other control hosts before it is answered; one that does not answer in time must not hold up the target. */
export const DEPARTURE_TIMEOUT_MS = 300;

/** Longest time that a deregistration waits for the log; together with DEPARTURE_TIMEOUT_MS below the second after which the target calls another host. */
export const DEPARTURE_RECORD_TIMEOUT_MS = 500;

/** How often a control host that is not a member of the log requests membership. */
export const JOIN_RETRY_MS = 500;

/** How often a control host checks for expired registrations and changes of leadership if no change notifies it. */
export const CONTROL_CHECK_INTERVAL_MS = 250;

/** A member that has not answered for this long is removed if enough other voters remain; it requests membership again after it recovers. */
export const MEMBER_TIMEOUT_MS = 2500;

/** How often the leader checks for unresponsive members. */
export const MEMBER_CHECK_INTERVAL_MS = 1000;

/** Longest time that a stopping member waits for its own removal from the log. */
export const LEAVE_TIMEOUT_MS = 1500;

/** Longest time that a stopping member waits for a host that replaces it: the platform starts that one first, but it needs a while to be heard. */
export const SUCCESSOR_CONTACT_TIMEOUT_MS = 1500;

/** Longest time that a stopping member waits for a running host to become a voter in its place. */
export const SUCCESSOR_CATCH_UP_TIMEOUT_MS = 3000;

/** Longest time that a stopping member spends on leaving in all: the platform kills a process 8 s after its stop signal, and other tasks still have to end. */
export const MAX_LEAVE_MS = 5500;

/** How often a stopping member checks whether it may stop. */
export const LEAVE_CHECK_INTERVAL_MS = 50;

/** Time from the failure of the log to the end of the process, so that a host whose disk stays full for seconds does not restart all the time. */
export const LOG_FAILURE_EXIT_DELAY_MS = 500;

/** Margin for clock drift and delays that a new order holder waits after the lease of the previous one. */
export const ORDER_TAKEOVER_MARGIN_MS = 300;

/** Longest time that the leader waits for the removal of another member, which it requests again at its next check; a stop waits for it as well. */
export const MEMBER_REMOVAL_TIMEOUT_MS = 1500;

/** The running requests of an entry host are counted for this long after its last poll. */
export const ENTRY_REPORT_TTL_MS = 1500;

/** A host's word that a target leaves is passed on for this long after its last poll that says so, and for this many targets. */
export const LEAVING_HINT_TTL_MS = 5000;
export const MAX_LEAVING_TARGETS = 256;

/** How often the leader compares the entry hosts that poll it with those recorded in the log. */
export const ENTRY_RECORD_INTERVAL_MS = 400;

/** Shortest time between two requests to the leader for the same adapter. */
export const ADAPTER_REQUEST_INTERVAL_MS = 50;

/** Timeout of a call for sends to cold targets; shorter than the time for which a granted send may be used. */
export const COLD_SEND_TIMEOUT_MS = 150;

/** Number of cold targets for which one call may request a send. */
export const MAX_COLD_WANTS = 64;

/** How often the leader logs the speeds of targets while they differ. */
export const SPEED_LOG_INTERVAL_MS = 10_000;

/** Time after which an unanswered request for an adapter is repeated: the leader answers only when the adapter is loaded, and the call may be lost. */
export const ADAPTER_REQUEST_RETRY_MS = 250;

/** Part of the drain time for which idle connections alone keep a host running; the rest is for the end of its process, which took up to 0.3 s. */
export const IDLE_WAIT_RATIO = 0.9;

/** Time after the end of a planned stop in which requests that still arrive are refused and the last answers are sent. */
export const FINAL_FLUSH_MS = 150;

/** Time from the end of the host's side of a connection until the connection is closed, in which a refusal reaches its caller. */
export const FINAL_CLOSE_MS = 50;

/** Longest time that a control host waits at its end until calls in progress are answered: a deregistration asks the other hosts twice, each time for DEPARTURE_TIMEOUT_MS. */
export const CALL_END_TIMEOUT_MS = (2 * DEPARTURE_TIMEOUT_MS) + 100;

/** How often the settings are re-read when no signal announces a change. */
export const SETTINGS_POLL_INTERVAL_MS = 1000;

/** Average rate of the decision lines of an entry host. The platform keeps about 180 kB of the output of a process, which covers more than a minute at this rate. */
export const LOG_BYTES_PER_SECOND = 2450;

/** Burst of decision lines that may be written after a quiet period. */
export const LOG_BURST_BYTES = 8500;

/** With fewer bytes left in the budget, failures are aggregated into one line per second. */
export const FULL_LINE_RESERVE_BYTES = 5000;

/** Lines of a process about requests that it cut off; about 0.8 kB each, so that they displace little of the output that is kept. */
export const MAX_LOSS_LINES = 64;

/** A cause whose failures are aggregated still gets a separate line this often, since that line holds more details. */
export const CAUSE_LINE_INTERVAL_MS = 10_000;

/** With fewer bytes left, the aggregated line counts failures without their ids. */
export const FAILURE_IDS_RESERVE_BYTES = 3500;

/** With fewer bytes left, the aggregated line holds the ids of answered requests without further details. */
export const ANSWER_DETAILS_RESERVE_BYTES = 2000;

/** Lost requests, and prompt parts of each, that the line about the end of a target names. */
export const MAX_LOGGED_LOST_REQUESTS = 8;

/** Size of a line in addition to its fields: the names of process, host and component, its level, time and message. */
export const LINE_OVERHEAD_BYTES = 200;

/** Period whose decisions are aggregated into one line. */
export const AGGREGATION_INTERVAL_MS = 1000;

/** Callers choose request ids and model names; longer ones are truncated, so that no caller can exhaust the log budget of the others. */
export const MAX_LOGGED_NAME_LENGTH = 64;

/** Shortest time between two warnings of one kind that other processes can cause at any rate. */
export const WARNING_INTERVAL_MS = 5000;

/** Longer texts of other processes are truncated in warnings. */
export const MAX_LOGGED_TEXT_LENGTH = 200;

export const BYTES_PER_MB = 1_000_000;

/** Part of a process's memory that requests and answers may hold. The rest is for the program and its heap, for buffers that were dropped and are not collected yet, and for those of the connections. */
export const HELD_MEMORY_RATIO = 0.2;

/** Longest wait for the log to confirm an entry of the duties towards the provider, which make nothing else meanwhile. */
export const DUTY_LOG_TIMEOUT_MS = 1000;

/** Faults of a registration that one line names. */
export const MAX_LOGGED_FAULTS = 3;

/** How often waiting requests are retried if no change of the targets triggers it. */
export const QUEUE_RETRY_INTERVAL_MS = 100;
