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
		if (signal?.aborted) {
			return false;
		}

		return new Promise(resolve => {
			const finish = (isNotified: boolean): void => {
				cancelTimeout();
				this.waiters.delete(wake);
				signal?.removeEventListener('abort', giveUp);
				resolve(isNotified);
			};

			const wake = (): void => {
				finish(true);
			};

			const giveUp = (): void => {
				finish(false);
			};

			const cancelTimeout = clock.schedule(timeoutMs, giveUp);
			this.waiters.add(wake);
			signal?.addEventListener('abort', giveUp, {once: true});
		});
	}
}
