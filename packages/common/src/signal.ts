import type {Clock} from './clock.js';

/** Reason of an abort that only ends a wait; the default reason is an exception, whose stack trace would be captured at each wake-up. */
export const WAKE_REASON = 'woken';

/** A condition variable: wakes waiting tasks when state that they depend on has changed. */
export class Signal {
	private waiters = new Set<() => void>();

	/** Wakes every task that is currently waiting. */
	notify(): void {
		const woken = this.waiters;
		this.waiters = new Set();
		for (const wake of woken) {
			wake();
		}
	}

	/** Waits for the next notification; returns false on timeout or abort. */
	async wait(clock: Clock, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
		const sleepAbort = new AbortController();
		const endSleep = (): void => {
			sleepAbort.abort(WAKE_REASON);
		};

		signal?.addEventListener('abort', endSleep, {once: true});
		if (signal?.aborted) {
			endSleep();
		}

		let notified = false;
		const wake = (): void => {
			notified = true;
			endSleep();
		};

		this.waiters.add(wake);
		await clock.sleep(timeoutMs, sleepAbort.signal);
		this.waiters.delete(wake);
		signal?.removeEventListener('abort', endSleep);
		return notified;
	}
}
