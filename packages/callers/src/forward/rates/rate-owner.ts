import {
	CLOCK_DRIFT_RATIO, type Clock, KeyedFold, type TrafficCustomer,
} from '@egretrill/common';
import {
	LARGE_CUSTOMER_BURST_REQUESTS, LEASED_RATIO, RATE_HOST_TTL_MS, RATE_LEASE_MS, SMALL_CUSTOMER_POOL_RATIO, STANDING_RATIO,
} from '../constants.js';
import type {RateDecision, RateDemand} from './rate-allocations.js';

/** A host's request to the owner of all rates. */
export type RateRequest = {
	readonly hostId: string;
	readonly startId: string;
	/** Serial of the last answer that the host has applied. */
	readonly ackedSerial: number;
	/** Standing part that the host holds now. */
	readonly standing: number;
	readonly demand: readonly RateDemand[];
};

/** Parts of the customers' rates for one host; the leased ones expire `RATE_LEASE_MS` after the host sent its request. */
export type RateGrant = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyArray<readonly [name: string, part: number]>; readonly hostCount: number};

type IssuedGrant = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyMap<string, number>; readonly endsMs: number};
type HostState = {
	startId: string;
	lastRequestMs: number;
	demand: ReadonlyMap<string, RateDemand>;
	issuedGrants: readonly IssuedGrant[];
	/** The most that the host may hold of each customer's rate under unexpired grants, as counted in the aggregates. */
	leased: ReadonlyMap<string, number>;
	/** Serial of this owner's first answer to the host. */
	firstSerial: number | undefined;
	/** Whether the host has applied an answer of this owner, which replaces the leases of an earlier owner. */
	isConfirmed: boolean;
};
type Pool = {level: number; levelMs: number};

/** Aggregates over all hosts of the demand for a customer's rate and of the parts they may hold. Each request updates them incrementally, since iterating over all hosts for each request would take time quadratic in their number. */
type CustomerAggregates = {readonly perSecond: KeyedFold; readonly meanCost: KeyedFold; readonly leased: KeyedFold};

function add(first: number, second: number): number {
	return first + second;
}

function createAggregates(): CustomerAggregates {
	return {perSecond: new KeyedFold(add), meanCost: new KeyedFold(Math.max), leased: new KeyedFold(add)};
}

/** Divides the customers' rates: a standing part for each host, leases by demand, and a pool from which hosts borrow for single requests. */
export class RateOwner {
	/** Ordered by the time of the last request, the most recent one last. */
	private readonly hosts = new Map<string, HostState>();
	private readonly aggregates = new Map<string, CustomerAggregates>();
	/** The largest standing part that each host may hold; a host may or may not have applied an answer that it has not acknowledged. */
	private readonly standingParts = new KeyedFold(add);
	/** The earliest expiry of the leases that the aggregates count. */
	private nextLeaseEndMs = Number.POSITIVE_INFINITY;
	private readonly pools = new Map<string, Pool>();
	private readonly startedMs: number;

	/** Leases are granted only to recorded hosts, so that the next owner knows which hosts may hold one. */
	constructor(private readonly clock: Clock, private readonly getCustomers: () => ReadonlyMap<string, TrafficCustomer>, private readonly getRecordedHosts: () => readonly string[]) {
		this.startedMs = clock.now();
	}

