import {Clock} from '@egretrill/common';

/** Clock of one simulated process, which can be paused to simulate a frozen process, or suspended with its machine. */
export class ProcessClock extends Clock {
	/** Time by which each reading advances the clock. */
	readMs = 0;
	private paused: Promise<void> | undefined;
	private release: (() => void) | undefined;
	private readingsMs = 0;
	/** When the machine was suspended; its clock does not count the time until it resumes. */
	private suspendedAtMs: number | undefined;
	private suspendedMs = 0;

	constructor(private readonly clock: Clock) {
		super();
	}

	now(): number {
		this.readingsMs += this.readMs;
		return this.clock.now() + this.readingsMs - this.suspendedMs;
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

	suspend(): void {
		this.suspendedAtMs = this.clock.now();
		this.pause();
	}

	resume(): void {
		if (this.suspendedAtMs !== undefined) {
			this.suspendedMs += this.clock.now() - this.suspendedAtMs;
			this.suspendedAtMs = undefined;
		}

		this.release?.();
		this.paused = undefined;
	}
}
