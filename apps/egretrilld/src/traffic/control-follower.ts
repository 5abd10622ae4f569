import {randomUUID} from 'node:crypto';
import {
	type CrashAnswer, type CrashReport, type RateDecision, RatePoolClient,
} from '@egretrill/callers';
import {
	type Clock, jitter, type Logger, type Random, TimeMark, type TimeOfDay, type TrafficSource,
} from '@egretrill/common';
import type {ColdWant} from '@egretrill/engines';
import type {ControlPeers} from '@egretrill/hosts';
import {BorrowBatcher} from './borrow-batcher.js';
import {ConfigFetcher} from './config-fetcher.js';
import {
	BORROW_TIMEOUT_MS, COLD_SEND_TIMEOUT_MS, CONTROL_SUSPICION_MS, MIN_SYNC_INTERVAL_MS, SYNC_RESPONSE_TIMEOUT_MS, SYNC_RETRY_MS, SYNC_WAIT_MS,
} from './constants.js';
import {
	borrowMethod, coldSendMethod, crashMethod, type EntryReport, type LeaderPlan, type RateLoan, requestAdapterMethod, syncMethod, type SyncResponse,
} from './methods.js';
import {pickControlHost} from './pick-control-host.js';
import {RateLimitedLog} from './rate-limited-log.js';
import {SKIPPED_ENTRIES_MESSAGE, warnOfSkippedEntries} from './skipped-entries.js';
import {getSyncIntervalMs} from './sync-interval.js';

/** Report of an entry host in a poll, without what the follower itself adds. */
export type HostReport = Omit<EntryReport, 'hostId' | 'startId' | 'unspent'>;

/** Supplies the contents of polls and applies their results. */
export abstract class SyncSink {
	abstract createReport(): HostReport;
	abstract getKnownVersions(): {readonly configVersion: number; readonly registry: {readonly origin: string; readonly revision: number}};
	/** Applies stored evidence on what ends targets; it arrives with the first configuration. */
	abstract applyCrashes(records: NonNullable<SyncResponse['crashes']>): void;
	abstract applyConfig(config: TrafficSource): void;
	abstract applyTargets(update: SyncResponse['registry'], zonesOut: readonly string[]): void;
	/** Applies the number of entry hosts that the log names, while no leader has counted them since the start of this host. */
	abstract applyHostCount(count: number): void;
	/** Applies that a version was in force at the leader at the mark, or earlier by the age. */
	abstract applyConfirmation(confirmed: NonNullable<SyncResponse['confirmed']>, mark: TimeMark): void;
	/** Applies the leader's plan; its leases run from the time at which the poll was sent. */
	abstract applyPlan(plan: LeaderPlan, sentMs: number): void;
}

export type ControlFollowerOptions = {
	readonly hostId: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly getTimeOfDayMs: TimeOfDay;
	readonly random: Random;
	readonly logger: Logger;
	readonly peers: Pick<ControlPeers, 'call' | 'getOthers' | 'setKnownHosts'>;
	readonly sink: SyncSink;
};

/** Polls the control hosts: the leader while it answers, otherwise the others in turn. */
export class ControlFollower extends RatePoolClient {
	private readonly startId = randomUUID();
	private readonly suspectUntilMs = new Map<string, number>();
	/** Control hosts that did not answer the last poll. */
	private readonly unresponsive = new Set<string>();
	private leaderId: string | undefined;
	/** Log entry up to which the adopted state is complete; a control host that restarted or was cut off may answer with an older one. */
	private stateIndex = 0;
	private zonesOut: readonly string[] = [];
	/** Number of entry hosts that poll the leader. */
	private hostCount = 1;
	/** Whether a leader has answered since the start of this host. */
	private hasPlan = false;
	private lastResponseMs = Number.NEGATIVE_INFINITY;
	private readonly lastPollMs = new Map<string, number>();
	/** Borrowed costs that were not spent since the last poll of the leader, by customer. */
	private unspent = new Map<string, number>();
	private readonly batcher = new BorrowBatcher(async loans => this.requestLoans(loans));
	private readonly skippedEntries: RateLimitedLog;
	private readonly configFetcher: ConfigFetcher;

	constructor(private readonly opts: ControlFollowerOptions) {
		super();
		this.configFetcher = new ConfigFetcher({
			...opts, onReceived(config) {
				opts.sink.applyConfig(config);
			},
		});
		this.skippedEntries = new RateLimitedLog(opts.clock, opts.logger, SKIPPED_ENTRIES_MESSAGE);
	}

	/** Time since the last answered poll, which is the age of this host's configuration and targets. */
	getAgeMs(): number {
		return this.opts.clock.now() - this.lastResponseMs;
	}

	/** Polls until the signal aborts. The intervals vary, so that hosts whose polls ended together, after a standstill of the leader, do not stay in step. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.opts;
		while (!signal.aborted) {
			const controlId = this.pickHost();
			const sentMs = clock.now();
			const isAnswered = controlId !== undefined && await this.poll(controlId);
			const intervalMs = isAnswered ? this.getIntervalMs() : SYNC_RETRY_MS;
			await clock.sleep(Math.max(MIN_SYNC_INTERVAL_MS, sentMs + jitter(intervalMs, random) - clock.now()), signal);
		}
	}

	/** Requests an adapter from the leader; resolves with the engine that holds it once it is loaded. */
	async requestAdapter(service: string, model: string, adapter: string): Promise<string | undefined> {
		if (this.leaderId === undefined) {
			return undefined;
		}

		// A lost call is not retried here: waiting requests repeat it.
		const answer = await this.opts.peers.call(this.leaderId, requestAdapterMethod, {service, model, adapter});
		return answer.isOk ? answer.value.targetId : undefined;
	}

