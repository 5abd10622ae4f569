import {setTimeout as delay} from 'node:timers/promises';
import {POLL_INTERVAL_MS, WAIT_TIMEOUT_MS} from './constants.js';

/** Polls a check until it returns a value other than `undefined` or `false`; throws an error with the description on timeout. */
export async function waitFor<T>(description: string, check: () => Promise<T | undefined> | T | undefined, timeoutMs = WAIT_TIMEOUT_MS): Promise<T> {
	const deadlineMs = performance.now() + timeoutMs;
	for (;;) {
		const result = await check();
		if (result !== undefined && result !== false) {
			return result;
		}

		if (performance.now() > deadlineMs) {
			throw new Error(`Timed out waiting for ${description}.`);
		}

		await delay(POLL_INTERVAL_MS);
	}
}
