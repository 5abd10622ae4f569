import {CLOCK_DRIFT_RATIO, type Clock, MAX_KEY_LEASE_MS} from '@egretrill/common';
import type {InForceReports} from '../follow/index.js';

/** Progress of a key withdrawal: `isInForce` once no host accepts the key any more, `waitingFor` the hosts that have not confirmed it. */
export type WithdrawalState = {readonly isInForce: boolean; readonly version: number; readonly waitingFor: readonly string[]};

export type WithdrawalTrackerOptions = {
	readonly clock: Clock;
	readonly reports: InForceReports;
	readonly getHostIds: () => readonly string[];
};

/** Tracks on the leader how far key withdrawals have propagated to all hosts. */
export class WithdrawalTracker {
	private readonly withdrawals = new Map<string, {readonly version: number; readonly observedMs: number}>();

	constructor(private readonly opts: WithdrawalTrackerOptions) {}

	/** Records the keys that a committed version withdraws; the expiry of a key counts from the first call that names it. */
	observe(version: number, withdrawnKeys: Iterable<string>): void {
		const observedMs = this.opts.clock.now();
		for (const keyId of withdrawnKeys) {
			if (!this.withdrawals.has(keyId)) {
				this.withdrawals.set(keyId, {version, observedMs});
			}
		}
	}

	/** A withdrawal is in force once every host serves it, or once the key leases of all hosts without it have expired. */
	getState(keyId: string): WithdrawalState | undefined {
		const withdrawal = this.withdrawals.get(keyId);
		if (!withdrawal) {
			return undefined;
		}

		const waitingFor = this.opts.getHostIds().filter(hostId => this.opts.reports.getVersion(hostId) < withdrawal.version);
		// A host that lags may still use the key lease of an older document, so the longest allowed lease is assumed.
		const hasExpired = this.opts.clock.now() - withdrawal.observedMs > MAX_KEY_LEASE_MS * (1 + CLOCK_DRIFT_RATIO);
		return {isInForce: waitingFor.length === 0 || hasExpired, version: withdrawal.version, waitingFor: hasExpired ? [] : waitingFor};
	}
}
