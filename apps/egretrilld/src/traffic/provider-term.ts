import type {
	Clock, EngineClass, Logger, Random, ScalingRange,
} from '@egretrill/common';
import {REGISTRATION_TTL_MS, type TargetRegistry} from '@egretrill/engines';
import type {FleetNode, FleetState} from '@egretrill/hosts';
import {
	type Duty, type DutyObserver, EngineDuty, FleetTime, type ProviderCalls, ProviderDuties, type ProviderSettings, SlotUsePolicy, UsageDuty, UsageLedger, type UsagePlan, type ZoneEngines,
} from '@egretrill/provider';
import type {ControlGossip} from './control-gossip.js';
import type {DecodedTraffic} from './decoded-traffic.js';
import {FleetDutyLog} from './fleet-duty-log.js';
import type {EntryReport} from './methods.js';
import type {RunningCounts} from './running-counts.js';
import {WaitingCounts} from './waiting-counts.js';
import {listZoneEngines} from './zone-engines.js';

/** The provider and what observes the calls to it. */
export type ProviderPeer = {
	readonly settings: ProviderSettings;
	readonly calls: ProviderCalls;
	readonly observer: DutyObserver;
};

/** What a term of the leader needs besides its own state. */
export type TermProvider = ProviderPeer & Pick<ProviderTermOptions, 'state' | 'getScalingRanges' | 'canRecord'>;

/** The parts of a control host that the duties use. */
type ProviderHost = {readonly state: ProviderTermOptions['state']; readonly traffic: DecodedTraffic; readonly gossip: ControlGossip};

/** Joins the provider with the control host whose leader has duties there; undefined without a provider. */
export function bindProvider(peer: ProviderPeer | undefined, {state, traffic, gossip}: ProviderHost): TermProvider | undefined {
	return peer && {
		...peer, state, getScalingRanges: () => traffic.getScalingRanges(), canRecord: () => gossip.canRecordDuties(),
	};
}

export type ProviderTermOptions = ProviderPeer & {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly node: Pick<FleetNode, 'propose'>;
	readonly state: Pick<FleetState, 'getUsage' | 'getEngineCounts'>;
	readonly hostId: string;
	readonly term: number;
	/** Time from which no earlier leader may call any more. */
	readonly firstCallAtMs: number;
	readonly mayCall: () => boolean;
	/** Whether all members of the log can read the entries of the duties. */
	readonly canRecord: () => boolean;
	readonly getEntryHosts: () => readonly string[];
	readonly registry: Pick<TargetRegistry, 'getLive'>;
	readonly running: RunningCounts;
	readonly getZonesOut: () => readonly string[];
	readonly getClasses: () => ReadonlyMap<string, EngineClass>;
	/** Services whose engines may be ordered. */
	readonly getScalingRanges: () => ReadonlyMap<string, ScalingRange>;
};

/** The duties towards the provider during one term of the leader. */
export class ProviderTerm {
	private readonly log: FleetDutyLog;
	private readonly time: FleetTime;
	private readonly ledger: UsageLedger;
	private readonly waiting: WaitingCounts;
	private readonly duties: ProviderDuties;

	constructor(private readonly opts: ProviderTermOptions) {
		const {clock, getEntryHosts, node, settings, state} = opts;
		this.log = new FleetDutyLog(node, state);
		this.time = new FleetTime(clock, () => getEntryHosts().length);
		this.ledger = new UsageLedger(clock);
		this.waiting = new WaitingCounts(clock);
		this.duties = new ProviderDuties({
			...opts, callsPerSecond: settings.callsPerSecond, duties: this.createDuties(), mayCall: () => opts.mayCall() && opts.canRecord(),
		});
	}

	async run(signal: AbortSignal): Promise<void> {
		const {logger, settings, term} = this.opts;
		logger.info({...settings, term}, 'This host holds the duties towards the provider.');
		await this.duties.run(signal);
	}

	/** Takes the wall-clock time of an entry host at the arrival of its poll. */
	recordTime({hostId, usage}: EntryReport): void {
		if (usage) {
			this.time.record(hostId, usage.timeOfDayMs);
		}
	}

	/** Takes the usage that an entry host reports; returns the host's part of the plan. */
	handleReport({hostId, startId, usage, waiting}: EntryReport): UsagePlan | undefined {
		this.waiting.update(hostId, waiting);
		const {settings} = this.opts;
		const fleetTimeMs = this.time.now();
		if (!settings.reportsUsage || !usage) {
			return undefined;
		}

		this.ledger.record(hostId, startId, usage);
		return fleetTimeMs === undefined ? undefined : {fleetTimeMs, windowMs: settings.windowMs, settledThrough: this.log.getUsage().settledThrough};
	}

	private createDuties(): Duty[] {
		const {opts, log, ledger, time} = this;
		const {getEntryHosts, getScalingRanges, getZonesOut, hostId, running, settings, term} = opts;
		const common = {...opts, log, holder: {holder: hostId, fencingToken: term}};
		return [
			...(settings.reportsUsage
				? [new UsageDuty({
					...common, ledger, time, getHostIds: getEntryHosts,
				})]
				: []),
			...(settings.ordersEngines
				? [new EngineDuty({
					...common,
					policy: new SlotUsePolicy(),
					orderLeaseMs: settings.orderLeaseMs,
					registrationTtlMs: REGISTRATION_TTL_MS,
					getRange: ({service, zone}) => getZonesOut().includes(zone) ? undefined : getScalingRanges().get(service),
					listZones: () => this.listZones(),
					hasAllReports: () => running.hasAll(getEntryHosts()),
				})]
				: []),
		];
	}

	private listZones(): readonly ZoneEngines[] {
		const {getClasses, getScalingRanges, getZonesOut, registry, running} = this.opts;
		return listZoneEngines({
			targets: registry.getLive(), ranges: getScalingRanges(), classes: getClasses(), running: running.getSums(), waiting: this.waiting.getByService(), zonesOut: getZonesOut(),
		});
	}
}
