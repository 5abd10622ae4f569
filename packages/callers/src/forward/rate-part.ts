import type {Clock, TrafficCustomer} from '@egretrill/common';
import {RATE_DEMAND_MS} from './constants.js';

/** The part of a customer's rate that this host may spend, as the owner told it. */
export type RatePart = {readonly standing: number; readonly leased: number; readonly leaseEndsMs: number};

type Spending = {
	readonly customer: TrafficCustomer;
	level: number;
	levelMs: number;
	demand: number;
	demandMs: number;
	part: RatePart;
};

export type RateAnswer = {readonly isGranted: boolean; readonly retryAfterMs: number};

const NO_PART: RatePart = {standing: 0, leased: 0, leaseEndsMs: 0};

/** What this host may spend of each customer's rate; a standing part outlasts the loss of the owner. */
export class RateParts {
	private readonly spendings = new Map<string, Spending>();
	private excess = 0;

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
			this.spendings.set(customer.name, known ? {...known, customer} : {
				customer, level: 0, levelMs: nowMs, demand: 0, demandMs: nowMs, part: NO_PART,
			});
		}
	}

	/** Tokens beyond its share that a host may save up, from what the deployment tolerates above a rate. */
	setExcess(tokens: number): void {
		this.excess = tokens;
	}

	setPart(name: string, part: RatePart): void {
		const spending = this.spendings.get(name);
		if (spending) {
			this.accrue(spending);
			spending.part = part;
		}
	}

	/** Spends the cost of a request; it may exceed what is left, since a later one then waits for it. */
	take(name: string, cost: number): RateAnswer {
		const spending = this.spendings.get(name);
		if (!spending || spending.customer.ratePerSecond <= 0) {
			return {isGranted: true, retryAfterMs: 0};
		}

		this.accrue(spending);
		this.noteDemand(spending, cost);
		if (spending.level > 0) {
			spending.level -= cost;
			return {isGranted: true, retryAfterMs: 0};
		}

		const perMs = spending.customer.ratePerSecond * this.getShare(spending) / 1000;
		return {isGranted: false, retryAfterMs: perMs > 0 ? (1 - spending.level) / perMs : RATE_DEMAND_MS};
	}

	/** Gives back the cost of a request that certainly reached no target. */
	refund(name: string, cost: number): void {
		const spending = this.spendings.get(name);
		if (spending && spending.customer.ratePerSecond > 0) {
			spending.level = Math.min(spending.level + cost, this.getRoom(spending));
		}
	}

	/** What callers asked for of each customer lately, in units a second. */
	getDemand(): ReadonlyArray<readonly [name: string, perSecond: number]> {
		return [...this.spendings].map(([name, spending]) => {
			this.decayDemand(spending);
			return [name, spending.demand * 1000 / RATE_DEMAND_MS];
		});
	}

	private getShare({part}: Spending): number {
		return part.standing + (this.clock.now() < part.leaseEndsMs ? part.leased : 0);
	}

	private getRoom(spending: Spending): number {
		const share = this.getShare(spending);
		return share > 0 ? (spending.customer.burst * share) + this.excess : 0;
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
	}

	private decayDemand(spending: Spending): void {
		const nowMs = this.clock.now();
		spending.demand *= Math.exp((spending.demandMs - nowMs) / RATE_DEMAND_MS);
		spending.demandMs = nowMs;
	}
}
