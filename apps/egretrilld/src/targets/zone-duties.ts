import type {ConfigSource} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {
	type AdapterLoadResult, type AdapterRequest, ColdStartRamp, type DemandReport, measurePhases, type ModelExplanation,
	type PhaseLoad, smoothPhases, sumDemand, sumWaiting, type TargetDirectory, type ZoneOwner,
} from '@egretrill/engines';
import type {ZoneLeaseClient} from '@egretrill/hosts';
import {DEMAND_TTL_MS, ZONE_DUTY_INTERVAL_MS} from '../constants.js';
import {getRemoteTargets} from './remote-targets.js';

export type ZoneDutiesOptions = {
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly lease: ZoneLeaseClient;
	readonly directory: TargetDirectory;
	readonly config: ConfigSource;
	readonly owner: ZoneOwner;
};

type HostDemand = {readonly reports: readonly DemandReport[]; readonly receivedMs: number};

/** Rejects a call that only the zone's owner may serve. */
export class NotZoneOwnerError extends Error {
	override readonly name = 'NotZoneOwnerError';
}

/** The duties of the zone's owner: cold-start ramps and placement. */
export class ZoneDuties {
	private readonly demand = new Map<string, HostDemand>();
	private readonly stopping = new AbortController();
	private phase: {readonly load: PhaseLoad | undefined; readonly atMs: number} | undefined;
	private ramp: {readonly epoch: number; readonly ramp: ColdStartRamp} | undefined;

	constructor(private readonly opts: ZoneDutiesOptions) {}

	/** Cold-start ramps of the current lease epoch; throws unless this host currently owns the zone. */
	getRamp(): ColdStartRamp {
		const {lease} = this.opts;
		if (lease.remainingMs() <= 0 || this.ramp?.epoch !== lease.epoch) {
			throw new NotZoneOwnerError('This host does not own its zone.');
		}

		return this.ramp.ramp;
	}

	/** Records a host's demand for models. */
	recordDemand(hostId: string, reports: readonly DemandReport[]): void {
		this.demand.set(hostId, {reports, receivedMs: this.opts.clock.now()});
	}

	/** Loads an adapter for a request of another host or of this one. */
	async loadAdapter(req: AdapterRequest): Promise<AdapterLoadResult> {
		const answer = await this.opts.owner.loadAdapter(req, this.stopping.signal);
		this.opts.logger.info({zone: this.opts.zone, ...req, ...answer}, 'Adapter requested.');
		return answer;
	}

	/** Explains the placement of a model; throws unless this host currently owns the zone. */
	explain(model: string): ModelExplanation {
		this.getRamp();
		return this.opts.owner.explain(model);
	}

	/** Updates ramps and placement from the zone's targets while this host holds the lease, until the signal aborts. */
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

		this.stopping.abort();
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
		for (const decision of this.opts.owner.drainDecisions()) {
			this.opts.logger.info({zone: this.opts.zone, ...decision}, 'Placement decided.');
		}
	}

	private measurePhase(nowMs: number): PhaseLoad | undefined {
		const targets = this.opts.directory.getTargets().flatMap(({entry}) => entry.zone === this.opts.zone && entry.kind === 'engine' && !entry.leaving ? [entry] : []);
		const load = smoothPhases(this.phase?.load, measurePhases(targets), nowMs - (this.phase?.atMs ?? nowMs));
		this.phase = {load, atMs: nowMs};
		return load;
	}

	private updatePlacement(): void {
		const {config, owner, clock, directory, zone} = this.opts;
		const document = config.getIndex()?.document;
		if (!document) {
			return;
		}

		const nowMs = clock.now();
		const reports = [...this.demand.values()].filter(({receivedMs}) => nowMs - receivedMs < DEMAND_TTL_MS).flatMap(host => [...host.reports]);
		owner.setState({
			models: document.models,
			placements: document.placements,
			demand: sumDemand(reports),
			waiting: sumWaiting(reports),
			phase: this.measurePhase(nowMs),
			remoteTargets: getRemoteTargets(directory, zone),
			loadSlots: document.weightStore.concurrentLoads,
		});
	}
}
