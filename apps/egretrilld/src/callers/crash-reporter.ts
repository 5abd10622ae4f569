import {
	answerCrashReport, type CrashGate, type CrashTracker, CrashExchange, type RankedKey,
} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {PeerDirectory} from '@egretrill/hosts';
import {CRASH_REPORT_INTERVAL_MS} from '../constants.js';
import {crashMethod} from '../methods.js';

export type CrashReporterOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly crashes: CrashTracker;
	readonly gate: CrashGate;
	readonly peers: Pick<PeerDirectory, 'call'>;
	readonly getLeaderId: () => string | undefined;
	/** Wakes the hosts that follow this one. */
	readonly notifyFollowers: () => void;
};

/** Reports to the leader which targets ended under which requests of this host, and which answers went on. */
export class CrashReporter {
	private readonly exchange: CrashExchange;
	/** Reports are sent one after the other, since each answer acknowledges the report before it. */
	private lastReport: Promise<void> = Promise.resolve();

	constructor(private readonly opts: CrashReporterOptions) {
		this.exchange = new CrashExchange(opts.crashes, opts.gate);
	}

	/** Records the end of a target and reports it at once. */
	async recordEnd(keys: readonly RankedKey[], startId: string): Promise<void> {
		this.opts.crashes.recordEnd(keys, startId);
		await this.report();
	}

	/** Reports new evidence, and requests that wait to be sent as probes, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, crashes} = this.opts;
		while (!signal.aborted) {
			await crashes.changed.wait(clock, CRASH_REPORT_INTERVAL_MS, signal);
			if (this.exchange.hasReport()) {
				await this.report();
				await clock.sleep(CRASH_REPORT_INTERVAL_MS, signal);
			}
		}
	}

	private async report(): Promise<void> {
		const previous = this.lastReport;
		this.lastReport = (async () => {
			await previous;
			await this.sendReport();
		})();
		return this.lastReport;
	}

	private async sendReport(): Promise<void> {
		const {hostId, crashes, peers, getLeaderId, notifyFollowers} = this.opts;
		const leaderId = getLeaderId();
		if (leaderId === undefined) {
			return;
		}

		const report = this.exchange.createReport();
		if (leaderId === hostId) {
			this.exchange.applyAnswer(answerCrashReport(crashes, report));
			notifyFollowers();
			return;
		}

		const answer = await peers.call(leaderId, crashMethod, report);
		if (answer.isOk) {
			this.exchange.applyAnswer(answer.value);
		}
	}
}
