import type {ConfigSource} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {
	ColdStartRamp, type DemandReport, sumDemand, type TargetDirectory, type ZoneOwner,
} from '@egretrill/engines';
import type {ZoneLeaseKeeper} from '@egretrill/hosts';
import {DEMAND_TTL_MS, ZONE_DUTY_INTERVAL_MS} from '../constants.js';
import {getRemoteTargets} from './remote-targets.js';

export type ZoneDutiesOptions = {
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly lease: ZoneLeaseKeeper;
	readonly directory: TargetDirectory;
	readonly config: ConfigSource;
	readonly owner: ZoneOwner;
};

type HostDemand = {readonly reports: readonly DemandReport[]; readonly heardMs: number};

/** Thrown to a host that took this one for the owner of its zone. */
export class NotZoneOwnerError extends Error {
	override readonly name = 'NotZoneOwnerError';
}

/** The duties of the zone's owner: cold-start ramps and placement. */
export class ZoneDuties {
	private readonly demand = new Map<string, HostDemand>();
	private ramp: {readonly epoch: number; readonly ramp: ColdStartRamp} | undefined;

	constructor(private readonly opts: ZoneDutiesOptions) {}

	/** The ramps of the present tenure; throws unless this host owns the zone at this moment. */
	getRamp(): ColdStartRamp {
		const {lease} = this.opts;
		if (lease.remainingMs() <= 0 || this.ramp?.epoch !== lease.epoch) {
			throw new NotZoneOwnerError('This host does not own its zone.');
		}

		return this.ramp.ramp;
	}

	/** Takes a host's demand for models. */
	recordDemand(hostId: string, reports: readonly DemandReport[]): void {
		this.demand.set(hostId, {reports, heardMs: this.opts.clock.now()});
	}

	/** Follows the lease and the zone's targets until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, lease, logger, zone, owner} = this.opts;
		const placement = owner.run(signal);
		while (!signal.aborted) {
			if (lease.remainingMs() > 0) {
				if (this.ramp?.epoch !== lease.epoch) {
					this.ramp = {epoch: lease.epoch, ramp: new ColdStartRamp({clock, ownerEpoch: lease.epoch})};
					logger.info({zone, epoch: lease.epoch}, 'This host owns its zone.');
				}

				this.followTargets(this.ramp.ramp);
				this.updatePlacement();
				this.logDecisions();
			}

			await clock.sleep(ZONE_DUTY_INTERVAL_MS, signal);
		}

		await placement;
	}

	private followTargets(ramp: ColdStartRamp): void {
		const {directory, zone, owner} = this.opts;
		for (const {entry, ageMs} of directory.getTargets()) {
			if (entry.zone === zone && entry.kind === 'engine') {
				ramp.observe(entry, ageMs);
				owner.observe(entry, ageMs);
			}
		}

		for (const {targetId, startId, warmth} of ramp.getWarmths()) {
			directory.recordWarmth(targetId, startId, warmth);
		}
	}

	private logDecisions(): void {
		for (const decision of this.opts.owner.takeDecisions()) {
			this.opts.logger.info({zone: this.opts.zone, ...decision}, 'Placement decided.');
		}
	}

	private updatePlacement(): void {
		const {config, owner, clock, directory, zone} = this.opts;
		const document = config.getIndex()?.document;
		if (!document) {
			return;
		}

		const nowMs = clock.now();
		const live = [...this.demand.values()].filter(({heardMs}) => nowMs - heardMs < DEMAND_TTL_MS);
		owner.setState({
			models: document.models,
			placements: document.placements,
			demand: sumDemand(live.flatMap(({reports}) => [...reports])),
			remoteTargets: getRemoteTargets(directory, zone),
			loadSlots: document.weightStore.concurrentLoads,
		});
	}
}
