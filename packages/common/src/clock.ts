import {performance} from 'node:perf_hooks';

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

/** A clock that moves only when a test advances it. */
export class ManualClock extends Clock {
	private currentMs = 0;
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
				signal?.removeEventListener('abort', cancel);
				resolve();
			};

			const sleeper = {wakeAtMs: this.currentMs + ms, wake};
			this.sleepers.add(sleeper);
			signal?.addEventListener('abort', cancel, {once: true});
		});
	}

	/** Moves time forward and wakes every sleeper that is due. */
	advance(ms: number): void {
		this.currentMs += ms;
		for (const sleeper of [...this.sleepers].filter(({wakeAtMs}) => wakeAtMs <= this.currentMs)) {
			this.sleepers.delete(sleeper);
			sleeper.wake();
		}
	}
}
