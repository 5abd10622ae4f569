import {CLOCK_DRIFT_RATIO, type Clock, ZONE_LEASE_TTL_MS} from '@egretrill/common';
import {
	COLD_LIMIT_RATIO, PERMIT_RETRY_MS, PERMIT_TTL_MS, PERMIT_WRITE_MS, RAMP_IDLE_MS, REPORT_LAG_MS,
} from './constants.js';
import type {
	ColdReport, DirectoryEntry, PermitAnswer, PermitRelease, PermitRenewal, PermitRequest, StartWarmth,
} from './types.js';

type Permit = {readonly hostId: string; readonly grantedAtMs: number; readonly expiresAtMs: number};

type Ramp = {
	readonly startId: string;
	generation: number;
	warm: boolean;
	level: number;
	limit: number;
	highestLimit: number;
	isReportedCold: boolean;
	/** Whether completed requests have raised the level to the limit. */
	hasReachedLimit: boolean;
	/** Load in the last report, including requests of all hosts. */
	reportedLoad: number;
	observedAtMs: number;
	/** Whether a report was sampled late enough to include every request that a previous owner may have permitted. */
	isTakeoverComplete: boolean;
	/** Requests at the target without a permit from this owner. */
	unpermitted: number;
	readonly permits: Map<string, Permit>;
};

function deny(reason: string, retryAfterMs: number): PermitAnswer {
	return {kind: 'denied', reason, retryAfterMs};
}

function advanceRamp(ramp: Ramp): void {
	ramp.level = Math.min(ramp.limit, ramp.level * 2);
	ramp.hasReachedLimit ||= ramp.level >= ramp.limit;
	ramp.warm ||= ramp.hasReachedLimit && !ramp.isReportedCold;
}

function resetRamp(ramp: Ramp, generation: number, level = 1): void {
	ramp.generation = generation;
	ramp.warm = false;
	ramp.hasReachedLimit = false;
	ramp.level = level;
	// Requests sent while the target counted as warm hold no permits but still load it.
	ramp.unpermitted = Math.max(0, ramp.reportedLoad - ramp.permits.size);
}

/** Issues the zone owner's permits for cold targets, with one ramp per target shared by all hosts. */
export class ColdStartRamp {
	private readonly clock: Clock;
	private readonly ownerEpoch: number;
	private readonly previousPermitsUntilMs: number;
	private readonly ramps = new Map<string, Ramp>();
	private nextPermit = 0;

	/** Created when ownership starts; permits of a previous owner may remain in use for some time. */
	constructor(opts: {clock: Clock; ownerEpoch: number}) {
		this.clock = opts.clock;
		this.ownerEpoch = opts.ownerEpoch;
		this.previousPermitsUntilMs = opts.clock.now() + (ZONE_LEASE_TTL_MS * (1 + CLOCK_DRIFT_RATIO)) + PERMIT_WRITE_MS;
	}

	/** Updates the ramp of a target from its directory entry and the age of the report. */
	observe(entry: DirectoryEntry, ageMs = 0): void {
		const sampledAtMs = this.clock.now() - ageMs - REPORT_LAG_MS;
		const known = this.ramps.get(entry.targetId);
		const ramp = known?.startId === entry.startId ? known : this.addRamp(entry);
		ramp.observedAtMs = this.clock.now();
		ramp.reportedLoad = entry.load.running + entry.load.waiting;
		if (this.hasBecomeCold(ramp, entry)) {
			resetRamp(ramp, Math.max(ramp.generation + 1, entry.warmth.generation));
			ramp.highestLimit = entry.load.limit;
		} else if (ramp.warm && entry.load.limit > ramp.limit * 2) {
			// A cold target may first report a low limit; more than twice that limit has not been tested yet.
			resetRamp(ramp, ramp.generation + 1, ramp.limit);
		}

		ramp.limit = entry.load.limit;
		ramp.highestLimit = Math.max(ramp.highestLimit, ramp.limit);
		ramp.isReportedCold = entry.cold;
		ramp.warm ||= ramp.hasReachedLimit && !ramp.isReportedCold;
		ramp.level = ramp.warm ? ramp.limit : Math.min(ramp.level, ramp.limit);
		this.reconcilePermits(ramp, sampledAtMs);
	}

	/** Grants a permit for one request to a cold target, or denies it with a reason. */
	requestPermit(req: PermitRequest): PermitAnswer {
		const ramp = this.getRamp(req);
		if (!ramp) {
			return deny('unknown-start', PERMIT_TTL_MS);
		}

		if (ramp.warm) {
			return {kind: 'warm', warmth: {generation: ramp.generation, warm: true}};
		}

		if (!ramp.isTakeoverComplete) {
			return deny('owner-new', PERMIT_WRITE_MS);
		}

		if (ramp.permits.size + ramp.unpermitted >= ramp.level) {
			return deny('ramp-full', PERMIT_RETRY_MS);
		}

		const permitId = `${this.ownerEpoch}-${this.nextPermit++}`;
		ramp.permits.set(permitId, this.createPermit(req.hostId));
		return {
			kind: 'granted', permitId, ttlMs: PERMIT_TTL_MS, level: ramp.level,
		};
	}

