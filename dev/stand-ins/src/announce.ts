import {ANNOUNCE_INTERVAL_MS, MonotonicClock} from '@egretrill/common';
import got from 'got';
import type {Announcer} from './types.js';

const clock = new MonotonicClock();

/** Announces a target to one host until the signal aborts. */
async function announceTo(host: string, {getAnnouncement}: Announcer, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			await got.post(`http://${host}/targets/announce`, {
				json: getAnnouncement(), retry: {limit: 0}, timeout: {request: ANNOUNCE_INTERVAL_MS}, signal,
			});
		} catch {
			// A host that is down receives the next announcement after its restart.
		}

		await clock.sleep(ANNOUNCE_INTERVAL_MS, signal);
	}
}

/** Announces a target to its hosts until the signal aborts; each host has a loop of its own, so that one without an answer delays no other. */
export async function announceUntil(announcer: Announcer, signal: AbortSignal): Promise<void> {
	await Promise.all(announcer.hosts.map(async host => announceTo(host, announcer, signal)));
}
