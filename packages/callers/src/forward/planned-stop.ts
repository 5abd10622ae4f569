import type {Clock} from '@egretrill/common';

/** The planned stop of a host: its beginning, and the time at which the requests in progress must end. */
export class PlannedStop {
	private readonly endAbort = new AbortController();
	private startedMs: number | undefined;
	private endsMs: number | undefined;

	constructor(private readonly clock: Clock) {}

	/** Aborts when requests in progress must end. */
	get ended(): AbortSignal {
		return this.endAbort.signal;
	}

	begin(durationMs: number): void {
		this.startedMs = this.clock.now();
		this.endsMs = this.startedMs + durationMs;
	}

	end(): void {
		this.endAbort.abort();
	}

	hasBegun(): boolean {
		return this.endsMs !== undefined;
	}

	/** Time since the stop began; undefined while the host runs. */
	getElapsedMs(): number | undefined {
		return this.startedMs === undefined ? undefined : this.clock.now() - this.startedMs;
	}

	/** Time until the requests in progress must end; undefined while the host runs. */
	getTimeLeftMs(): number | undefined {
		if (this.ended.aborted) {
			return 0;
		}

		return this.endsMs === undefined ? undefined : Math.max(0, this.endsMs - this.clock.now());
	}
}
