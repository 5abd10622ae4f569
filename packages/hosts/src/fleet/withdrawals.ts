import {CLOCK_DRIFT_RATIO, type Clock, MAX_KEY_LEASE_MS} from '@egretrill/common';
import type {InForceReports} from '../follow/index.js';

/** Whether a withdrawn key can still be honoured anywhere. */
export type WithdrawalState = {readonly isInForce: boolean; readonly version: number; readonly waitingFor: readonly string[]};

export type WithdrawalTrackerOptions = {
	readonly clock: Clock;
	readonly reports: InForceReports;
	readonly getHostIds: () => readonly string[];
};

/** The leader's view of key withdrawals on their way to all hosts. */
export class WithdrawalTracker {
	private readonly withdrawals = new Map<string, {readonly version: number; readonly observedMs: number}>();

	constructor(private readonly opts: WithdrawalTrackerOptions) {}

	/** Notes the keys that a committed version withdraws; the first sighting starts the clock. */
	observe(version: number, withdrawnKeys: Iterable<string>): void {
		const observedMs = this.opts.clock.now();
		for (const keyId of withdrawnKeys) {
			if (!this.withdrawals.has(keyId)) {
				this.withdrawals.set(keyId, {version, observedMs});
			}
		}
	}

	/** A key is out of force once each host serves the withdrawal or can no longer confirm any key. */
	getState(keyId: string): WithdrawalState | undefined {
		const withdrawal = this.withdrawals.get(keyId);
		if (!withdrawal) {
			return undefined;
		}

		const waitingFor = this.opts.getHostIds().filter(hostId => this.opts.reports.getVersion(hostId) < withdrawal.version);
		// The longest key lease is used, since a host that lags may still count by an older document's lease.
		const hasExpired = this.opts.clock.now() - withdrawal.observedMs > MAX_KEY_LEASE_MS * (1 + CLOCK_DRIFT_RATIO);
		return {isInForce: waitingFor.length === 0 || hasExpired, version: withdrawal.version, waitingFor: hasExpired ? [] : waitingFor};
	}
}
