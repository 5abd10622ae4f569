import {CLOCK_DRIFT_RATIO, type Clock, type TrafficCustomer} from '@egretrill/common';
import {
	LARGE_SHARE_REQUESTS, LEASED_RATIO, RATE_HOST_TTL_MS, RATE_LEASE_MS, SMALL_POOL_RATIO, STANDING_RATIO,
} from './constants.js';
import type {RateAnswer, RateDemand} from './rate-part.js';

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

type PartPromise = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyMap<string, number>; readonly endsMs: number};
type HostState = {
	startId: string;
	seenMs: number;
	demand: ReadonlyMap<string, RateDemand>;
	promises: readonly PartPromise[];
	/** Number of this owner's first answer to the host. */
	firstSerial: number | undefined;
	/** Whether the host has put an answer of this owner into force, which ends what an earlier owner leased to it. */
	isConfirmed: boolean;
};
type Pool = {level: number; levelMs: number};

/** Divides the customers' rates: a standing part for each host, leases by demand, and a pool from which hosts borrow for single requests. */
export class RateOwner {
	private readonly hosts = new Map<string, HostState>();
	private readonly pools = new Map<string, Pool>();
	private readonly startedMs: number;

	/** Leases go only to recorded hosts, so that the next owner knows who may hold one. */
	constructor(private readonly clock: Clock, private readonly getCustomers: () => ReadonlyMap<string, TrafficCustomer>, private readonly getRecordedHosts: () => readonly string[]) {
		this.startedMs = clock.now();
	}

	/** Answers a host's report with the parts that it may spend from now on. */
	request(req: RateRequest): RateGrant {
		const host = this.noteHost(req);
		const hostCount = this.countHosts();
		const standing = Math.max(0, Math.min(STANDING_RATIO / hostCount, STANDING_RATIO - this.sumOthers(req.hostId, promise => promise.standing)));
		const leased = this.isSettled() && this.getRecordedHosts().includes(req.hostId) ? this.divideLeases(req, hostCount) : new Map<string, number>();
		const serial = (host.promises.at(-1)?.serial ?? req.ackedSerial) + 1;
		host.firstSerial ??= serial;
		host.promises = [...host.promises, {
			serial, standing, leased, endsMs: this.clock.now() + (RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)),
		}];
		return {
			serial, standing, leased: [...leased], hostCount,
		};
	}

	/** Spends the cost of one request from the pool; it may exceed what is left, since a later one then waits for it. */
	borrow(name: string, cost: number): RateAnswer {
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
		return [...this.hosts].filter(([, {seenMs}]) => seenMs >= oldestMs).map(([id]) => id).toSorted();
	}

	/** Parts of a customer whose burst is small would be too small for a single request, so its rate stays in the pool. */
	private isLarge({name, burst}: TrafficCustomer, hostCount: number): boolean {
		const meanCost = Math.max(0, ...[...this.hosts.values()].map(({demand}) => demand.get(name)?.meanCost ?? 0));
		return burst * LEASED_RATIO / hostCount >= meanCost * LARGE_SHARE_REQUESTS;
	}

	private getPoolRatio(customer: TrafficCustomer, hostCount: number): number {
		return this.isLarge(customer, hostCount) ? 1 - STANDING_RATIO - LEASED_RATIO : SMALL_POOL_RATIO;
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
	private isSettled(): boolean {
		if (this.clock.now() - this.startedMs > RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)) {
			return true;
		}

		const recorded = this.getRecordedHosts();
		return recorded.length > 0 && recorded.every(id => this.hosts.get(id)?.isConfirmed);
	}

	private noteHost(req: RateRequest): HostState {
		const known = this.hosts.get(req.hostId);
		const demand = new Map(req.demand.map(entry => [entry.name, entry]));
		const nowMs = this.clock.now();
		if (known?.startId !== req.startId) {
			const promises = req.standing > 0
				? [{
					serial: req.ackedSerial, standing: req.standing, leased: new Map<string, number>(), endsMs: nowMs,
				}]
				: [];
			const host = {
				startId: req.startId, seenMs: nowMs, demand, promises, firstSerial: undefined, isConfirmed: false,
			};
			this.hosts.set(req.hostId, host);
			return host;
		}

		known.seenMs = nowMs;
		known.demand = demand;
		known.isConfirmed ||= known.firstSerial !== undefined && req.ackedSerial >= known.firstSerial;
		known.promises = known.promises.filter(({serial}) => serial >= req.ackedSerial);
		return known;
	}

	private divideLeases({hostId, demand}: RateRequest, hostCount: number): ReadonlyMap<string, number> {
		const leased = new Map<string, number>();
		for (const {name, perSecond} of demand) {
			const customer = this.getCustomers().get(name);
			if (!customer || !this.isLarge(customer, hostCount)) {
				continue;
			}

			const all = [...this.hosts.values()].reduce((sum, host) => sum + (host.demand.get(name)?.perSecond ?? 0), 0);
			const wanted = LEASED_RATIO * (all > 0 ? perSecond / all : 1 / hostCount);
			const free = LEASED_RATIO - this.sumOthers(hostId, promise => promise.endsMs > this.clock.now() ? promise.leased.get(name) ?? 0 : 0);
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
		return Math.max(1, [...this.hosts.values()].filter(({seenMs}) => seenMs >= oldestMs).length);
	}

	/** What other hosts may hold at most: an answer that a host has not confirmed may or may not be in force there. */
	private sumOthers(hostId: string, getPart: (promise: PartPromise) => number): number {
		let sum = 0;
		for (const [id, {promises}] of this.hosts) {
			sum += id === hostId ? 0 : Math.max(0, ...promises.map(promise => getPart(promise)));
		}

		return sum;
	}
}
