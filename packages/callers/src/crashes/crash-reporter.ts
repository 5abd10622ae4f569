import type {Clock} from '@egretrill/common';
import type {CrashExchange} from './crash-exchange.js';
import type {CrashTracker} from './crash-tracker.js';
import type {CrashAnswer, CrashReport, RankedKey} from './types.js';

/** Sends reports to the leader. */
export abstract class CrashTransport {
	/** Undefined if no leader answers. */
	abstract send(report: CrashReport): Promise<CrashAnswer | undefined>;
}

export type CrashReporterOptions = {
	readonly clock: Clock;
	readonly crashes: CrashTracker;
	readonly exchange: CrashExchange;
	readonly transport: CrashTransport;
	/** Shortest time between two reports. */
	readonly getIntervalMs: () => number;
};

/** Reports new evidence to the leader without delay. */
export class CrashReporter {
	constructor(private readonly opts: CrashReporterOptions) {}

	/** Records the end of a target and reports it at once. */
	async recordEnd(keys: readonly RankedKey[], startId: string): Promise<void> {
		this.opts.crashes.recordEnd(keys, startId);
		await this.report();
	}

	/** Reports new evidence, and requests that wait to be sent as probes, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, crashes, exchange, getIntervalMs} = this.opts;
		while (!signal.aborted) {
			await crashes.changed.wait(clock, getIntervalMs(), signal);
			if (exchange.hasReport()) {
				await this.report();
				await clock.sleep(getIntervalMs(), signal);
			}
		}
	}

	private async report(): Promise<void> {
		const {exchange, transport} = this.opts;
		const answer = await transport.send(exchange.createReport());
		if (answer) {
			exchange.applyAnswer(answer);
		}
	}
}
