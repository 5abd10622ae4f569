import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Longest duration of a timer; Node runs a longer one after 1 ms. */
const MAX_TIMER_MS = 2_147_483_647;

/** Given as a reason because the default one is an exception with its stack trace. */
const CANCEL_REASON = 'cancelled';

/** Measures durations; leases, rates and deadlines use this instead of the wall clock. */
export abstract class Clock {
	/** Calls back after the duration; the returned function cancels that. */
	schedule(ms: number, callback: () => void): () => void {
		const cancelled = new AbortController();
		const run = async (): Promise<void> => {
			await this.sleep(ms, cancelled.signal);
			if (!cancelled.signal.aborted) {
				callback();
			}
		};

		void run();
		return () => {
			cancelled.abort(CANCEL_REASON);
		};
	}

	/** Milliseconds since an arbitrary fixed point; never goes backwards. */
	abstract now(): number;
	/** Resolves after the duration, or at once when the signal aborts. */
	abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the running process. */
export class MonotonicClock extends Clock {
	now(): number {
		return performance.now();
	}

	/** A timer costs much less than a sleep with its signal. */
	override schedule(ms: number, callback: () => void): () => void {
		const timer = setTimeout(callback, Math.min(ms, MAX_TIMER_MS));
		return () => {
			clearTimeout(timer);
		};
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		// The timers of node:timers/promises reject on abort; creating an error for each early wake-up is too costly when every request wakes a task.
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, Math.min(ms, MAX_TIMER_MS));
			signal?.addEventListener('abort', wake, {once: true});
		});
	}
}

type Sleeper = {readonly wakeAtMs: number; readonly wake: () => void};

/** A clock for tests and simulations; time advances only through its methods. */
export class ManualClock extends Clock {
	private currentMs = 0;
	/** Kept in the order of the calls to `sleep`, which decides between sleepers that are due at the same time. */
	private readonly sleepers = new Set<Sleeper>();

	now(): number {
		return this.currentMs;
	}

	override schedule(ms: number, callback: () => void): () => void {
		const sleeper = {
			wakeAtMs: this.currentMs + Math.max(0, ms), wake: () => {
				this.sleepers.delete(sleeper);
				callback();
			},
		};
		this.sleepers.add(sleeper);
		return () => {
			this.sleepers.delete(sleeper);
		};
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const cancel = () => {
				this.sleepers.delete(sleeper);
				resolve();
			};

			const wake = () => {
				this.sleepers.delete(sleeper);
				signal?.removeEventListener('abort', cancel);
				resolve();
			};

			const sleeper = {wakeAtMs: this.currentMs + Math.max(0, ms), wake};
			this.sleepers.add(sleeper);
			signal?.addEventListener('abort', cancel, {once: true});
		});
	}

	/** Advances time in one step, then wakes every sleeper that is due, in the order of the calls to `sleep`. */
	advance(ms: number): void {
		this.currentMs += ms;
		for (const sleeper of [...this.sleepers].filter(({wakeAtMs}) => wakeAtMs <= this.currentMs)) {
			sleeper.wake();
		}
	}

	/** Runs every task that is due within the duration, with the clock at its due time. */
	async run(ms: number): Promise<void> {
		await this.runTo(this.currentMs + ms);
	}

	/** Runs every task that is due up to the given time, with the clock at its due time. */
	async runTo(endMs: number): Promise<void> {
		await this.wakeInTurn(endMs, () => false);
		this.currentMs = Math.max(this.currentMs, endMs);
	}

	/** Runs tasks until the condition holds; returns false if no further task is due within the duration. */
	async runUntil(isReached: () => boolean, maxMs: number): Promise<boolean> {
		return this.wakeInTurn(this.currentMs + maxMs, isReached);
	}

	/** Advances to the due time of one sleeper after another; before each step all tasks run until they sleep again. */
	private async wakeInTurn(endMs: number, isReached: () => boolean): Promise<boolean> {
		for (;;) {
			await nextTurn();
			if (isReached()) {
				return true;
			}

			const next = this.findNext();
			if (next === undefined || next.wakeAtMs > endMs) {
				return false;
			}

			this.currentMs = Math.max(this.currentMs, next.wakeAtMs);
			next.wake();
		}
	}

	private findNext(): Sleeper | undefined {
		let next: Sleeper | undefined;
		for (const sleeper of this.sleepers) {
			next = next === undefined || sleeper.wakeAtMs < next.wakeAtMs ? sleeper : next;
		}

		return next;
	}
}
