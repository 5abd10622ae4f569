import {BucketOwner} from '@egretrill/callers';
import {
	type Clock, type ConfigDocument, type Logger, ZONE_LEASE_TTL_MS,
} from '@egretrill/common';
import {
	type FleetNode, type FleetState, type InForceReports, LEADER_STATE_CHECK_MS, WithdrawalTracker, ZoneLeaseTable,
} from '@egretrill/hosts';
import {LoadBudget} from '@egretrill/weight-store';

/** State that a leader owns during one term. */
export type LeaderTermState = {
	readonly term: number;
	readonly buckets: BucketOwner;
	readonly leases: ZoneLeaseTable;
	readonly withdrawals: WithdrawalTracker;
	readonly loads: LoadBudget;
};

export type LeaderDutiesOptions = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly node: FleetNode;
	readonly state: FleetState;
	readonly reports: InForceReports;
	readonly getHostIds: () => readonly string[];
};

/** Rejects a call that only the leader may serve. */
export class NotLeaderError extends Error {
	override readonly name = 'NotLeaderError';
}

/** The duties of the leader: customer buckets, zone leases, withdrawals and the weight store's budget. */
export class LeaderDuties {
	private termState: LeaderTermState | undefined;
	private appliedVersion = 0;

	constructor(private readonly opts: LeaderDutiesOptions) {}

	/** State of the current term; throws unless this host is the leader and holds its lease. */
	getTermState(): LeaderTermState {
		const {node, state} = this.opts;
		if (!node.isLeaderWithLease() || this.termState?.term !== node.status().term) {
			throw new NotLeaderError('This host does not lead.');
		}

		// `run` may not have applied the latest configuration yet, and a call right after a change, such as the state of a withdrawal, must reflect it.
		const {document} = state.getConfig();
		if (document) {
			this.applyConfig(document);
		}

		return this.termState;
	}

	/** Creates the leader's state at the start of each term and applies new configurations to it. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, node, state, logger} = this.opts;
		while (!signal.aborted) {
			const {document} = state.getConfig();
			if (document && node.isLeaderWithLease()) {
				const {term} = node.status();
				if (this.termState?.term !== term) {
					this.termState = this.createTermState(term, document);
					this.appliedVersion = 0;
					logger.info({term}, 'This host leads.');
				}

				this.applyConfig(document);
			}

			await node.changed.wait(clock, LEADER_STATE_CHECK_MS, signal);
		}
	}

	private applyConfig(document: ConfigDocument): void {
		if (!this.termState || document.version === this.appliedVersion) {
			return;
		}

		const withdrawn = document.keys.filter(key => key.state === 'withdrawn').map(key => key.id);
		this.termState.buckets.setCustomers(document.customers);
		this.termState.loads.setLimits(document.weightStore);
		this.termState.withdrawals.observe(document.version, withdrawn);
		this.opts.reports.record(this.opts.hostId, document.version);
		this.appliedVersion = document.version;
	}

	private createTermState(term: number, document: ConfigDocument): LeaderTermState {
		const {clock, node, state, reports, getHostIds} = this.opts;
		const isCurrent = (): boolean => node.isLeaderWithLease() && node.status().term === term;
		return {
			term,
			buckets: new BucketOwner({
				clock, term, startedAtMs: clock.now(), customers: document.customers, isCurrent,
			}),
			leases: new ZoneLeaseTable({
				clock,
				isCurrent,
				knownLeases: state.getZoneLeases(),
				async grant(zone, host) {
					const outcome = await node.propose({
						kind: 'grantLease', zone, host, ttlMs: ZONE_LEASE_TTL_MS,
					});
					return outcome.kind === 'committed' && outcome.result.kind === 'lease' ? {host: outcome.result.host, epoch: outcome.result.epoch} : undefined;
				},
			}),
			withdrawals: new WithdrawalTracker({clock, reports, getHostIds}),
			loads: new LoadBudget({
				limits: document.weightStore, nowMs: clock.now(), isSuccessor: true, epoch: term,
			}),
		};
	}
}
