import {MAX_SYNC_INTERVAL_MS, MIN_SYNC_INTERVAL_MS, SYNC_INTERVAL_PER_HOST_MS} from './constants.js';

/** Shortest time between two polls of one entry host. It grows with the number of hosts, since each of them polls the leader at each change of any engine. */
export function getSyncIntervalMs(hostCount: number): number {
	return Math.min(MAX_SYNC_INTERVAL_MS, Math.max(MIN_SYNC_INTERVAL_MS, hostCount * SYNC_INTERVAL_PER_HOST_MS));
}
