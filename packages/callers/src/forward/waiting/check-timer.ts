import type {Clock} from '@egretrill/common';

/** Passed as the reason of an abort, since the default reason is an exception whose stack trace would be captured. */
const TIMER_ENDED = 'ended';

/** Runs one check at the earliest of the times for which it was set; a timer for each waiting request would cost more. */
export class CheckTimer {
	private nextMs = Number.POSITIVE_INFINITY;
	private timer: AbortController | undefined;

	constructor(private readonly clock: Clock, private readonly onDue: () => void) {}

	/** Runs the check at the given time, unless it runs before. */
	set(atMs: number): void {
		if (atMs < this.nextMs) {
			this.clear();
			this.nextMs = atMs;
			this.timer = new AbortController();
			void this.run(atMs, this.timer.signal);
		}
	}

	clear(): void {
		this.timer?.abort(TIMER_ENDED);
		this.timer = undefined;
		this.nextMs = Number.POSITIVE_INFINITY;
	}

	private async run(atMs: number, signal: AbortSignal): Promise<void> {
		await this.clock.sleep(atMs - this.clock.now(), signal);
		if (!signal.aborted) {
			this.clear();
			this.onDue();
		}
	}
}
