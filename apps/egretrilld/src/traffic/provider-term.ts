import type {Clock, Logger, Random} from '@egretrill/common';
import type {FleetNode, FleetState} from '@egretrill/hosts';
import {
	type DutyObserver, FleetTime, type ProviderCalls, ProviderDuties, type ProviderSettings, UsageDuty, UsageLedger, type UsagePlan,
} from '@egretrill/provider';
import {FleetDutyLog} from './fleet-duty-log.js';
import type {EntryReport} from './methods.js';

/** The provider, as the leader's duties meet it. */
export type ProviderPeer = {
	readonly settings: ProviderSettings;
	readonly calls: ProviderCalls;
	readonly observer: DutyObserver;
};

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
	readonly getEntryHosts: () => readonly string[];
};

/** The duties towards the provider during one term of the leader. */
export class ProviderTerm {
	private readonly log: FleetDutyLog;
	private readonly time: FleetTime;
	private readonly ledger: UsageLedger;
	private readonly duties: ProviderDuties;

	constructor(private readonly opts: ProviderTermOptions) {
		const {clock, getEntryHosts, hostId, node, settings, state, term} = opts;
		this.log = new FleetDutyLog(node, state);
		this.time = new FleetTime(clock, () => getEntryHosts().length);
		this.ledger = new UsageLedger(clock);
		const common = {...opts, log: this.log, holder: {holder: hostId, fencingToken: term}};
		this.duties = new ProviderDuties({
			...opts,
			callsPerSecond: settings.callsPerSecond,
			duties: settings.reportsUsage
				? [new UsageDuty({
					...common, ledger: this.ledger, time: this.time, getHostIds: getEntryHosts,
				})]
				: [],
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
	handleReport({hostId, startId, usage}: EntryReport): UsagePlan | undefined {
		const {settings} = this.opts;
		const fleetTimeMs = this.time.now();
		if (!settings.reportsUsage || !usage) {
			return undefined;
		}

		this.ledger.record(hostId, startId, usage);
		return fleetTimeMs === undefined ? undefined : {fleetTimeMs, windowMs: settings.windowMs, settledThrough: this.log.getUsage().settledThrough};
	}
}
