import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {
	answerCrashReport, CrashTracker, type CrashAnswer, type CrashReport, type CrashRevision, RATE_HOST_TTL_MS, RateOwner, ShortageOwner,
} from '@egretrill/callers';
import {
	type Clock, compareLists, type EngineClass, type Logger, type LoopWatch, type Random, type TrafficCustomer,
} from '@egretrill/common';
import {
	ColdGrants, type EngineOrders, EngineOwner, type LoadObserver, type TargetRegistry, type TargetSpeeds,
} from '@egretrill/engines';
import type {FleetNode, FleetState} from '@egretrill/hosts';
import {CrashLog} from '../crash-log.js';
import {ENTRY_RECORD_INTERVAL_MS, ORDER_TAKEOVER_MARGIN_MS} from './constants.js';
import type {EntryReport, LeaderPlan} from './methods.js';
import {LeavingHints} from './leaving-hints.js';
import {ProviderTerm, type TermProvider} from './provider-term.js';
import {RunningCounts} from './running-counts.js';
import {TermSpeeds} from './term-speeds.js';
import {ShortageLog} from './shortage-log.js';

export type LeaderTermOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly watch: Pick<LoopWatch, 'recordPlan'>;
	readonly loadObserver?: LoadObserver;
	readonly node: Pick<FleetNode, 'status' | 'isLeaderWithLease' | 'propose'>;
	readonly state: Pick<FleetState, 'getCrashes'>;
	readonly getTimeOfDayMs: () => number;
	readonly registry: TargetRegistry;
	readonly orders: EngineOrders;
	readonly hostId: string;
	readonly term: number;
	readonly orderLeaseMs: number;
	/** The peer of the duties towards the provider; there are none if absent. */
	readonly provider?: TermProvider | undefined;
	readonly getZonesOut: () => readonly string[];
	readonly getClasses: () => ReadonlyMap<string, EngineClass>;
	readonly getCustomers: () => ReadonlyMap<string, TrafficCustomer>;
	/** Reads and writes the hosts that the log records as possible holders of leased rates. */
	readonly getEntryHosts: () => readonly string[];
	readonly putEntryHosts: (hostIds: readonly string[]) => Promise<boolean>;
};

/** State that a leader owns during one term: the division of rates, the sends to cold targets, the engines' orders and the counts of running requests. */
export class LeaderTerm {
	readonly engines: EngineOwner;
	readonly rates: RateOwner;
	readonly coldGrants: ColdGrants;
	private readonly termSpeeds: TermSpeeds;
	private readonly running: RunningCounts;
	private readonly crashes: CrashTracker;
	private readonly crashLog: CrashLog;
	private readonly leavingHints: LeavingHints;
	private readonly provider: ProviderTerm | undefined;
	private readonly shortage: ShortageOwner;
	private readonly shortageLog: ShortageLog;
	private readonly stopper = new AbortController();
	private readonly startedMs: number;

	constructor(private readonly opts: LeaderTermOptions) {
		const {clock, node, orderLeaseMs, term} = opts;
		this.startedMs = clock.now();
		this.termSpeeds = new TermSpeeds(clock, opts.logger);
		this.running = new RunningCounts(clock);
		this.crashes = new CrashTracker(clock, randomUUID());
		this.crashLog = new CrashLog({...opts, tracker: this.crashes});
		this.leavingHints = new LeavingHints(clock);
		this.shortage = new ShortageOwner(clock);
		this.shortageLog = new ShortageLog(clock, opts.logger);
		// The order tasks of all engines listen to this signal, which exceeds Node's default limit for listener leaks.
		setMaxListeners(0, this.stopper.signal);
		this.rates = new RateOwner(clock, opts.getCustomers, opts.getEntryHosts);
		this.coldGrants = new ColdGrants(clock);
		const firstOrderAtMs = clock.now() + orderLeaseMs + ORDER_TAKEOVER_MARGIN_MS;
		const mayOrder = (): boolean => !this.stopper.signal.aborted && node.isLeaderWithLease() && node.status().term === term;
		this.engines = new EngineOwner({
			...opts, holder: opts.hostId, fencingToken: term, firstOrderAtMs, mayOrder, getSpeed: (targetId, startedAtMs) => this.speeds.getSpeed(targetId, startedAtMs),
		});
		this.provider = opts.provider && new ProviderTerm({
			...opts, ...opts.provider, running: this.running, firstCallAtMs: firstOrderAtMs, mayCall: mayOrder,
		});
	}

