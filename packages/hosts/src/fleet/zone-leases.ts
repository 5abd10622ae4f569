import {
	CLOCK_DRIFT_RATIO, type Clock, jitter, type Random, ZONE_LEASE_TTL_MS,
} from '@egretrill/common';
import {z} from 'zod';
import {ZONE_LEASE_RENEW_MS} from '../constants.js';
import type {ZoneLease} from '../types.js';
import {defineMethod} from '../transport/index.js';

const ZoneLeaseRequest = z.object({zone: z.string(), host: z.string()});

/** The leader's answer; `ttlMs` counts from when the requesting host sent its request. */
export const ZoneLeaseAnswer = z.object({holder: z.string(), epoch: z.int(), ttlMs: z.number()});
export type ZoneLeaseAnswer = z.infer<typeof ZoneLeaseAnswer>;

/** Requests from the leader the right to issue orders in a zone. */
export const zoneLeaseMethod = defineMethod('Fleet', 'zoneLease', ZoneLeaseRequest, ZoneLeaseAnswer);

type HeldLease = ZoneLease & {readonly expiresMs: number};

export type ZoneLeaseTableOptions = {
	readonly clock: Clock;
	/** Leases granted by earlier leaders, which may still be valid. */
	readonly knownLeases: Readonly<Record<string, ZoneLease>>;
	/** Commits a change of holder and returns the new epoch. */
	readonly grant: (zone: string, host: string) => Promise<ZoneLease | undefined>;
	/** Whether this host still leads the term for which the table was created. */
	readonly isCurrent: () => boolean;
};

/** Zone leases and their expiry times on the leader. */
export class ZoneLeaseTable {
	private readonly leases = new Map<string, HeldLease>();
	private readonly zonesChangingHolder = new Set<string>();
	private readonly extendedTtlMs = ZONE_LEASE_TTL_MS * (1 + CLOCK_DRIFT_RATIO);

	constructor(private readonly opts: ZoneLeaseTableOptions) {
		// The previous leader may have renewed each lease just before this one was elected.
		for (const [zone, lease] of Object.entries(opts.knownLeases)) {
			this.leases.set(zone, {...lease, expiresMs: opts.clock.now() + this.extendedTtlMs});
		}
	}

	/** Grants or renews a lease, or returns its current holder; undefined if the change is in progress or cannot be committed. */
	async request(zone: string, host: string): Promise<ZoneLeaseAnswer | undefined> {
		const currentLease = this.leases.get(zone);
		if (currentLease && currentLease.host !== host && currentLease.expiresMs > this.opts.clock.now()) {
			return {holder: currentLease.host, epoch: currentLease.epoch, ttlMs: 0};
		}

		// Concurrent requests for a free zone must not both be granted.
		if (this.zonesChangingHolder.has(zone)) {
			return undefined;
		}

		const lease = currentLease?.host === host ? currentLease : await this.changeHolder(zone, host);
		// Leadership may have ended while the change was committed.
		if (!lease || !this.opts.isCurrent()) {
			return undefined;
		}

		this.leases.set(zone, {host: lease.host, epoch: lease.epoch, expiresMs: this.opts.clock.now() + this.extendedTtlMs});
		return {holder: lease.host, epoch: lease.epoch, ttlMs: ZONE_LEASE_TTL_MS};
	}

	private async changeHolder(zone: string, host: string): Promise<ZoneLease | undefined> {
		this.zonesChangingHolder.add(zone);
		try {
			return await this.opts.grant(zone, host);
		} finally {
			this.zonesChangingHolder.delete(zone);
		}
	}
}

export type ZoneLeaseClientOptions = {
	readonly hostId: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly random: Random;
	/** Requests the lease from the leader; returns undefined if the leader does not answer. */
	readonly requestLease: (zone: string, host: string) => Promise<ZoneLeaseAnswer | undefined>;
	/** Whether this host is among those that may own the zone. */
	readonly isCandidate: () => boolean;
};

/** Renews the lease of a host's own zone, and tracks which host holds it. */
export class ZoneLeaseClient {
	private heldEpoch = 0;
	private expiresMs = Number.NEGATIVE_INFINITY;
	private holder: string | undefined;

	constructor(private readonly opts: ZoneLeaseClientOptions) {}

	get epoch(): number {
		return this.heldEpoch;
	}

	/** Time until this host's lease expires; 0 or less if it does not hold one. */
	remainingMs(): number {
		return this.expiresMs - this.opts.clock.now();
	}

	/** The last known holder of the lease. */
	getHolder(): string | undefined {
		return this.holder;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.opts;
		while (!signal.aborted) {
			if (this.opts.isCandidate()) {
				await this.renew();
			}

			await clock.sleep(jitter(ZONE_LEASE_RENEW_MS, random), signal);
		}
	}

	private async renew(): Promise<void> {
		const {clock, zone, hostId} = this.opts;
		// The lease is measured from before the request, so that network delay never extends it.
		const sentMs = clock.now();
		const answer = await this.opts.requestLease(zone, hostId);
		if (!answer) {
			return;
		}

		this.holder = answer.holder;
		if (answer.holder === hostId) {
			this.heldEpoch = answer.epoch;
			this.expiresMs = sentMs + answer.ttlMs;
		}
	}
}
