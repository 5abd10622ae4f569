import {
	CLOCK_DRIFT_RATIO, type Clock, jitter, type Random, ZONE_LEASE_TTL_MS,
} from '@egretrill/common';
import {z} from 'zod';
import {ZONE_LEASE_RENEW_MS} from '../constants.js';
import type {ZoneLease} from '../types.js';
import {defineMethod} from '../transport/index.js';

const ZoneLeaseRequest = z.object({zone: z.string(), host: z.string()});

/** The leader's answer; the time left counts from when the asking host sent its request. */
export const ZoneLeaseAnswer = z.object({holder: z.string(), epoch: z.int(), ttlMs: z.number()});
export type ZoneLeaseAnswer = z.infer<typeof ZoneLeaseAnswer>;

/** Asks the leader for the right to issue orders in a zone. */
export const zoneLeaseMethod = defineMethod('Fleet', 'zoneLease', ZoneLeaseRequest, ZoneLeaseAnswer);

type HeldLease = ZoneLease & {readonly expiresMs: number};

export type ZoneLeaseTableOptions = {
	readonly clock: Clock;
	/** Leases that earlier leaders may have granted. */
	readonly knownLeases: Readonly<Record<string, ZoneLease>>;
	/** Commits a change of holder and returns the new epoch. */
	readonly grant: (zone: string, host: string) => Promise<ZoneLease | undefined>;
	readonly isCurrent: () => boolean;
};

/** The leader's account of zone leases and their remaining times. */
export class ZoneLeaseTable {
	private readonly leases = new Map<string, HeldLease>();
	private readonly zonesChangingHolder = new Set<string>();
	private readonly extendedTtlMs = ZONE_LEASE_TTL_MS * (1 + CLOCK_DRIFT_RATIO);

	constructor(private readonly opts: ZoneLeaseTableOptions) {
		// An earlier leader may have renewed each lease just before this one took over.
		for (const [zone, lease] of Object.entries(opts.knownLeases)) {
			this.leases.set(zone, {...lease, expiresMs: opts.clock.now() + this.extendedTtlMs});
		}
	}

	/** Grants or renews a lease, or says who holds it. */
	async request(zone: string, host: string): Promise<ZoneLeaseAnswer | undefined> {
		const currentLease = this.leases.get(zone);
		if (currentLease && currentLease.host !== host && currentLease.expiresMs > this.opts.clock.now()) {
			return {holder: currentLease.host, epoch: currentLease.epoch, ttlMs: 0};
		}

		// Two hosts that ask for a free zone at once must not both be granted it.
		if (this.zonesChangingHolder.has(zone)) {
			return undefined;
		}

		const lease = currentLease?.host === host ? currentLease : await this.changeHolder(zone, host);
		// The commit took time, in which leadership may have ended.
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
	/** Asks the leader; undefined when it does not answer. */
	readonly requestLease: (zone: string, host: string) => Promise<ZoneLeaseAnswer | undefined>;
	/** Whether this host is among those that may own the zone. */
	readonly isCandidate: () => boolean;
};

/** Keeps the lease of a host's own zone, and knows which host holds it. */
export class ZoneLeaseClient {
	private heldEpoch = 0;
	private expiresMs = Number.NEGATIVE_INFINITY;
	private holder: string | undefined;

	constructor(private readonly opts: ZoneLeaseClientOptions) {}

	get epoch(): number {
		return this.heldEpoch;
	}

	/** Time left of the own lease; 0 or less without one. */
	remainingMs(): number {
		return this.expiresMs - this.opts.clock.now();
	}

	/** The host that last held the lease, as far as this host knows. */
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
		// Counted from before the request, so that its way to the leader never lengthens the lease.
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