	/** Answers a host's request with the parts that it may spend from now on. */
	request(req: RateRequest): RateGrant {
		const host = this.updateHost(req);
		this.removeEndedLeases();
		const hostCount = this.countHosts();
		const standing = Math.max(0, Math.min(STANDING_RATIO / hostCount, STANDING_RATIO - this.standingParts.getOthers(req.hostId)));
		const leased = this.canGrantLeases() && this.getRecordedHosts().includes(req.hostId) ? this.divideLeases(req, hostCount) : new Map<string, number>();
		const serial = (host.issuedGrants.at(-1)?.serial ?? req.ackedSerial) + 1;
		host.firstSerial ??= serial;
		host.issuedGrants = [...host.issuedGrants, {
			serial, standing, leased, endsMs: this.clock.now() + (RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)),
		}];
		this.standingParts.set(req.hostId, Math.max(0, ...host.issuedGrants.map(grant => grant.standing)));
		this.aggregateLeases(req.hostId, host);
		return {
			serial, standing, leased: [...leased], hostCount,
		};
	}

	/** Takes the cost of one request from the pool. The cost may exceed the level; later requests then wait until the level is positive again. */
	borrow(name: string, cost: number): RateDecision {
		const customer = this.getCustomers().get(name);
		if (!customer || customer.ratePerSecond <= 0) {
			return {isGranted: true, retryAfterMs: 0};
		}

		const ratio = this.getPoolRatio(customer, this.countHosts());
		const pool = this.accruePool(customer, ratio);
		if (pool.level > 0) {
			pool.level -= cost;
			return {isGranted: true, retryAfterMs: 0};
		}

		return {isGranted: false, retryAfterMs: (1 - pool.level) * 1000 / (customer.ratePerSecond * ratio)};
	}

	/** Returns costs to the pool that hosts borrowed and did not spend. */
	giveBack(costs: ReadonlyArray<readonly [name: string, cost: number]>): void {
		for (const [name, cost] of costs) {
			const customer = this.getCustomers().get(name);
			if (customer && customer.ratePerSecond > 0) {
				const ratio = this.getPoolRatio(customer, this.countHosts());
				const pool = this.accruePool(customer, ratio);
				pool.level = Math.min(pool.level + cost, customer.burst * ratio);
			}
		}
	}

	/** Ids of the hosts that sent a request recently, sorted. */
	getHostIds(): readonly string[] {
		const oldestMs = this.clock.now() - RATE_HOST_TTL_MS;
		return [...this.hosts].filter(([, {lastRequestMs}]) => lastRequestMs >= oldestMs).map(([id]) => id).toSorted();
	}

	/** If a customer's burst is small, its leased parts would be smaller than a single request, so its rate stays in the pool. */
	private isLargeCustomer({name, burst}: TrafficCustomer, hostCount: number): boolean {
		const meanCost = this.aggregates.get(name)?.meanCost.getAll() ?? 0;
		return burst * LEASED_RATIO / hostCount >= meanCost * LARGE_CUSTOMER_BURST_REQUESTS;
	}

	private getPoolRatio(customer: TrafficCustomer, hostCount: number): number {
		return this.isLargeCustomer(customer, hostCount) ? 1 - STANDING_RATIO - LEASED_RATIO : SMALL_CUSTOMER_POOL_RATIO;
	}

	private accruePool(customer: TrafficCustomer, ratio: number): Pool {
		const nowMs = this.clock.now();
		const known = this.pools.get(customer.name) ?? {level: 0, levelMs: this.startedMs};
		const accrued = known.level + (customer.ratePerSecond * ratio * (nowMs - known.levelMs) / 1000);
		const pool = {level: Math.min(accrued, customer.burst * ratio), levelMs: nowMs};
		this.pools.set(customer.name, pool);
		return pool;
	}

	/** A new owner does not know the leases of its predecessor, so it grants none until they have expired or every host that may hold one has replaced it. */
	private canGrantLeases(): boolean {
		if (this.clock.now() - this.startedMs > RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)) {
			return true;
		}

		const recorded = this.getRecordedHosts();
		return recorded.length > 0 && recorded.every(id => this.hosts.get(id)?.isConfirmed);
	}

	private updateHost(req: RateRequest): HostState {
		const known = this.hosts.get(req.hostId);
		const demand = new Map(req.demand.map(entry => [entry.name, entry]));
		this.aggregateDemand(req.hostId, demand, known?.demand ?? new Map());
		const host = known?.startId === req.startId ? known : this.createHost(req, known);
		host.lastRequestMs = this.clock.now();
		host.demand = demand;
		host.isConfirmed ||= host.firstSerial !== undefined && req.ackedSerial >= host.firstSerial;
		host.issuedGrants = host.issuedGrants.filter(({serial}) => serial >= req.ackedSerial);
		this.hosts.delete(req.hostId);
		this.hosts.set(req.hostId, host);
		return host;
	}

	private createHost({startId, ackedSerial, standing}: RateRequest, earlier: HostState | undefined): HostState {
		const nowMs = this.clock.now();
		return {
			startId,
			lastRequestMs: nowMs,
			demand: new Map(),
			issuedGrants: standing > 0
				? [{
					serial: ackedSerial, standing, leased: new Map(), endsMs: nowMs,
				}]
				: [],
			leased: earlier?.leased ?? new Map(),
			firstSerial: undefined,
			isConfirmed: false,
		};
	}

	private getAggregates(name: string): CustomerAggregates {
		const known = this.aggregates.get(name) ?? createAggregates();
		this.aggregates.set(name, known);
		return known;
	}

	private aggregateDemand(hostId: string, demand: HostState['demand'], earlier: HostState['demand']): void {
		for (const name of new Set([...earlier.keys(), ...demand.keys()])) {
			const {perSecond = 0, meanCost = 0} = demand.get(name) ?? {};
			const aggregates = this.getAggregates(name);
			aggregates.perSecond.set(hostId, perSecond);
			aggregates.meanCost.set(hostId, meanCost);
		}
	}

	/** Updates the aggregates with the most that a host may hold under unexpired grants. */
	private aggregateLeases(hostId: string, host: HostState): void {
		const nowMs = this.clock.now();
		const leased = new Map<string, number>();
		for (const grant of host.issuedGrants) {
			if (grant.endsMs <= nowMs || grant.leased.size === 0) {
				continue;
			}

			this.nextLeaseEndMs = Math.min(this.nextLeaseEndMs, grant.endsMs);
			for (const [name, part] of grant.leased) {
				leased.set(name, Math.max(part, leased.get(name) ?? 0));
			}
		}

		for (const name of new Set([...host.leased.keys(), ...leased.keys()])) {
			this.getAggregates(name).leased.set(hostId, leased.get(name) ?? 0);
		}

		host.leased = leased;
	}

	/** Active hosts replace their grants long before these expire, so this iterates over all hosts only about once in `RATE_LEASE_MS`. */
	private removeEndedLeases(): void {
		if (this.clock.now() < this.nextLeaseEndMs) {
			return;
		}

		this.nextLeaseEndMs = Number.POSITIVE_INFINITY;
		for (const [hostId, host] of this.hosts) {
			this.aggregateLeases(hostId, host);
		}
	}

	private divideLeases({hostId, demand}: RateRequest, hostCount: number): ReadonlyMap<string, number> {
		const leased = new Map<string, number>();
		for (const {name, perSecond} of demand) {
			const customer = this.getCustomers().get(name);
			if (!customer || !this.isLargeCustomer(customer, hostCount)) {
				continue;
			}

			const {perSecond: demandTotals, leased: leasedTotals} = this.getAggregates(name);
			const totalPerSecond = demandTotals.getAll();
			const wanted = LEASED_RATIO * (totalPerSecond > 0 ? perSecond / totalPerSecond : 1 / hostCount);
			const free = LEASED_RATIO - leasedTotals.getOthers(hostId);
			const part = Math.max(0, Math.min(wanted, free));
			if (part > 0) {
				leased.set(name, part);
			}
		}

		return leased;
	}

	/** Number of hosts that sent a request recently, and of recorded ones that a new owner has yet to hear; a host that is merely silent keeps its standing part. */
	private countHosts(): number {
		const oldestMs = this.clock.now() - RATE_HOST_TTL_MS;
		let silent = 0;
		for (const {lastRequestMs} of this.hosts.values()) {
			if (lastRequestMs >= oldestMs) {
				break;
			}

			silent += 1;
		}

		const unheard = oldestMs < this.startedMs ? this.getRecordedHosts().filter(id => !this.hosts.has(id)).length : 0;
		return Math.max(1, this.hosts.size - silent + unheard);
	}
}
