import {ANNOUNCE_INTERVAL_MS, MonotonicClock} from '@egretrill/common';
import got from 'got';
import type {Announcer} from './types.js';

const clock = new MonotonicClock();

/** Announces a target to its hosts until the signal aborts; hosts that do not answer are skipped. */
export async function announceUntil({getAnnouncement, hosts}: Announcer, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const announcement = getAnnouncement();
		await Promise.all(hosts.map(async host => {
			try {
				await got.post(`http://${host}/targets/announce`, {
					json: announcement, retry: {limit: 0}, timeout: {request: ANNOUNCE_INTERVAL_MS}, signal,
				});
			} catch {
				// A host that is down hears the next announcement after its restart.
			}
		}));
		await clock.sleep(ANNOUNCE_INTERVAL_MS, signal);
	}
}
