import {randomUUID} from 'node:crypto';
import {type RateDecision, RatePoolClient} from '@egretrill/callers';
import {
	type Clock, type Logger, type TrafficSource,
} from '@egretrill/common';
import type {ControlPeers} from '@egretrill/hosts';
import {BorrowBatches} from './borrow-batches.js';
import {
	BORROW_ANSWER_MS, CONTROL_SUSPECT_MS, SYNC_ANSWER_MS, SYNC_GAP_MS, SYNC_RETRY_MS, SYNC_WAIT_MS,
} from './constants.js';
import {
	borrowMethod, type EntryReport, type LeaderPlan, type RateLoan, syncMethod, type SyncResponse, wantMethod,
} from './methods.js';
import {pickControl} from './pick-control.js';
import {getSyncGapMs} from './sync-gap.js';

/** What an entry host tells with a poll, apart from who it is. */
export type OwnReport = Omit<EntryReport, 'hostId' | 'startId'>;

/** Takes what a poll brings. */
export abstract class SyncSink {
	abstract createReport(): OwnReport;
	abstract getKnown(): {readonly configVersion: number; readonly registry: {readonly origin: string; readonly revision: number}};
	abstract takeConfig(config: TrafficSource): void;
	abstract takeTargets(update: SyncResponse['registry'], zonesOut: readonly string[]): void;
	/** Takes the leader's plan; leases in it count from when the poll was sent. */
	abstract takePlan(plan: LeaderPlan, sentMs: number): void;
}

export type ControlFollowerOptions = {
	readonly hostId: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly peers: Pick<ControlPeers, 'call' | 'getOthers' | 'setKnownHosts'>;
	readonly sink: SyncSink;
};

/** Follows the control hosts: the leader while it answers, otherwise one near by. */
export class ControlFollower extends RatePoolClient {
	private readonly startId = randomUUID();
	private readonly suspectUntilMs = new Map<string, number>();
	/** Control hosts that did not answer the last poll. */
	private readonly silent = new Set<string>();
	private leaderId: string | undefined;
	/** Entry hosts that the leader hears. */
	private hostCount = 1;
	private lastAnswerMs = Number.NEGATIVE_INFINITY;
	private readonly askedMs = new Map<string, number>();
	private readonly borrows = new BorrowBatches(async loans => this.askForLoans(loans));

	constructor(private readonly opts: ControlFollowerOptions) {
		super();
	}

	/** Age of what this host knows. */
	getAgeMs(): number {
		return this.opts.clock.now() - this.lastAnswerMs;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const controlId = this.pick();
			const sentMs = this.opts.clock.now();
			const isAnswered = controlId !== undefined && await this.poll(controlId);
			const gapMs = isAnswered ? getSyncGapMs(this.hostCount) : SYNC_RETRY_MS;
			await this.opts.clock.sleep(Math.max(SYNC_GAP_MS, sentMs + gapMs - this.opts.clock.now()), signal);
		}
	}

	/** Tells the leader of an adapter that a request needs now; resolves with the engine that holds it then. */
	async want(service: string, model: string, adapter: string): Promise<string | undefined> {
		if (this.leaderId === undefined) {
			return undefined;
		}

		// A lost message is repeated by the requests that still wait.
		const answer = await this.opts.peers.call(this.leaderId, wantMethod, {service, model, adapter});
		return answer.isOk ? answer.value.targetId : undefined;
	}

	override async borrow(name: string, cost: number): Promise<RateDecision | undefined> {
		return this.borrows.borrow({customer: name, cost});
	}

	private async askForLoans(loans: readonly RateLoan[]): Promise<readonly RateDecision[] | undefined> {
		if (this.leaderId === undefined || this.silent.has(this.leaderId)) {
			return undefined;
		}

		const answer = await this.opts.peers.call(this.leaderId, borrowMethod, {loans: [...loans]}, BORROW_ANSWER_MS);
		return answer.isOk ? answer.value.answers : undefined;
	}

	private pick(): string | undefined {
		const nowMs = this.opts.clock.now();
		return pickControl({
			hosts: this.opts.peers.getOthers(),
			leaderId: this.leaderId,
			zone: this.opts.zone,
			isTrusted: id => (this.suspectUntilMs.get(id) ?? 0) <= nowMs,
			getAskedMs: id => this.askedMs.get(id),
		});
	}

	private async poll(controlId: string): Promise<boolean> {
		const {clock, hostId, logger, peers, sink} = this.opts;
		const {configVersion, registry} = sink.getKnown();
		const sentMs = clock.now();
		this.askedMs.set(controlId, sentMs);
		const answer = await peers.call(controlId, syncMethod, {
			report: {...sink.createReport(), hostId, startId: this.startId}, configVersion, registry, waitMs: SYNC_WAIT_MS,
		}, SYNC_WAIT_MS + SYNC_ANSWER_MS);
		if (answer.isErr) {
			this.suspectUntilMs.set(controlId, clock.now() + CONTROL_SUSPECT_MS);
			if (!this.silent.has(controlId)) {
				this.silent.add(controlId);
				logger.warn({peer: controlId, reason: answer.error.message, ageMs: Math.round(this.getAgeMs())}, 'A control host does not answer.');
			}

			return false;
		}

		if (this.silent.delete(controlId)) {
			logger.info({peer: controlId}, 'A control host answers again.');
		}

		this.lastAnswerMs = clock.now();
		this.take(answer.value, controlId, sentMs);
		return true;
	}

	private take({leaderId: namedId, controls, config, zonesOut, registry, plan}: SyncResponse, controlId: string, sentMs: number): void {
		const {logger, peers, sink} = this.opts;
		// A host that names itself and has no plan has lost its lease; what it knows may be old.
		const leaderId = namedId === controlId && !plan ? undefined : namedId;
		if (leaderId !== this.leaderId) {
			logger.info({leaderId, from: controlId}, 'The leader has changed.');
			this.leaderId = leaderId;
		}

		peers.setKnownHosts(controls);
		if (config) {
			sink.takeConfig(config);
		}

		sink.takeTargets(registry, zonesOut);
		if (plan) {
			this.hostCount = plan.rates.hostCount;
			sink.takePlan(plan, sentMs);
		}
	}
}
