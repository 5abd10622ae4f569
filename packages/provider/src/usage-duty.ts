import type {Clock, Logger} from '@egretrill/common';
import {REFUSED_RETRY_MS, SEND_TIME_RATIO} from './constants.js';
import {Duty, type DueCall} from './duty.js';
import type {DutyLog} from './duty-log.js';
import type {DutyObserver} from './duty-observer.js';
import type {FleetTime} from './fleet-time.js';
import type {ProviderCalls} from './provider-calls.js';
import type {
	CallOutcome, DutyHolder, ProviderSettings, UsageWindow,
} from './types.js';
import type {UsageLedger} from './usage-ledger.js';

export type UsageDutyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly settings: Pick<ProviderSettings, 'windowMs' | 'reportDeadlineMs'>;
	readonly log: DutyLog;
	readonly calls: ProviderCalls;
	readonly observer: DutyObserver;
	readonly ledger: UsageLedger;
	readonly time: FleetTime;
	readonly holder: DutyHolder;
	/** Time of the first call of this holder. Until then windows with hosts that have not reported wait, since nothing could be sent anyway. */
	readonly firstCallAtMs: number;
	/** Entry hosts in the log. */
	readonly getHostIds: () => readonly string[];
};

/** Reports usage: settles each window in the log, and then sends what the log has until the provider confirms it. */
export class UsageDuty extends Duty {
	/** Windows that the provider has confirmed to this holder, as long as the log has not recorded it. */
	private readonly accepted = new Set<number>();
	private readonly refusedUntilMs = new Map<number, number>();

	constructor(private readonly opts: UsageDutyOptions) {
		super();
	}

	override async update(): Promise<void> {
		await this.settle();
		await this.recordConfirmations();
		this.opts.observer.record({kind: 'unconfirmed', windows: this.opts.log.getUsage().unconfirmed.length});
	}

	override getDueCall(): DueCall | undefined {
		const {calls, clock, holder, log} = this.opts;
		const usage = log.getUsage().unconfirmed.find(({window}) => !this.accepted.has(window) && clock.now() >= (this.refusedUntilMs.get(window) ?? 0));
		return usage && {
			duty: 'usage',
			send: async mayWrite => calls.reportUsage(usage, holder, mayWrite),
			record: async outcome => this.recordOutcome(usage, outcome),
		};
	}

	private async settle(): Promise<void> {
		const {clock, firstCallAtMs, getHostIds, ledger, log, logger, observer, settings: {windowMs, reportDeadlineMs}, time} = this.opts;
		const fleetTimeMs = time.now();
		if (fleetTimeMs === undefined) {
			return;
		}

		const waitMs = clock.now() < firstCallAtMs ? undefined : reportDeadlineMs * (1 - SEND_TIME_RATIO);
		const due = ledger.listDue({
			settledThrough: log.getUsage().settledThrough, fleetTimeMs, windowMs, waitMs, hostIds: getHostIds(),
		});
		if (due.length === 0) {
			return;
		}

		const isKnown = await log.settle(due.map(({window, counts}) => ({window, counts})));
		for (const {window, counts, isComplete} of due) {
			logger.info({
				window, customers: counts.length, requests: counts.reduce((sum, [, count]) => sum + count, 0), isComplete, isKnown,
			}, isKnown ? 'The usage of a window was settled.' : 'The log has not confirmed the usage of a window.');
			if (isKnown) {
				observer.record({kind: 'settled', isComplete});
			}
		}
	}

	private async recordOutcome({window}: UsageWindow, outcome: CallOutcome): Promise<void> {
		const {clock, logger, observer, settings: {windowMs}, time} = this.opts;
		const delayMs = Math.round((time.now() ?? 0) - ((window + 1) * windowMs));
		logger[outcome === 'accepted' ? 'info' : 'warn']({
			window, outcome, delayMs, fencingToken: this.opts.holder.fencingToken,
		}, 'The provider was called with the usage of a window.');
		if (outcome === 'refused') {
			this.refusedUntilMs.set(window, clock.now() + REFUSED_RETRY_MS);
		}

		if (outcome === 'accepted') {
			this.refusedUntilMs.delete(window);
			this.accepted.add(window);
			observer.record({kind: 'confirmed', delayMs});
			await this.recordConfirmations();
		}
	}

	private async recordConfirmations(): Promise<void> {
		const {log} = this.opts;
		for (const window of this.accepted) {
			const isRecorded = !log.getUsage().unconfirmed.some(usage => usage.window === window);
			if (isRecorded || await log.confirm(window)) {
				this.accepted.delete(window);
			}
		}
	}
}
