import type {Clock} from './clock.js';

/** Given as the reason of an abort, which spares an exception with its stack at each wake. */
const WOKEN = 'woken';

/** Wakes waiting tasks when state that they depend on has changed. */
export class Signal {
	private waiters = new Set<() => void>();

	/** Wakes every task that waits now. */
	notify(): void {
		const woken = this.waiters;
		this.waiters = new Set();
		for (const wake of woken) {
			wake();
		}
	}

	/** Waits for the next notification; returns false on timeout or abort. */
	async wait(clock: Clock, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
		const timer = new AbortController();
		const stop = (): void => {
			timer.abort(WOKEN);
		};

		signal?.addEventListener('abort', stop, {once: true});
		if (signal?.aborted) {
			stop();
		}

		let notified = false;
		const wake = (): void => {
			notified = true;
			stop();
		};

		this.waiters.add(wake);
		await clock.sleep(timeoutMs, timer.signal);
		this.waiters.delete(wake);
		signal?.removeEventListener('abort', stop);
		return notified;
	}
}
