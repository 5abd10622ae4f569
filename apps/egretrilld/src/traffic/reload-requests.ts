import process from 'node:process';
import type {Clock} from '@egretrill/common';
import {SETTINGS_POLL_INTERVAL_MS} from './constants.js';

/** Requests to read the settings again. Without a handler, the signal would end the process, also while it starts. */
export class ReloadRequests {
	private requested = new AbortController();

	constructor() {
		process.on('SIGHUP', () => {
			this.requested.abort();
		});
	}

	/** Resolves at the first request since the last wait, or when the settings are to be read anyway, or when the signal aborts. */
	async wait(clock: Clock, signal: AbortSignal): Promise<void> {
		await clock.sleep(SETTINGS_POLL_INTERVAL_MS, AbortSignal.any([signal, this.requested.signal]));
		this.requested = new AbortController();
	}
}
