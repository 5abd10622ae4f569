import {MAX_SYNC_GAP_MS, SYNC_GAP_MS, SYNC_GAP_PER_HOST_MS} from './constants.js';

/** Least time between two polls of one entry host. Answers fleets of many hosts, all of which poll the leader at each change of any engine. */
export function getSyncGapMs(hostCount: number): number {
	return Math.min(MAX_SYNC_GAP_MS, Math.max(SYNC_GAP_MS, hostCount * SYNC_GAP_PER_HOST_MS));
}
