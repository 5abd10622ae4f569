import {Clock} from '@egretrill/common';

/** Clock of one simulated process, which can be paused to simulate a suspended process. */
export class ProcessClock extends Clock {
	/** Time by which each reading advances the clock. */
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
