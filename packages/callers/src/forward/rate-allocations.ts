import type {Clock, Random, TrafficCustomer} from '@egretrill/common';
import {RATE_DEMAND_TIME_CONSTANT_MS} from './constants.js';

/** The part of a customer's rate that the owner has granted to this host. */
export type RateAllocation = {
	readonly standing: number;
	/** Time from which the standing part may be used. */
	readonly standingFromMs: number;
	readonly leased: number;
	readonly leaseEndsMs: number;
	/** Requests that may be granted until the owner's next answer before it is asked. */
	readonly advances: number;
	/** Whether the owner's pool held less than half of what it can when it last answered. */
	readonly isLow: boolean;
};

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
	/** Requests that were granted without an answer of the owner since its last one. */
	advances: number;
	/** Cost of requests that were granted in advance and that no answered report has told the owner. */
	advanced: number;
	/** The part of that cost in the report under way. */
	reported: number;
};

/** Whether a cost was granted, and otherwise when to retry. */
export type RateDecision = {
	readonly isGranted: boolean;
	readonly retryAfterMs: number;
	/** Whether the answer repeats an earlier one of the owner. */
	readonly isRepeated?: boolean;
};

const NO_ALLOCATION: RateAllocation = {
	standing: 0, standingFromMs: 0, leased: 0, leaseEndsMs: 0, advances: 0, isLow: true,
};
const GRANTED: RateDecision = {isGranted: true, retryAfterMs: 0};
/** Weight of the newest request in the mean cost of a customer's requests. */
const NEWEST_COST_WEIGHT = 0.1;

/** What this host may spend of each customer's rate; the standing part remains valid while the owner is unreachable. */
export class RateAllocations {
	private readonly accounts = new Map<string, RateAccount>();

	constructor(private readonly clock: Clock, private readonly random: Random) {}

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
					customer, level: 0, levelMs: nowMs, demand: 0, demandMs: nowMs, meanCost: 0, allocation: NO_ALLOCATION, advances: 0, advanced: 0, reported: 0,
				});
		}
	}

	setAllocation(name: string, allocation: RateAllocation): void {
		const account = this.accounts.get(name);
		if (account) {
			this.accrue(account);
			account.allocation = allocation;
			account.advances = 0;
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

	/** Grants a request before the owner is asked if its last answer is recent and allows it; the next report tells the owner. */
	advance(name: string, cost: number): boolean {
		const account = this.accounts.get(name);
		if (!account || account.advances >= account.allocation.advances || this.clock.now() >= account.allocation.standingFromMs) {
			return false;
		}

		account.advances += 1;
		account.advanced += cost;
		return true;
	}

	/** Returns the costs granted in advance for a report; they are repeated until a report is answered, so that the owner never counts too little. */
	reportAdvanced(): Array<[name: string, cost: number]> {
		const costs: Array<[string, number]> = [];
		for (const [name, account] of this.accounts) {
			account.reported = account.advanced;
			if (account.advanced > 0) {
				costs.push([name, account.advanced]);
			}
		}

		return costs;
	}

	/** Forgets the costs in the last report, which the owner has answered. */
	confirmAdvanced(): void {
		for (const account of this.accounts.values()) {
			account.advanced -= account.reported;
			account.reported = 0;
		}
	}

	/**
	 * Charges a request whose loan the owner has not answered. The first one is granted if the owner's last answer is recent and its pool was not low, since a busy owner takes
	 * the loan from the pool when it reads it. Otherwise the cost may exceed this host's allocation, and later requests wait until it is made up.
	 */
	overdraw(name: string, cost: number): RateDecision {
		const account = this.accounts.get(name);
		if (!account) {
			return GRANTED;
		}

		this.accrue(account);
		if (account.advances === 0 && !account.allocation.isLow && this.clock.now() < account.allocation.standingFromMs) {
			account.advances += 1;
			return GRANTED;
		}

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

	private getRateRatio({allocation: {standing, standingFromMs, leased, leaseEndsMs}}: RateAccount): number {
		const nowMs = this.clock.now();
		return (nowMs >= standingFromMs ? standing : 0) + (nowMs < leaseEndsMs ? leased : 0);
	}

	private getBurstLimit(account: RateAccount): number {
		return account.customer.burst * this.getRateRatio(account);
	}

	private accrue(account: RateAccount): void {
		const nowMs = this.clock.now();
		const {standing, standingFromMs, leased, leaseEndsMs} = account.allocation;
		const standingMs = Math.max(0, nowMs - Math.max(account.levelMs, standingFromMs));
		const leasedMs = Math.max(0, Math.min(nowMs, leaseEndsMs) - account.levelMs);
		const accrued = account.customer.ratePerSecond * ((standing * standingMs) + (leased * leasedMs)) / 1000;
		if (account.levelMs < standingFromMs && nowMs >= standingFromMs) {
			account.level -= this.getFirstDebt(account);
		}

		account.level = Math.min(account.level + accrued, this.getBurstLimit(account));
		account.levelMs = nowMs;
	}

	/** Debt with which a host begins to use a standing part that is smaller than a request. It is random, since all hosts that lose the owner together would spend one request each at once. */
	private getFirstDebt({customer: {burst}, meanCost, allocation: {standing}}: RateAccount): number {
		return this.random() * Math.max(0, meanCost - (burst * standing));
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
