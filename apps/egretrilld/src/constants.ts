export const DIRECTORY_SYNC_INTERVAL_MS = 500;
export const SUMMARY_SYNC_INTERVAL_MS = 1000;
export const DIRECTORY_HOSTS_PER_ZONE = 2;

/** A host that has not answered for this long is passed over when a peer is chosen. */
export const PEER_SUSPECT_MS = 1500;

/** A suspected host is tried again after this pause. */
export const PEER_RETRY_MS = 5000;

export const POOL_RETRY_MS = 50;
