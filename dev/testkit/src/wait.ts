import {setTimeout as delay} from 'node:timers/promises';
import {POLL_INTERVAL_MS, WAIT_TIMEOUT_MS} from './constants.js';

/** Waits until a check returns something; fails with what was awaited. */
export async function waitFor<T>(what: string, check: () => Promise<T | undefined> | T | undefined, timeoutMs = WAIT_TIMEOUT_MS): Promise<T> {
	const endsMs = performance.now() + timeoutMs;
	for (;;) {
		const found = await check();
		if (found !== undefined && found !== false) {
			return found;
		}

		if (performance.now() > endsMs) {
			throw new Error(`Gave up waiting for ${what}.`);
		}

		await delay(POLL_INTERVAL_MS);
	}
}
