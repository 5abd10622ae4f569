import {CLOCK_DRIFT_RATIO, type Clock} from '@egretrill/common';
import {RATE_HOST_TTL_MS, RATE_LEASE_MS, STANDING_RATIO} from './constants.js';

/** What one host asks of the owner of all rates. */
export type RateRequest = {
	readonly hostId: string;
	readonly startId: string;
	/** Number of the last answer that the host has put into force. */
	readonly ackedSerial: number;
	/** Standing part that the host holds now. */
	readonly standing: number;
	readonly demand: ReadonlyArray<readonly [name: string, perSecond: number]>;
};

/** Parts of the customers' rates for one host; the leased ones end `RATE_LEASE_MS` after the host asked. */
export type RateGrant = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyArray<readonly [name: string, part: number]>; readonly hostCount: number};

type PartPromise = {readonly serial: number; readonly standing: number; readonly leased: ReadonlyMap<string, number>; readonly endsMs: number};
type HostState = {startId: string; seenMs: number; demand: ReadonlyMap<string, number>; promises: readonly PartPromise[]};

/** Divides the customers' rates among the hosts so that all parts together never exceed one. */
export class RateOwner {
	private readonly hosts = new Map<string, HostState>();
	private readonly startedMs: number;

	constructor(private readonly clock: Clock) {
		this.startedMs = clock.now();
	}

	/** Answers a host's report with the parts that it may spend from now on. */
	request(req: RateRequest): RateGrant {
		const host = this.noteHost(req);
		const hostCount = this.countHosts();
		const standing = Math.max(0, Math.min(STANDING_RATIO / hostCount, STANDING_RATIO - this.sumOthers(req.hostId, promise => promise.standing)));
		const leased = this.isSettled() ? this.divideLeases(req, hostCount) : new Map<string, number>();
		const serial = (host.promises.at(-1)?.serial ?? req.ackedSerial) + 1;
		host.promises = [...host.promises, {
			serial, standing, leased, endsMs: this.clock.now() + (RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO)),
		}];
		return {
			serial, standing, leased: [...leased], hostCount,
		};
	}

	/** A new owner does not know the leases of the one before it, so it waits until they have ended. */
	private isSettled(): boolean {
		return this.clock.now() - this.startedMs > RATE_LEASE_MS * (1 + CLOCK_DRIFT_RATIO);
	}

	private noteHost(req: RateRequest): HostState {
		const known = this.hosts.get(req.hostId);
		const demand = new Map(req.demand);
		const nowMs = this.clock.now();
		if (known?.startId !== req.startId) {
			const promises = req.standing > 0 ? [{
				serial: req.ackedSerial, standing: req.standing, leased: new Map<string, number>(), endsMs: nowMs,
			}] : [];
			const host = {
				startId: req.startId, seenMs: nowMs, demand, promises,
			};
			this.hosts.set(req.hostId, host);
			return host;
		}

		known.seenMs = nowMs;
		known.demand = demand;
		known.promises = known.promises.filter(({serial}) => serial >= req.ackedSerial);
		return known;
	}

	private divideLeases({hostId, demand}: RateRequest, hostCount: number): ReadonlyMap<string, number> {
		const leased = new Map<string, number>();
		for (const [name, own] of demand) {
			const all = [...this.hosts.values()].reduce((sum, host) => sum + (host.demand.get(name) ?? 0), 0);
			const wanted = (1 - STANDING_RATIO) * (all > 0 ? own / all : 1 / hostCount);
			const free = 1 - STANDING_RATIO - this.sumOthers(hostId, promise => promise.endsMs > this.clock.now() ? promise.leased.get(name) ?? 0 : 0);
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
		return [...this.hosts].reduce((sum, [id, {promises}]) => id === hostId ? sum : sum + Math.max(0, ...promises.map(promise => getPart(promise))), 0);
	}
}
