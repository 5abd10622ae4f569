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
	isFlagged: boolean;
	/** Whether completed requests have raised the ramp to the limit. */
	isProven: boolean;
	/** Load in the last report, from all hosts. */
	reported: number;
	observedAtMs: number;
	/** Whether a report counts every request that an earlier owner may have permitted. */
	isSettled: boolean;
	/** Requests at the target that run without a permit of this owner. */
	inherited: number;
	readonly permits: Map<string, Permit>;
};

function deny(reason: string, retryAfterMs: number): PermitAnswer {
	return {kind: 'denied', reason, retryAfterMs};
}

function raise(ramp: Ramp): void {
	ramp.level = Math.min(ramp.limit, ramp.level * 2);
	ramp.isProven ||= ramp.level >= ramp.limit;
	ramp.warm ||= ramp.isProven && !ramp.isFlagged;
}

function startOver(ramp: Ramp, generation: number, level = 1): void {
	ramp.generation = generation;
	ramp.warm = false;
	ramp.isProven = false;
	ramp.level = level;
	// Requests sent while the target counted as warm hold no permits but load it all the same.
	ramp.inherited = Math.max(0, ramp.reported - ramp.permits.size);
}

/** The zone owner's permits for cold targets: one ramp per target for all hosts together. */
export class ColdStartRamp {
	private readonly clock: Clock;
	private readonly ownerEpoch: number;
	private readonly quietUntilMs: number;
	private readonly ramps = new Map<string, Ramp>();
	private nextPermit = 0;

	/** Created when ownership begins; an earlier owner's permits may be in use for some time after. */
	constructor(opts: {clock: Clock; ownerEpoch: number}) {
		this.clock = opts.clock;
		this.ownerEpoch = opts.ownerEpoch;
		this.quietUntilMs = opts.clock.now() + (ZONE_LEASE_TTL_MS * (1 + CLOCK_DRIFT_RATIO)) + PERMIT_WRITE_MS;
	}

	/** Takes what the directory knows of a target, with the age of the report. */
	observe(entry: DirectoryEntry, ageMs = 0): void {
		const sampledAtMs = this.clock.now() - ageMs - REPORT_LAG_MS;
		const known = this.ramps.get(entry.targetId);
		const ramp = known?.startId === entry.startId ? known : this.addRamp(entry);
		ramp.observedAtMs = this.clock.now();
		ramp.reported = entry.load.running + entry.load.waiting;
		if (this.hasTurnedCold(ramp, entry)) {
			startOver(ramp, Math.max(ramp.generation + 1, entry.warmth.generation));
			ramp.highestLimit = entry.load.limit;
		} else if (ramp.warm && entry.load.limit > ramp.limit * 2) {
			// A cold target may first report a low limit; what it bears beyond twice that is unproven.
			startOver(ramp, ramp.generation + 1, ramp.limit);
		}

		ramp.limit = entry.load.limit;
		ramp.highestLimit = Math.max(ramp.highestLimit, ramp.limit);
		ramp.isFlagged = entry.cold;
		ramp.warm ||= ramp.isProven && !ramp.isFlagged;
		ramp.level = ramp.warm ? ramp.limit : Math.min(ramp.level, ramp.limit);
		this.settle(ramp, sampledAtMs);
	}

	/** Grants the use of a cold target for one request, or says why not. */
	requestPermit(req: PermitRequest): PermitAnswer {
		const ramp = this.getRamp(req);
		if (!ramp) {
			return deny('unknown-start', PERMIT_TTL_MS);
		}

		if (ramp.warm) {
			return {kind: 'warm', warmth: {generation: ramp.generation, warm: true}};
		}

		if (!ramp.isSettled) {
			return deny('owner-new', PERMIT_WRITE_MS);
		}

		if (ramp.permits.size + ramp.inherited >= ramp.level) {
			return deny('ramp-full', PERMIT_RETRY_MS);
		}

		const permitId = `${this.ownerEpoch}-${this.nextPermit++}`;
		ramp.permits.set(permitId, this.createPermit(req.hostId));
		return {
			kind: 'granted', permitId, ttlMs: PERMIT_TTL_MS, level: ramp.level,
		};
	}

	/** Ends a permit; a completed request doubles the ramp, a failed one starts it over. */
	releasePermit(release: PermitRelease): void {
		const ramp = this.getRamp(release);
		if (!ramp) {
			return;
		}

		const permit = ramp.permits.get(release.permitId);
		if (!permit && ramp.inherited === 0) {
			return;
		}

		if (release.outcome !== 'completed') {
			this.expirePermit(ramp, release.permitId);
			ramp.level = release.outcome === 'failed' && !ramp.warm ? 1 : ramp.level;
			return;
		}

		ramp.permits.delete(release.permitId);
		ramp.inherited -= permit ? 0 : 1;
		raise(ramp);
	}

	/** Keeps the permits of a live host whose requests are still running. */
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

	/** Takes a host's word that a warm target has turned cold; late words about an earlier ramp are ignored. */
	reportCold(report: ColdReport): void {
		const ramp = this.getRamp(report);
		if (ramp?.warm && ramp.generation === report.generation) {
			startOver(ramp, ramp.generation + 1);
		}
	}

	/** Returns the state of every start, for the directories of the zone. */
	getWarmths(): readonly StartWarmth[] {
		return [...this.ramps].map(([targetId, {startId, generation, warm}]) => ({targetId, startId, warmth: {generation, warm}}));
	}

	/** A target may go on with a request that its host gave up, so the permit counts until a report shows less load. */
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
			isFlagged: entry.cold,
			isProven: false,
			reported: 0,
			observedAtMs: nowMs,
			isSettled: false,
			inherited: 0,
			permits: new Map(),
		};
		this.ramps.set(entry.targetId, added);
		return added;
	}

	private hasTurnedCold(ramp: Ramp, entry: DirectoryEntry): boolean {
		return (entry.cold && !ramp.isFlagged)
			|| (ramp.warm && entry.load.limit < ramp.highestLimit * COLD_LIMIT_RATIO)
			|| (entry.warmth.generation > ramp.generation && !entry.warmth.warm);
	}

	/** Frees what a report shows to have ended; a dead host's request counts until then. */
	private settle(ramp: Ramp, sampledAtMs: number): void {
		if (!ramp.isSettled && sampledAtMs >= this.quietUntilMs) {
			ramp.isSettled = true;
			ramp.inherited = ramp.reported;
		}

		ramp.inherited = Math.min(ramp.inherited, ramp.reported);
		const nowMs = this.clock.now();
		for (const [permitId, permit] of ramp.permits) {
			const isCounted = sampledAtMs >= permit.grantedAtMs + PERMIT_WRITE_MS;
			if (nowMs >= permit.expiresAtMs && isCounted && ramp.permits.size + ramp.inherited > ramp.reported) {
				ramp.permits.delete(permitId);
			}
		}
	}
}
