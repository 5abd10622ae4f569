import type {Clock, TrafficCustomer} from '@egretrill/common';
import {RATE_DEMAND_MS} from './constants.js';

/** The part of a customer's rate that this host may spend, as the owner told it. */
export type RatePart = {readonly standing: number; readonly leased: number; readonly leaseEndsMs: number};

/** What callers ask for of a customer's rate at this host. */
export type RateDemand = {readonly name: string; readonly perSecond: number; readonly meanCost: number};

type Spending = {
	readonly customer: TrafficCustomer;
	level: number;
	levelMs: number;
	demand: number;
	demandMs: number;
	meanCost: number;
	part: RatePart;
};

/** Whether a cost was granted, and otherwise when it may be. */
export type RateAnswer = {readonly isGranted: boolean; readonly retryAfterMs: number};

const NO_PART: RatePart = {standing: 0, leased: 0, leaseEndsMs: 0};
const GRANTED: RateAnswer = {isGranted: true, retryAfterMs: 0};
/** Weight of the newest request in the mean cost of a customer's requests. */
const COST_WEIGHT = 0.1;

/** What this host may spend of each customer's rate; a standing part outlasts the loss of the owner. */
export class RateParts {
	private readonly spendings = new Map<string, Spending>();

	constructor(private readonly clock: Clock) {}

	/** Takes over limits from a configuration; spent tokens stay spent. */
	setCustomers(customers: readonly TrafficCustomer[]): void {
		const names = new Set(customers.map(({name}) => name));
		for (const name of this.spendings.keys()) {
			if (!names.has(name)) {
				this.spendings.delete(name);
			}
		}

		const nowMs = this.clock.now();
		for (const customer of customers) {
			const known = this.spendings.get(customer.name);
			this.spendings.set(customer.name, known
				? {...known, customer}
				: {
					customer, level: 0, levelMs: nowMs, demand: 0, demandMs: nowMs, meanCost: 0, part: NO_PART,
				});
		}
	}

	setPart(name: string, part: RatePart): void {
		const spending = this.spendings.get(name);
		if (spending) {
			this.accrue(spending);
			spending.part = part;
		}
	}

	/** Spends the cost of a request from what this host holds. */
	take(name: string, cost: number): RateAnswer {
		const spending = this.spendings.get(name);
		if (!spending || spending.customer.ratePerSecond <= 0) {
			return GRANTED;
		}

		this.accrue(spending);
		this.noteDemand(spending, cost);
		if (spending.level >= cost) {
			spending.level -= cost;
			return GRANTED;
		}

		return {isGranted: false, retryAfterMs: this.getWaitMs(spending, cost)};
	}

	/** Spends a cost that exceeds what this host holds; later requests wait for it. For hosts that cannot reach the owner. */
	overdraw(name: string, cost: number): RateAnswer {
		const spending = this.spendings.get(name);
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
		const spending = this.spendings.get(name);
		if (spending && spending.customer.ratePerSecond > 0) {
			spending.level = Math.min(spending.level + cost, this.getRoom(spending));
		}
	}

	getDemand(): readonly RateDemand[] {
		return [...this.spendings].map(([name, spending]) => {
			this.decayDemand(spending);
			return {name, perSecond: spending.demand * 1000 / RATE_DEMAND_MS, meanCost: spending.meanCost};
		});
	}

	private getWaitMs(spending: Spending, cost: number): number {
		const perMs = spending.customer.ratePerSecond * this.getShare(spending) / 1000;
		return perMs > 0 ? (cost - spending.level) / perMs : RATE_DEMAND_MS;
	}

	private getShare({part}: Spending): number {
		return part.standing + (this.clock.now() < part.leaseEndsMs ? part.leased : 0);
	}

	private getRoom(spending: Spending): number {
		return spending.customer.burst * this.getShare(spending);
	}

	private accrue(spending: Spending): void {
		const nowMs = this.clock.now();
		const grown = spending.level + (spending.customer.ratePerSecond * this.getShare(spending) * (nowMs - spending.levelMs) / 1000);
		spending.level = Math.min(grown, this.getRoom(spending));
		spending.levelMs = nowMs;
	}

	private noteDemand(spending: Spending, cost: number): void {
		this.decayDemand(spending);
		spending.demand += cost;
		spending.meanCost = spending.meanCost === 0 ? cost : spending.meanCost + ((cost - spending.meanCost) * COST_WEIGHT);
	}

	private decayDemand(spending: Spending): void {
		const nowMs = this.clock.now();
		spending.demand *= Math.exp((spending.demandMs - nowMs) / RATE_DEMAND_MS);
		spending.demandMs = nowMs;
	}
}