	get term(): number {
		return this.opts.term;
	}

	/** Speeds of targets as all hosts together have measured them. */
	get speeds(): TargetSpeeds {
		return this.termSpeeds.speeds;
	}

	get signal(): AbortSignal {
		return this.stopper.signal;
	}

	async run(): Promise<void> {
		await Promise.all([this.engines.run(this.stopper.signal), this.crashLog.run(this.stopper.signal), this.recordEntryHosts(), this.provider?.run(this.stopper.signal)]);
	}

	end(): void {
		this.stopper.abort();
	}

	/** Joins the evidence of an entry host, whose ages count from its arrival; returns whether any of it is new. */
	joinCrashes(report: CrashReport | undefined): boolean {
		return report !== undefined && this.crashes.mergeReport(report.records);
	}

	/** Whether there is evidence that an entry host does not have. */
	hasCrashesSince(known: CrashRevision | undefined): boolean {
		return known !== undefined && this.crashes.hasChanges(known);
	}

	/** Takes the time at which an entry host sent a poll, at its arrival. */
	recordTime(report: EntryReport): void {
		this.provider?.recordTime(report);
	}

	/** Processes the report of an entry host and returns the host's part of the plan, apart from the evidence on crashes. */
	handleReport(report: EntryReport): LeaderPlan {
		const {hostId, startId, running, adapters, arrivals, waiting, rates, unspent = [], leaving = [], speeds, queue} = report;
		this.running.update(hostId, running);
		for (const [service, model, adapter, count, runMs] of arrivals) {
			this.engines.recordArrivals({service, model, ...(adapter !== '' && {adapter})}, count, runMs);
		}

		this.engines.recordAdapterUse(hostId, adapters);
		this.engines.recordWaiting(hostId, waiting);
		this.leavingHints.record(leaving);
		this.shortage.report(hostId, queue);
		const hints = this.leavingHints.list();
		this.rates.giveBack(unspent);
		const speedPlan = speeds && this.termSpeeds.handleReport(speeds);
		const usage = this.provider?.handleReport(report);
		const shortage = this.shortage.getFigures();
		this.shortageLog.record(shortage);
		const grant = this.rates.request({hostId, startId, ...rates});
		return {
			others: this.running.getOthers(hostId),
			expected: this.engines.getReadyTimes().map(({service, model, readyInMs}) => [service, model, Math.round(readyInMs)]),
			rates: {...grant, leased: grant.leased.map(([name, allocation]) => [name, allocation])},
			...(hints.length > 0 && {leaving: hints}),
			...(speedPlan && {speeds: speedPlan}),
			...(usage && {usage}),
			...(queue && {shortage}),
		};
	}

	/** Answers a report whose evidence has been joined; waits for the log only if a probe is due. */
	async answerCrashes(report: CrashReport): Promise<CrashAnswer> {
		const probes = await this.crashLog.grantProbes(report);
		return answerCrashReport(this.crashes, report, probes);
	}

	/** Keeps the entry hosts recorded in the log up to date. */
	private async recordEntryHosts(): Promise<void> {
		const {clock, getEntryHosts, logger, putEntryHosts} = this.opts;
		while (!this.stopper.signal.aborted) {
			const hostIds = [...new Set([...this.rates.getHostIds(), ...this.getPossibleLeaseHolders()])].toSorted();
			const recorded = getEntryHosts();
			if (hostIds.join(' ') !== recorded.join(' ')) {
				const isPut = await putEntryHosts(hostIds);
				logger.info({...compareLists(recorded, hostIds), isPut}, 'The entry hosts have changed.');
			}

			await clock.sleep(ENTRY_RECORD_INTERVAL_MS, this.stopper.signal);
		}
	}

	/** Hosts recorded by an earlier leader that may still hold leases. */
	private getPossibleLeaseHolders(): readonly string[] {
		return this.opts.clock.now() - this.startedMs < RATE_HOST_TTL_MS ? this.opts.getEntryHosts() : [];
	}
}