	/** Ends a permit. A completed request doubles the level of the ramp, a failed one resets it to 1. */
	releasePermit(release: PermitRelease): void {
		const ramp = this.getRamp(release);
		if (!ramp) {
			return;
		}

		const permit = ramp.permits.get(release.permitId);
		if (!permit && ramp.unpermitted === 0) {
			return;
		}

		if (release.outcome !== 'completed') {
			this.expirePermit(ramp, release.permitId);
			ramp.level = release.outcome === 'failed' && !ramp.warm ? 1 : ramp.level;
			return;
		}

		ramp.permits.delete(release.permitId);
		ramp.unpermitted -= permit ? 0 : 1;
		advanceRamp(ramp);
	}

	/** Extends the permits of a host whose requests are still running. */
	renewPermits({hostId, permitIds}: PermitRenewal): void {
		for (const ramp of this.ramps.values()) {
			for (const permitId of permitIds) {
				const permit = ramp.permits.get(permitId);
				if (permit?.hostId === hostId) {
					ramp.permits.set(permitId, {...this.createPermit(hostId), grantedAtMs: permit.grantedAtMs});
				}
			}
		}
	}

	/** Resets the ramp after a host reports that a warm target has become cold. Delayed reports about an earlier ramp are ignored. */
	reportCold(report: ColdReport): void {
		const ramp = this.getRamp(report);
		if (ramp?.warm && ramp.generation === report.generation) {
			resetRamp(ramp, ramp.generation + 1);
		}
	}

	/** Returns the warmth of every start, for the directories of the zone. */
	getWarmths(): readonly StartWarmth[] {
		return [...this.ramps].map(([targetId, {startId, generation, warm}]) => ({targetId, startId, warmth: {generation, warm}}));
	}

	/** Ends the lifetime of a permit. The target may still run the cancelled request, so the permit counts until a report shows less load. */
	private expirePermit(ramp: Ramp, permitId: string): void {
		const permit = ramp.permits.get(permitId);
		if (permit) {
			ramp.permits.set(permitId, {...permit, expiresAtMs: this.clock.now()});
		}
	}

	private getRamp({targetId, startId}: {targetId: string; startId: string}): Ramp | undefined {
		const ramp = this.ramps.get(targetId);
		return ramp?.startId === startId ? ramp : undefined;
	}

	private createPermit(hostId: string): Permit {
		const nowMs = this.clock.now();
		return {hostId, grantedAtMs: nowMs, expiresAtMs: nowMs + (PERMIT_TTL_MS * (1 + CLOCK_DRIFT_RATIO))};
	}

	private addRamp(entry: DirectoryEntry): Ramp {
		const nowMs = this.clock.now();
		for (const [targetId, ramp] of this.ramps) {
			if (nowMs - ramp.observedAtMs > RAMP_IDLE_MS) {
				this.ramps.delete(targetId);
			}
		}

		const added: Ramp = {
			startId: entry.startId,
			generation: entry.warmth.generation,
			warm: entry.warmth.warm && !entry.cold,
			level: 1,
			limit: entry.load.limit,
			highestLimit: entry.load.limit,
			isReportedCold: entry.cold,
			hasReachedLimit: false,
			reportedLoad: 0,
			observedAtMs: nowMs,
			isTakeoverComplete: false,
			unpermitted: 0,
			permits: new Map(),
		};
		this.ramps.set(entry.targetId, added);
		return added;
	}

	private hasBecomeCold(ramp: Ramp, entry: DirectoryEntry): boolean {
		return (entry.cold && !ramp.isReportedCold)
			|| (ramp.warm && entry.load.limit < ramp.highestLimit * COLD_LIMIT_RATIO)
			|| (entry.warmth.generation > ramp.generation && !entry.warmth.warm);
	}

	/** Removes permits of requests that have ended according to a report; until then even a request of a dead host counts. */
	private reconcilePermits(ramp: Ramp, sampledAtMs: number): void {
		if (!ramp.isTakeoverComplete && sampledAtMs >= this.previousPermitsUntilMs) {
			ramp.isTakeoverComplete = true;
			ramp.unpermitted = ramp.reportedLoad;
		}

		ramp.unpermitted = Math.min(ramp.unpermitted, ramp.reportedLoad);
		const nowMs = this.clock.now();
		for (const [permitId, permit] of ramp.permits) {
			const isInReport = sampledAtMs >= permit.grantedAtMs + PERMIT_WRITE_MS;
			if (nowMs >= permit.expiresAtMs && isInReport && ramp.permits.size + ramp.unpermitted > ramp.reportedLoad) {
				ramp.permits.delete(permitId);
			}
		}
	}
}
