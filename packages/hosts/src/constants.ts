export const PEER_CALL_DEADLINE_MS = 1000;

/**
 * A connection between hosts is replaced when a call fails on it after nothing was received for this long.
 * Each host calls the hosts that it follows at least once per second, so an unresponsive connection is detected within
 * 2,500 ms without keepalive pings.
 */
export const PEER_UNRESPONSIVE_MS = 1500;
/**
 * A call that times out after nothing was received for this long shows that its connection may be silent for good, and with
 * it every connection on which nothing was received since: all of them are replaced before their next use. Below the timeout
 * of a poll of a control host, 900 ms, so that the first poll that fails shows it.
 */
export const PEER_SILENT_MS = 800;
/** Keepalive interval of server sessions, so that sessions of hosts that disappeared without closing them do not accumulate. */
export const SESSION_KEEPALIVE_MS = 30_000;
/** Bytes that may be written to a session before the other host takes them; above, nothing more is written or read. */
export const SESSION_WRITE_AHEAD_BYTES = 1_048_576;
/** Calls of one method that a session may have under way; a host that forwards 50 calls a second, each for the longest time of 5 s, has 250. */
export const SESSION_MAX_METHOD_CALLS = 256;
export const PEER_RECONNECT_MIN_MS = 100;
export const PEER_RECONNECT_MAX_MS = 1000;

/** Longest time for which a parent holds a follow poll while nothing changes (long polling). */
export const FOLLOW_WAIT_MS = 500;
/**
 * Deadline of a follow poll beyond its wait. An unreachable parent is abandoned 1,250 ms after a poll was sent,
 * well before a key lease of 4,000 ms expires.
 */
export const FOLLOW_RESPONSE_MARGIN_MS = 750;
export const FOLLOW_RETRY_MS = 100;

/** A follower switches to another parent when its parent's configuration was confirmed longer ago than this. */
export const FOLLOW_MAX_AGE_MS = 1500;
export const HEARTBEAT_MS = 150;
/** Leader lease; it expires before any follower that acknowledged a heartbeat may vote for another leader. */
export const LEADER_LEASE_MS = 500;
/**
 * Shortest suspension that voids the lease. A shorter one lengthens the lease by less than the margin of 400 ms that the
 * election timeout leaves.
 */
export const MIN_SUSPENSION_MS = 200;
export const MIN_ELECTION_TIMEOUT_MS = 900;
export const MAX_ELECTION_TIMEOUT_MS = 1800;
/**
 * How long a restarted member waits before it votes. Longer than any lease that it may have acknowledged, and shorter than
 * an election timeout, so that a fleet whose members all restarted elects a leader soon.
 */
export const RESTART_VOTE_DELAY_MS = 600;

/** Shortest time between two writes that a member tries while its disk is full; each has to cut off what it has written. */
export const NO_SPACE_RETRY_MS = 100;

/** Longest time that a leader's write may take before it steps down; a sync on a slow disk takes up to about 100 ms. */
export const LEADER_WRITE_TIMEOUT_MS = 1000;

export const VOTE_TIMEOUT_MS = 300;
/** Well above the heartbeat interval, since a follower may sync a large batch before it answers. */
export const APPEND_TIMEOUT_MS = 1000;
export const SNAPSHOT_TIMEOUT_MS = 3000;
export const PROPOSE_TIMEOUT_MS = 5000;
/** Longest time for which a task waits for a notification before it checks its condition again. */
export const MAX_IDLE_WAIT_MS = 60_000;

/** Number of entries applied since the last snapshot that triggers the next one. */
export const COMPACTION_THRESHOLD_ENTRIES = 256;
/** Bytes of entries applied since the last snapshot that trigger the next one; the log is held in memory, and one configuration may take 16 MB. */
export const COMPACTION_THRESHOLD_BYTES = 16_777_216;
/** Bytes of the entries before a snapshot that stay in the log. */
export const RETAINED_LOG_BYTES = 4_194_304;
/** Entries before a snapshot that stay in the log, so that a follower that lags briefly does not need the snapshot. */
export const RETAINED_LOG_ENTRIES = 64;
export const MAX_BATCH_ENTRIES = 64;
export const MAX_BATCH_BYTES = 1_048_576;
export const SNAPSHOT_CHUNK_BYTES = 1_048_576;

export const MAX_OUTCOME_BODY_BYTES = 65_536;
export const RECORD_RETENTION_MS = 86_400_000;
export const RECORD_BUCKETS = 256;
/** Number of configuration changes retained for followers; one that lags further behind receives the whole document. */
export const RETAINED_CHANGES = 256;
/** Answers retained for resent operator requests; about one day of changes at the design load of 4,300 per day. */
export const RETAINED_ANSWERS = 4096;

export const DIRECTORY_HOSTS_PER_ZONE = 2;

/** A host that has not answered for this long is suspected and skipped when a peer is chosen. */
export const PEER_SUSPECT_MS = 1500;

/** Delay after which a suspected host is tried again. */
export const PEER_RETRY_MS = 5000;

/** Renewal interval of a zone lease; well below ZONE_LEASE_TTL_MS. */
export const ZONE_LEASE_RENEW_MS = 1000;

/** Time after which a command that no leader has accepted fails. */
export const COMMAND_DEADLINE_MS = 5000;
/** Voters that stay when members are removed, in a fleet whose operators require no number. */
export const DEFAULT_MIN_VOTERS = 1;
/** How long a new leader of a fleet that has not been complete yet waits for the missing voters before it acknowledges changes. */
export const BOOTSTRAP_TIMEOUT_MS = 10_000;
/** Deadline for a `record` command without a leader: the longest usual election, so that a partitioned zone rejects requests soon. */
export const RECORD_DEADLINE_MS = 2500;
export const COMMAND_RETRY_MS = 50;
/**
 * Longest time between two checks of state that depends on leadership. Changes of the log trigger a check immediately;
 * changes caused by time alone, such as an expired lease, are detected after this interval.
 */
export const LEADER_STATE_CHECK_MS = 250;

/** Records of evidence on what ends targets that are passed on with a configuration. */
export const MAX_PASSED_CRASHES = 64;

/** Number of keys whose evidence on crashes is retained, and of ends for each; they bound what it adds to a snapshot. */
export const MAX_STORED_CRASHES = 64;
export const MAX_STORED_ENDS = 32;

/** Retention of the departures of targets: registrations arrive seconds late, and some that a partition has held up later still. */
export const DEPARTURE_RETENTION_MS = 60_000;
/** Number of departures retained, so that targets that come and go all the time don't fill the snapshots. */
export const MAX_DEPARTURES = 1024;

/** Settled windows that the provider has not confirmed: more than an hour of windows of 5 s. Beyond, the oldest are dropped. */
export const MAX_UNCONFIRMED_WINDOWS = 1024;
/** Windows that one entry settles, and customers in each. */
export const MAX_SETTLED_AT_ONCE = 32;
export const MAX_USAGE_CUSTOMERS = 1024;
/** Services and zones whose ordered engine counts are retained. */
export const MAX_ENGINE_COUNTS = 256;
