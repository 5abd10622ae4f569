import {
	CLOCK_DRIFT_RATIO, type Clock, KeyedFold, type TrafficCustomer,
} from '@egretrill/common';
import {
	LARGE_CUSTOMER_BURST_REQUESTS, LEASED_RATIO, RATE_HOST_TTL_MS, RATE_LEASE_MS, SMALL_CUSTOMER_POOL_RATIO, STANDING_RATIO,
} from './constants.js';
import type {RateDecision, RateDemand} from './rate-allocations.js';

/** What one host asks of the owner of all rates. */
export type RateRequest = {
	readonly hostId: string;
	readonly startId: string;
	/** Number of the last answer that the host has put into force. */
	readonly ackedSerial: number;
	/** Standing part that the host holds now. */
	readonly standing: number;
	readonly demand: readonly RateDemand[];
};

/** Parts of the customers' rates for one host; the leased ones end `RATE_LEASE_MS` after the host asked. */
export type RateGrant = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyArray<readonly [name: string, part: number]>; readonly hostCount: number};

type IssuedGrant = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyMap<string, number>; readonly endsMs: number};
type HostState = {
	startId: string;
	lastRequestMs: number;
	demand: ReadonlyMap<string, RateDemand>;
	issuedGrants: readonly IssuedGrant[];
	/** What the host may hold of each customer's rate under promises that have not ended, as the sums have it. */
	leased: ReadonlyMap<string, number>;
	/** Number of this owner's first answer to the host. */
	firstSerial: number | undefined;
	/** Whether the host has put an answer of this owner into force, which ends what an earlier owner leased to it. */
	isConfirmed: boolean;
};
type Pool = {level: number; levelMs: number};

/** Folds over all hosts of what they ask for and may hold of one customer's rate; they change with each report, while a walk over all hosts for each report costs the square of their number. */
type CustomerAggregates = {readonly perSecond: KeyedFold; readonly meanCost: KeyedFold; readonly leased: KeyedFold};

function add(first: number, second: number): number {
	return first + second;
}

function createAggregates(): CustomerAggregates {
	return {perSecond: new KeyedFold(add), meanCost: new KeyedFold(Math.max), leased: new KeyedFold(add)};
}

/** Divides the customers' rates: a standing part for each host, leases by demand, and a pool from which hosts borrow for single requests. */
export class RateOwner {
	/** The host that asked last comes last. */
	private readonly hosts = new Map<string, HostState>();
	private readonly aggregates = new Map<string, CustomerAggregates>();
	/** The largest standing part that each host may hold: an answer that it has not confirmed may or may not be in force there. */
	private readonly standingParts = new KeyedFold(add);
	/** When the first lease ends that the folds still count. */
	private nextLeaseEndMs = Number.POSITIVE_INFINITY;
	private readonly pools = new Map<string, Pool>();
	private readonly startedMs: number;

	/** Leases go only to recorded hosts, so that the next owner knows who may hold one. */
	constructor(private readonly clock: Clock, private readonly getCustomers: () => ReadonlyMap<string, TrafficCustomer>, private readonly getRecordedHosts: () => readonly string[]) {
		this.startedMs = clock.now();
	}

	/** Answers a host's report with the parts that it may spend from now on. */
	request(req: RateRequest): RateGrant {
		const host = this.updateHost(req);
		this.removeEndedLeases();
		const hostCount = this.countHosts();
		const standing = Math.max(0, Math.min(STANDING_RATIO / hostCount, STANDING_RATIO - this.standingParts.getOthers(req.hostId)));
		const leased = this.mayLease() && this.getRecordedHosts().includes(req.hostId) ? this.divideLeases(req, hostCount) : new Map<string, number>();
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

	/** Spends the cost of one request from the pool; it may exceed what is left, since a later one then waits for it. */
	borrow(name: string, cost: number): RateDecision {
		const customer = this.getCustomers().get(name);
		if (!customer || customer.ratePerSecond <= 0) {
			return {isGranted: true, retryAfterMs: 0};
		}

		const ratio = this.getPoolRatio(customer, this.countHosts());
		const pool = this.accrue(customer, ratio);
		if (pool.level > 0) {
			pool.level -= cost;
			return {isGranted: true, retryAfterMs: 0};
		}

		return {isGranted: false, retryAfterMs: (1 - pool.level) * 1000 / (customer.ratePerSecond * ratio)};
	}

	/** Hosts that asked lately, in a fixed order. */
	getHostIds(): readonly string[] {
		const oldestMs = this.clock.now() - RATE_HOST_TTL_MS;
		return [...this.hosts].filter(([, {lastRequestMs}]) => lastRequestMs >= oldestMs).map(([id]) => id).toSorted();
	}

	/** Parts of a customer whose burst is small would be too small for a single request, so its rate stays in the pool. */
	private isLargeCustomer({name, burst}: TrafficCustomer, hostCount: number): boolean {
		const meanCost = this.aggregates.get(name)?.meanCost.getAll() ?? 0;
		return burst * LEASED_RATIO / hostCount >= meanCost * LARGE_CUSTOMER_BURST_REQUESTS;
	}

	private getPoolRatio(customer: TrafficCustomer, hostCount: number): number {
		return this.isLargeCustomer(customer, hostCount) ? 1 - STANDING_RATIO - LEASED_RATIO : SMALL_CUSTOMER_POOL_RATIO;
	}

	private accrue(customer: TrafficCustomer, ratio: number): Pool {
		const nowMs = this.clock.now();
		const known = this.pools.get(customer.name) ?? {level: 0, levelMs: this.startedMs};
		const grown = known.level + (customer.ratePerSecond * ratio * (nowMs - known.levelMs) / 1000);
		const pool = {level: Math.min(grown, customer.burst * ratio), levelMs: nowMs};
		this.pools.set(customer.name, pool);
		return pool;
	}

	/** A new owner does not know the leases of the one before it, so it waits until they have ended or every host that may hold one has replaced it. */
	private mayLease(): boolean {
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
			const folds = this.getAggregates(name);
			folds.perSecond.set(hostId, perSecond);
			folds.meanCost.set(hostId, meanCost);
		}
	}

	/** Folds what a host may hold at most under the promises that have not ended. */
	private aggregateLeases(hostId: string, host: HostState): void {
		const nowMs = this.clock.now();
		const leased = new Map<string, number>();
		for (const promise of host.issuedGrants) {
			if (promise.endsMs <= nowMs || promise.leased.size === 0) {
				continue;
			}

			this.nextLeaseEndMs = Math.min(this.nextLeaseEndMs, promise.endsMs);
			for (const [name, part] of promise.leased) {
				leased.set(name, Math.max(part, leased.get(name) ?? 0));
			}
		}

		for (const name of new Set([...host.leased.keys(), ...leased.keys()])) {
			this.getAggregates(name).leased.set(hostId, leased.get(name) ?? 0);
		}

		host.leased = leased;
	}

	/** Hosts that report replace their promises long before these end, so it walks over all hosts only once in about `RATE_LEASE_MS`. */
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

	/** Hosts that asked lately; one that is only silent keeps its standing part. */
	private countHosts(): number {
		const oldestMs = this.clock.now() - RATE_HOST_TTL_MS;
		let silent = 0;
		for (const {lastRequestMs} of this.hosts.values()) {
			if (lastRequestMs >= oldestMs) {
				break;
			}

			silent += 1;
		}

		return Math.max(1, this.hosts.size - silent);
	}
}
