import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Source of durations; leases, rates and deadlines never read the wall clock. */
export abstract class Clock {
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

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		// The promise timers of Node reject on abort; an error for each early wake is costly when every request wakes a task.
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, ms);
			signal?.addEventListener('abort', wake, {once: true});
		});
	}
}

type Sleeper = {readonly wakeAtMs: number; readonly wake: () => void};

/** A clock of tests and simulations: time moves only when it is told to. */
export class ManualClock extends Clock {
	private currentMs = 0;
	/** In order of sleeping, which decides between sleepers that are due at the same time. */
	private readonly sleepers = new Set<Sleeper>();

	now(): number {
		return this.currentMs;
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

	/** Moves time forward in one step, then wakes every sleeper that is due, in order of sleeping. */
	advance(ms: number): void {
		this.currentMs += ms;
		for (const sleeper of [...this.sleepers].filter(({wakeAtMs}) => wakeAtMs <= this.currentMs)) {
			sleeper.wake();
		}
	}

	/** Runs every task that is due within the duration, each at its own time. */
	async run(ms: number): Promise<void> {
		await this.runTo(this.currentMs + ms);
	}

	/** Runs every task that is due up to the given time, each at its own time. */
	async runTo(endMs: number): Promise<void> {
		await this.wakeInTurn(endMs, () => false);
		this.currentMs = Math.max(this.currentMs, endMs);
	}

	/** Runs tasks until the condition holds; returns false if nothing more is due within the duration. */
	async runUntil(isReached: () => boolean, maxMs: number): Promise<boolean> {
		return this.wakeInTurn(this.currentMs + maxMs, isReached);
	}

	/** Jumps from one sleeper to the next; between two of them, all tasks run until they sleep again. */
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