	override async borrow(name: string, cost: number): Promise<RateDecision | undefined> {
		return this.batcher.borrow({customer: name, cost});
	}

	override giveBack(name: string, cost: number): void {
		this.unspent.set(name, (this.unspent.get(name) ?? 0) + cost);
	}

	/** Requests one send to each of some cold targets from the leader; resolves with those that are granted. */
	async requestColdSends(wants: readonly ColdWant[]): Promise<readonly string[]> {
		if (this.leaderId === undefined || this.unresponsive.has(this.leaderId)) {
			return [];
		}

		const answer = await this.opts.peers.call(this.leaderId, coldSendMethod, {wants: [...wants]}, COLD_SEND_TIMEOUT_MS);
		return answer.isOk ? answer.value.grantedIds : [];
	}

	/** Sends evidence to the leader between two polls; undefined if it does not answer. */
	async sendCrashes(report: CrashReport): Promise<CrashAnswer | undefined> {
		if (this.leaderId === undefined) {
			return undefined;
		}

		const answer = await this.opts.peers.call(this.leaderId, crashMethod, report);
		return answer.isOk ? answer.value.answer : undefined;
	}

	/** Shortest time between two polls of this host. */
	getIntervalMs(): number {
		return getSyncIntervalMs(this.hostCount);
	}

	private async requestLoans(loans: readonly RateLoan[]): Promise<readonly RateDecision[] | undefined> {
		if (this.leaderId === undefined || this.unresponsive.has(this.leaderId)) {
			return undefined;
		}

		const answer = await this.opts.peers.call(this.leaderId, borrowMethod, {loans: [...loans]}, BORROW_TIMEOUT_MS);
		return answer.isOk ? answer.value.answers : undefined;
	}

	private pickHost(): string | undefined {
		const nowMs = this.opts.clock.now();
		return pickControlHost({
			hosts: this.opts.peers.getOthers(),
			leaderId: this.leaderId,
			zone: this.opts.zone,
			isResponsive: id => (this.suspectUntilMs.get(id) ?? 0) <= nowMs,
			getLastPollMs: id => this.lastPollMs.get(id),
		});
	}

	private async poll(controlId: string): Promise<boolean> {
		const {clock, getTimeOfDayMs, hostId, logger, peers, sink} = this.opts;
		const {configVersion, registry} = sink.getKnownVersions();
		const sentMs = clock.now();
		const mark = new TimeMark(clock, getTimeOfDayMs);
		this.lastPollMs.set(controlId, sentMs);
		const answer = await peers.call(controlId, syncMethod, {
			report: {
				...sink.createReport(), hostId, startId: this.startId, ...this.takeUnspent(controlId),
			}, configVersion, registry, waitMs: SYNC_WAIT_MS, receivesParts: true,
		}, SYNC_WAIT_MS + SYNC_RESPONSE_TIMEOUT_MS);
		if (answer.isErr) {
			this.suspectUntilMs.set(controlId, clock.now() + CONTROL_SUSPICION_MS);
			if (!this.unresponsive.has(controlId)) {
				this.unresponsive.add(controlId);
				logger.warn({peer: controlId, reason: answer.error.message, ageMs: Math.round(this.getAgeMs())}, 'A control host does not answer.');
			}

			return false;
		}

		if (this.unresponsive.delete(controlId)) {
			logger.info({peer: controlId}, 'A control host answers again.');
		}

		this.lastResponseMs = clock.now();
		this.applyResponse(answer.value, controlId, sentMs);
		if (answer.value.confirmed) {
			sink.applyConfirmation(answer.value.confirmed, mark);
		}

		return true;
	}

	/** Returned in one report only: if it is lost, the costs stay charged, while a repeated one could exceed the rate. */
	private takeUnspent(controlId: string): Pick<EntryReport, 'unspent'> {
		if (controlId !== this.leaderId || this.unspent.size === 0) {
			return {};
		}

		const unspent = [...this.unspent];
		this.unspent = new Map();
		return {unspent};
	}

	private applyResponse(answer: SyncResponse, controlId: string, sentMs: number): void {
		const {leaderId: reportedId, controls, registry, entryHostCount, plan} = answer;
		const {logger, peers, sink} = this.opts;
		// A host that reports itself as leader without a plan has lost its lease, and its state may be outdated.
		const leaderId = reportedId === controlId && !plan ? undefined : reportedId;
		if (leaderId !== this.leaderId) {
			logger.info({leaderId, from: controlId}, 'The leader has changed.');
			this.leaderId = leaderId;
		}

		peers.setKnownHosts(controls);
		this.applyState(answer, controlId);
		warnOfSkippedEntries(this.skippedEntries, controlId, registry);
		sink.applyTargets(registry, this.zonesOut);
		if (plan) {
			this.hasPlan = true;
			this.hostCount = plan.rates.hostCount;
			sink.applyPlan(plan, sentMs);
		} else if (!this.hasPlan && entryHostCount !== undefined) {
			sink.applyHostCount(entryHostCount);
		}
	}

	private applyState({stateIndex, config, configVersion, crashes = [], zonesOut}: SyncResponse, controlId: string): void {
		if (stateIndex === undefined || stateIndex < this.stateIndex) {
			return;
		}

		this.stateIndex = stateIndex;
		this.zonesOut = zonesOut;
		this.opts.sink.applyCrashes(crashes);
		if (config) {
			this.opts.sink.applyConfig(config);
		}

		if (configVersion !== undefined) {
			void this.configFetcher.fetch(controlId, configVersion);
		}
	}
}
