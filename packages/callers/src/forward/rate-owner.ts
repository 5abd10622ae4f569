import {
	CLOCK_DRIFT_RATIO, type Clock, KeyedFold, type TrafficCustomer,
} from '@egretrill/common';
import {
	AMPLE_POOL_RATIO, LARGE_CUSTOMER_BURST_REQUESTS, LEASED_RATIO, MAX_ADVANCES, MAX_POOL_RETRY_MS, RATE_HOST_TTL_MS, RATE_LEASE_MS, STANDING_RATIO,
} from './constants.js';
import {countAdvances} from './count-advances.js';
import {DeferredParts} from './deferred-parts.js';
import type {RateDecision, RateDemand} from './rate-allocations.js';

/** A host's request to the owner of all rates. */
export type RateRequest = {
	readonly hostId: string;
	readonly startId: string;
	/** Serial of the last answer that the host has applied. */
	readonly ackedSerial: number;
	/** Standing part that the host holds now. */
	readonly standing: number;
	/** Whether the host uses its standing part only some time after the last answer; hosts of earlier builds use it always. */
	readonly defersStanding?: boolean;
	readonly demand: readonly RateDemand[];
	/** Costs that the host has granted in advance since its last report. */
	readonly advanced?: ReadonlyArray<readonly [name: string, cost: number]>;
};

/** Parts of the customers' rates for one host; the leased ones expire `RATE_LEASE_MS` after the host sent its request. */
export type RateGrant = {
	readonly serial: number;
	readonly standing: number;
	readonly leased: ReadonlyArray<readonly [name: string, part: number]>;
	readonly hostCount: number;
	/** Customers whose pools hold less than half of what they can. */
	readonly low: readonly string[];
	/** Customers whose requests must not be granted in advance; includes those whose pools are low. */
	readonly short: readonly string[];
	/** Requests of each other customer that a host may grant in advance until its next answer. */
	readonly advances: number;
};

