import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '@egretrill/common';

type Sleeper = {readonly wakeAtMs: number; readonly wake: () => void};

/** A clock that jumps from one sleeper to the next, so that simulated seconds take milliseconds. */
export class SimClock extends Clock {
	private currentMs = 0;
	private readonly sleepers = new Set<Sleeper>();

	now(): number {
		return this.currentMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		let cancel: (() => void) | undefined;
		await new Promise<void>(resolve => {
			const sleeper = {wakeAtMs: this.currentMs + Math.max(0, ms), wake: resolve};
			this.sleepers.add(sleeper);
			cancel = () => {
				this.sleepers.delete(sleeper);
				resolve();
			};

			signal?.addEventListener('abort', cancel, {once: true});
		});
		if (cancel) {
			signal?.removeEventListener('abort', cancel);
		}
	}

	/** Runs everything that is due within the duration. */
	async run(ms: number): Promise<void> {
		const endMs = this.currentMs + ms;
		await this.runUntil(() => false, endMs - this.currentMs);
		this.currentMs = endMs;
	}

	/** Runs until the condition holds; returns false after the duration. */
	async runUntil(isReached: () => boolean, maxMs: number): Promise<boolean> {
		const endMs = this.currentMs + maxMs;
		for (;;) {
			await nextTurn();
			if (isReached()) {
				return true;
			}

			let next: Sleeper | undefined;
			for (const sleeper of this.sleepers) {
				next = next === undefined || sleeper.wakeAtMs < next.wakeAtMs ? sleeper : next;
			}

			if (next === undefined || next.wakeAtMs > endMs) {
				return false;
			}

			this.sleepers.delete(next);
			this.currentMs = Math.max(this.currentMs, next.wakeAtMs);
			next.wake();
		}
	}
}

/** The clock of one simulated process, which can be paused as a whole. */
export class ProcessClock extends Clock {
	/** Time that each reading of the clock takes. */
	readMs = 0;
	private paused: Promise<void> | undefined;
	private release: (() => void) | undefined;
	private readingsMs = 0;

	constructor(private readonly clock: Clock) {
		super();
	}

	now(): number {
		this.readingsMs += this.readMs;
		return this.clock.now() + this.readingsMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.clock.sleep(ms, signal);
		await this.paused;
	}

	pause(): void {
		this.paused ??= new Promise(resolve => {
			this.release = resolve;
		});
	}

	resume(): void {
		this.release?.();
		this.paused = undefined;
	}
}
