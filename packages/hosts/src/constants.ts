export const PEER_CALL_DEADLINE_MS = 1000;

/**
 * A connection between hosts on which a call times out after this much silence is closed and opened anew.
 * Each host calls those that it follows at least once a second, so a silent connection is found within 2,500 ms without pings.
 */
export const PEER_UNRESPONSIVE_MS = 1500;
/** How often a host checks that the other end of a session still exists, so that sessions of vanished hosts do not pile up. */
export const SESSION_KEEPALIVE_MS = 30_000;
export const PEER_RECONNECT_MIN_MS = 100;
export const PEER_RECONNECT_MAX_MS = 1000;

/** Longest time a parent holds a follow poll open while nothing changes. */
export const FOLLOW_WAIT_MS = 500;
/** Time for the answer beyond the wait; a lost parent is left 1,250 ms after a poll, which a key lease of 4,000 ms outlasts. */
export const FOLLOW_RESPONSE_MARGIN_MS = 750;
export const FOLLOW_RETRY_MS = 100;

/** A parent whose own knowledge is older than this is left for another one. */
export const FOLLOW_MAX_AGE_MS = 1500;
export const HEARTBEAT_MS = 150;
/** Leader lease; it ends before any follower that acknowledged a heartbeat may vote for another leader. */
export const LEADER_LEASE_MS = 500;
export const MIN_ELECTION_TIMEOUT_MS = 900;
export const MAX_ELECTION_TIMEOUT_MS = 1800;
/** How long a restarted member waits before it votes; longer than any lease that it may have acknowledged, and shorter than an election timeout, so that a fleet that lost all members leads again soon. */
export const RESTART_VOTE_DELAY_MS = 600;

export const VOTE_TIMEOUT_MS = 300;
/** A follower may sync a large batch before it answers, so this is well above the heartbeat. */
export const APPEND_TIMEOUT_MS = 1000;
export const SNAPSHOT_TIMEOUT_MS = 3000;
export const PROPOSE_TIMEOUT_MS = 5000;
/** Tasks that wait for a notification look again after this time at the latest. */
export const MAX_IDLE_WAIT_MS = 60_000;

export const COMPACTION_THRESHOLD_ENTRIES = 256;
/** Entries kept behind a snapshot, so that a briefly slow follower needs no snapshot. */
export const RETAINED_LOG_ENTRIES = 64;
export const MAX_BATCH_ENTRIES = 64;
export const MAX_BATCH_BYTES = 1_048_576;
export const SNAPSHOT_CHUNK_BYTES = 1_048_576;

export const MAX_OUTCOME_BODY_BYTES = 65_536;
export const RECORD_RETENTION_MS = 86_400_000;
export const RECORD_BUCKETS = 256;
/** Followers that are further behind receive the whole document. */
export const RETAINED_CHANGES = 256;
/** Answers kept for resends, about one day of changes at the design size of 4,300 a day. */
export const RETAINED_ANSWERS = 4096;

export const DIRECTORY_HOSTS_PER_ZONE = 2;

/** A host that has not answered for this long is passed over when a peer is chosen. */
export const PEER_SUSPECT_MS = 1500;

/** A suspected host is tried again after this pause. */
export const PEER_RETRY_MS = 5000;

/** The right of a zone's owner is renewed well before ZONE_LEASE_TTL_MS has passed. */
export const ZONE_LEASE_RENEW_MS = 1000;

/** Time after which a command that found no leader is given up. */
export const COMMAND_DEADLINE_MS = 5000;
/** A record that finds no leader is given up after the longest usual election, so that a cut-off zone refuses soon. */
export const RECORD_DEADLINE_MS = 2500;
export const COMMAND_RETRY_MS = 50;
/** Duties follow changes of the log at once; what changes by time alone, such as a lease that ends, is seen after this time. */
export const LEADER_STATE_CHECK_MS = 250;
