import {setMaxListeners} from 'node:events';
import type {Clock} from '@egretrill/common';
import {NEW_CONNECTIONS_RATIO} from '../constants.js';

/** The planned stop of a host: its beginning, and the time at which the requests in progress must end. */
export class PlannedStop {
	private readonly endAbort = new AbortController();
	private startedMs: number | undefined;
	private balancerWaitMs = 0;
	private endsMs: number | undefined;

	constructor(private readonly clock: Clock) {
		// Every request in flight listens to this signal, which exceeds Node's default limit for listener leaks.
		setMaxListeners(0, this.endAbort.signal);
	}

	/** Aborts when requests in progress must end. */
	get ended(): AbortSignal {
		return this.endAbort.signal;
	}

	/** Begins a stop that ends the requests in progress after its duration; the balancer sends new connections until its wait is over. */
	begin(durationMs: number, balancerWaitMs: number): void {
		this.balancerWaitMs = balancerWaitMs;
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

	/** Whether requests that arrive now come on connections that their callers have kept. */
	isLate(): boolean {
		return (this.getElapsedMs() ?? 0) > this.balancerWaitMs * NEW_CONNECTIONS_RATIO;
	}

	/** Time until the requests in progress must end; undefined while the host runs. */
	getTimeLeftMs(): number | undefined {
		if (this.ended.aborted) {
			return 0;
		}

		return this.endsMs === undefined ? undefined : Math.max(0, this.endsMs - this.clock.now());
	}
}
