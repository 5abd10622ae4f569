import type {Clock, TrafficCustomer} from '@egretrill/common';
import {RATE_DEMAND_TIME_CONSTANT_MS} from '../constants.js';

/** The part of a customer's rate that the owner has granted to this host. */
export type RateAllocation = {readonly standing: number; readonly leased: number; readonly leaseEndsMs: number};

/** The demand for a customer's rate at this host. */
export type RateDemand = {readonly name: string; readonly perSecond: number; readonly meanCost: number};

type RateAccount = {
	readonly customer: TrafficCustomer;
	level: number;
	levelMs: number;
	demand: number;
	demandMs: number;
	meanCost: number;
	allocation: RateAllocation;
};

/** Whether a cost was granted, and otherwise when to retry. */
export type RateDecision = {
	readonly isGranted: boolean;
	readonly retryAfterMs: number;
	/** Whether the answer repeats an earlier one of the owner. */
	readonly isRepeated?: boolean;
};

const NO_ALLOCATION: RateAllocation = {standing: 0, leased: 0, leaseEndsMs: 0};
const GRANTED: RateDecision = {isGranted: true, retryAfterMs: 0};
/** Weight of the newest request in the mean cost of a customer's requests. */
const NEWEST_COST_WEIGHT = 0.1;

/** What this host may spend of each customer's rate; the standing part remains valid while the owner is unreachable. */
export class RateAllocations {
	private readonly accounts = new Map<string, RateAccount>();

	constructor(private readonly clock: Clock) {}

	/** Applies the limits of a configuration; tokens already spent stay spent. */
	setCustomers(customers: readonly TrafficCustomer[]): void {
		const names = new Set(customers.map(({name}) => name));
		for (const name of this.accounts.keys()) {
			if (!names.has(name)) {
				this.accounts.delete(name);
			}
		}

		const nowMs = this.clock.now();
		for (const customer of customers) {
			const known = this.accounts.get(customer.name);
			this.accounts.set(customer.name, known
				? {...known, customer}
				: {
					customer, level: 0, levelMs: nowMs, demand: 0, demandMs: nowMs, meanCost: 0, allocation: NO_ALLOCATION,
				});
		}
	}

	setAllocation(name: string, allocation: RateAllocation): void {
		const account = this.accounts.get(name);
		if (account) {
			this.accrue(account);
			account.allocation = allocation;
		}
	}

	/** Charges the cost of a request to this host's allocation. */
	spend(name: string, cost: number): RateDecision {
		const account = this.accounts.get(name);
		if (!account || account.customer.ratePerSecond <= 0) {
			return GRANTED;
		}

		this.accrue(account);
		this.recordDemand(account, cost);
		if (account.level >= cost) {
			account.level -= cost;
			return GRANTED;
		}

		return {isGranted: false, retryAfterMs: this.getWaitMs(account, cost)};
	}

	/** Charges a cost that may exceed this host's allocation; later requests wait until it is made up. For hosts that cannot reach the owner. */
	overdraw(name: string, cost: number): RateDecision {
		const account = this.accounts.get(name);
		if (!account) {
			return GRANTED;
		}

		this.accrue(account);
		if (account.level > 0) {
			account.level -= cost;
			return GRANTED;
		}

		return {isGranted: false, retryAfterMs: this.getWaitMs(account, 1)};
	}

	/** Refunds the cost of a request that certainly reached no target. */
	refund(name: string, cost: number): void {
		const account = this.accounts.get(name);
		if (account && account.customer.ratePerSecond > 0) {
			account.level = Math.min(account.level + cost, this.getBurstLimit(account));
		}
	}

	getDemand(): readonly RateDemand[] {
		return [...this.accounts].map(([name, account]) => {
			this.decayDemand(account);
			return {name, perSecond: account.demand * 1000 / RATE_DEMAND_TIME_CONSTANT_MS, meanCost: account.meanCost};
		});
	}

	private getWaitMs(account: RateAccount, cost: number): number {
		const perMs = account.customer.ratePerSecond * this.getRateRatio(account) / 1000;
		return perMs > 0 ? (cost - account.level) / perMs : RATE_DEMAND_TIME_CONSTANT_MS;
	}

	private getRateRatio({allocation}: RateAccount): number {
		return allocation.standing + (this.clock.now() < allocation.leaseEndsMs ? allocation.leased : 0);
	}

	private getBurstLimit(account: RateAccount): number {
		return account.customer.burst * this.getRateRatio(account);
	}

	private accrue(account: RateAccount): void {
		const nowMs = this.clock.now();
		const accrued = account.level + (account.customer.ratePerSecond * this.getRateRatio(account) * (nowMs - account.levelMs) / 1000);
		account.level = Math.min(accrued, this.getBurstLimit(account));
		account.levelMs = nowMs;
	}

	private recordDemand(account: RateAccount, cost: number): void {
		this.decayDemand(account);
		account.demand += cost;
		account.meanCost = account.meanCost === 0 ? cost : account.meanCost + ((cost - account.meanCost) * NEWEST_COST_WEIGHT);
	}

	private decayDemand(account: RateAccount): void {
		const nowMs = this.clock.now();
		account.demand *= Math.exp((account.demandMs - nowMs) / RATE_DEMAND_TIME_CONSTANT_MS);
		account.demandMs = nowMs;
	}
}