type IssuedGrant = {readonly serial: number; readonly issuedMs: number; readonly standing: number; readonly leased: ReadonlyMap<string, number>; readonly endsMs: number};
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
	private readonly deferredParts: DeferredParts;
	/** Part of each rate that hosts may spend from their standing parts now. */
	private usedStanding = STANDING_RATIO;
	private readonly startedMs: number;

	/** Leases are granted only to recorded hosts, so that the next owner knows which hosts may hold one. */
	constructor(private readonly clock: Clock, private readonly getCustomers: () => ReadonlyMap<string, TrafficCustomer>, private readonly getRecordedHosts: () => readonly string[]) {
		this.startedMs = clock.now();
		this.deferredParts = new DeferredParts(clock);
	}

	/** Answers a host's request with the parts that it may spend from now on. */
	request(req: RateRequest): RateGrant {
		const host = this.updateHost(req);
		this.takeAdvanced(req.advanced ?? []);
		this.removeEndedLeases();
		const hostCount = this.countHosts();
		const standing = Math.max(0, Math.min(STANDING_RATIO / hostCount, STANDING_RATIO - this.standingParts.getOthers(req.hostId)));
		const leased = this.canGrantLeases() && this.getRecordedHosts().includes(req.hostId) ? this.divideLeases(req, hostCount) : new Map<string, number>();
		const serial = (host.issuedGrants.at(-1)?.serial ?? req.ackedSerial) + 1;
		host.firstSerial ??= serial;
		host.issuedGrants = [...host.issuedGrants, {
			serial, issuedMs: this.clock.now(), standing, leased, endsMs: this.clock.now() + (RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)),
		}];
		const part = Math.max(0, ...host.issuedGrants.map(grant => grant.standing));
		this.standingParts.set(req.hostId, part);
		const applied = host.issuedGrants.find(grant => grant.serial === req.ackedSerial);
		if (req.defersStanding && applied) {
			this.deferredParts.record(req.hostId, part, applied.issuedMs);
		}

		this.aggregateLeases(req.hostId, host);
		return {
			serial, standing, leased: [...leased], hostCount, ...this.divideAdvances(),
		};
	}

	/** Takes the cost of one request from the pool. The cost may exceed the level; later requests then wait until the level is positive again. */
	borrow(name: string, cost: number): RateDecision {
		const customer = this.getCustomers().get(name);
		if (!customer || customer.ratePerSecond <= 0) {
			return {isGranted: true, retryAfterMs: 0};
		}

		this.updateUsedStanding();
		const ratio = this.getPoolRatio(customer);
		const pool = this.accruePool(customer, ratio);
		if (pool.level > 0) {
			pool.level -= cost;
			return {isGranted: true, retryAfterMs: 0};
		}

		return {isGranted: false, retryAfterMs: Math.min(MAX_POOL_RETRY_MS, (1 - pool.level) * 1000 / (customer.ratePerSecond * ratio))};
	}

	/** Ids of the hosts that sent a request recently, sorted. */
	getHostIds(): readonly string[] {
		const oldestMs = this.clock.now() - RATE_HOST_TTL_MS;
		return [...this.hosts].filter(([, {lastRequestMs}]) => lastRequestMs >= oldestMs).map(([id]) => id).toSorted();
	}

	/** Decides how many requests hosts may grant before they ask, and for which customers none. */
	private divideAdvances(): Pick<RateGrant, 'short' | 'low' | 'advances'> {
		const short: string[] = [];
		const low: string[] = [];
		let advances = MAX_ADVANCES;
		for (const customer of this.getCustomers().values()) {
			if (customer.ratePerSecond <= 0) {
				continue;
			}

			if (!this.hasAmplePool(customer)) {
				low.push(customer.name);
				short.push(customer.name);
				continue;
			}

			const allowed = this.countAdvances(customer);
			if (allowed < 1) {
				short.push(customer.name);
			} else {
				advances = Math.min(advances, allowed);
			}
		}

		return {short, low, advances};
	}

	private countAdvances({name, ratePerSecond, burst}: TrafficCustomer): number {
		const {perSecond, meanCost} = this.getAggregates(name);
		return countAdvances({
			ratePerSecond, burst, demandPerSecond: perSecond.getAll(), meanCost: meanCost.getAll(), hostCount: this.countHosts(),
		});
	}

	private hasAmplePool(customer: TrafficCustomer): boolean {
		const ratio = this.getPoolRatio(customer);
		return this.accruePool(customer, ratio).level >= customer.burst * ratio * AMPLE_POOL_RATIO;
	}

	/** Takes costs from the pools that a host has granted in advance. */
	private takeAdvanced(advanced: ReadonlyArray<readonly [name: string, cost: number]>): void {
		this.updateUsedStanding();
		for (const [name, cost] of advanced) {
			const customer = this.getCustomers().get(name);
			if (customer && customer.ratePerSecond > 0) {
				this.accruePool(customer, this.getPoolRatio(customer)).level -= cost;
			}
		}
	}

	/** If a customer's burst is small, its leased parts would be smaller than a single request, so its rate stays in the pool. */
	private isLargeCustomer({name, burst}: TrafficCustomer, hostCount: number): boolean {
		const meanCost = this.aggregates.get(name)?.meanCost.getAll() ?? 0;
		return burst * LEASED_RATIO / hostCount >= meanCost * LARGE_CUSTOMER_BURST_REQUESTS;
	}

	/** All of a rate that no host may spend by itself is in the pool. */
	private getPoolRatio(customer: TrafficCustomer): number {
		const reserved = this.isLargeCustomer(customer, this.countHosts()) ? LEASED_RATIO : 0;
		// Leases of a customer that was large before go on until they end.
		const leased = this.aggregates.get(customer.name)?.leased.getAll() ?? 0;
		return Math.max(0, 1 - Math.max(reserved, leased) - this.usedStanding);
	}

	/** Takes over which standing parts hosts use. The pools accrue before, since the ratios were others until now. */
	private updateUsedStanding(): void {
		if (!this.deferredParts.isOutdated()) {
			return;
		}

		const used = Math.max(0, STANDING_RATIO - this.deferredParts.getSum());
		for (const name of used === this.usedStanding ? [] : this.pools.keys()) {
			const customer = this.getCustomers().get(name);
			if (customer) {
				this.accruePool(customer, this.getPoolRatio(customer));
			}
		}

		this.usedStanding = used;
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
					serial: ackedSerial, issuedMs: Number.NEGATIVE_INFINITY, standing, leased: new Map(), endsMs: nowMs,
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
