import type {Clock, TrafficCustomer} from '@egretrill/common';
import {RATE_DEMAND_TIME_CONSTANT_MS} from './constants.js';

/** The part of a customer's rate that this host may spend, as the owner told it. */
export type RateAllocation = {readonly standing: number; readonly leased: number; readonly leaseEndsMs: number};

/** What callers ask for of a customer's rate at this host. */
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

/** Whether a cost was granted, and otherwise when it may be. */
export type RateDecision = {readonly isGranted: boolean; readonly retryAfterMs: number};

const NO_ALLOCATION: RateAllocation = {standing: 0, leased: 0, leaseEndsMs: 0};
const GRANTED: RateDecision = {isGranted: true, retryAfterMs: 0};
/** Weight of the newest request in the mean cost of a customer's requests. */
const NEWEST_COST_WEIGHT = 0.1;

/** What this host may spend of each customer's rate; a standing part outlasts the loss of the owner. */
export class RateAllocations {
	private readonly accounts = new Map<string, RateAccount>();

	constructor(private readonly clock: Clock) {}

	/** Takes over limits from a configuration; spent tokens stay spent. */
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

	setAllocation(name: string, part: RateAllocation): void {
		const account = this.accounts.get(name);
		if (account) {
			this.accrue(account);
			account.allocation = part;
		}
	}

	/** Spends the cost of a request from what this host holds. */
	spend(name: string, cost: number): RateDecision {
		const spending = this.accounts.get(name);
		if (!spending || spending.customer.ratePerSecond <= 0) {
			return GRANTED;
		}

		this.accrue(spending);
		this.recordDemand(spending, cost);
		if (spending.level >= cost) {
			spending.level -= cost;
			return GRANTED;
		}

		return {isGranted: false, retryAfterMs: this.getWaitMs(spending, cost)};
	}

	/** Spends a cost that exceeds what this host holds; later requests wait for it. For hosts that cannot reach the owner. */
	overdraw(name: string, cost: number): RateDecision {
		const spending = this.accounts.get(name);
		if (!spending) {
			return GRANTED;
		}

		this.accrue(spending);
		if (spending.level > 0) {
			spending.level -= cost;
			return GRANTED;
		}

		return {isGranted: false, retryAfterMs: this.getWaitMs(spending, 1)};
	}

	/** Gives back the cost of a request that certainly reached no target. */
	refund(name: string, cost: number): void {
		const spending = this.accounts.get(name);
		if (spending && spending.customer.ratePerSecond > 0) {
			spending.level = Math.min(spending.level + cost, this.getBurstLimit(spending));
		}
	}

	getDemand(): readonly RateDemand[] {
		return [...this.accounts].map(([name, spending]) => {
			this.decayDemand(spending);
			return {name, perSecond: spending.demand * 1000 / RATE_DEMAND_TIME_CONSTANT_MS, meanCost: spending.meanCost};
		});
	}

	private getWaitMs(spending: RateAccount, cost: number): number {
		const perMs = spending.customer.ratePerSecond * this.getRateRatio(spending) / 1000;
		return perMs > 0 ? (cost - spending.level) / perMs : RATE_DEMAND_TIME_CONSTANT_MS;
	}

	private getRateRatio({allocation}: RateAccount): number {
		return allocation.standing + (this.clock.now() < allocation.leaseEndsMs ? allocation.leased : 0);
	}

	private getBurstLimit(spending: RateAccount): number {
		return spending.customer.burst * this.getRateRatio(spending);
	}

	private accrue(spending: RateAccount): void {
		const nowMs = this.clock.now();
		const grown = spending.level + (spending.customer.ratePerSecond * this.getRateRatio(spending) * (nowMs - spending.levelMs) / 1000);
		spending.level = Math.min(grown, this.getBurstLimit(spending));
		spending.levelMs = nowMs;
	}

	private recordDemand(spending: RateAccount, cost: number): void {
		this.decayDemand(spending);
		spending.demand += cost;
		spending.meanCost = spending.meanCost === 0 ? cost : spending.meanCost + ((cost - spending.meanCost) * NEWEST_COST_WEIGHT);
	}

	private decayDemand(spending: RateAccount): void {
		const nowMs = this.clock.now();
		spending.demand *= Math.exp((spending.demandMs - nowMs) / RATE_DEMAND_TIME_CONSTANT_MS);
		spending.demandMs = nowMs;
	}
}
