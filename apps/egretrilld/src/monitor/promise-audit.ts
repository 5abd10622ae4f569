import type {BucketStatus, ConfigSource, SendEvent} from '@egretrill/callers';
import type {Verdict} from '@egretrill/common';
import type {TargetDirectory} from '@egretrill/engines';
import type {PromiseCounters, PromiseId} from '@egretrill/monitor';
import type {DrainReport} from '@egretrill/balancer';
import {canHostModel, getCopyMemoryMb} from './copy-memory.js';

export type PromiseAuditOptions = {
	readonly counters: PromiseCounters;
	readonly config: ConfigSource;
	readonly directory: TargetDirectory;
};

/** Token and request counts are sums of fractions, so equal amounts may differ by rounding errors. */
const ROUNDING_TOLERANCE = 1e-6;

/** Checks this host's actions against the promises, independently of the code that decides them, and counts promises held and broken. */
export class PromiseAudit {
	/** Number of attempts by id of each request of which any byte may have been sent. */
	private readonly attemptCounts = new Map<string, number>();
	private version = 0;

	constructor(private readonly opts: PromiseAuditOptions) {}

	/** Checks a request when it is written to a target. */
	checkSend(send: SendEvent): void {
		const attempts = this.attemptCounts.get(send.requestId) ?? 0;
		this.attemptCounts.set(send.requestId, attempts + 1);
		this.checkIdentity(send);
		if (!send.isIdempotent) {
			this.count('P9', attempts === 0, `request ${send.requestId} was written again`);
		}

		if (!send.isResume) {
			this.checkTarget(send);
		}
	}

	/** Reverts a recorded send of which no byte was sent. */
	recordUnsent(requestId: string): void {
		const attempts = this.attemptCounts.get(requestId) ?? 0;
		if (attempts > 1) {
			this.attemptCounts.set(requestId, attempts - 1);
		} else {
			this.attemptCounts.delete(requestId);
		}
	}

	/** Checks the outcome of a request against what was sent. */
	checkEnd(requestId: string, outcome: 'completed' | 'cancelled' | Verdict): void {
		if (outcome === 'completed') {
			this.count('P7', true, '');
		} else if (outcome !== 'cancelled' && outcome.run === 'not-run') {
			this.count('P8', !this.attemptCounts.has(requestId), `request ${requestId} was refused with ${outcome.code} after it was written`);
		}

		this.attemptCounts.delete(requestId);
	}

	/** Checks the version of a configuration that is put into force on this host. */
	checkVersion(version: number): void {
		this.count('P12', version >= this.version, `version ${version} followed ${this.version}`);
		this.version = Math.max(version, this.version);
	}

	/** Checks the buckets after a grant; only the leader owns them. */
	checkBuckets(buckets: readonly BucketStatus[]): void {
		for (const {customer, level, outstanding} of buckets) {
			const rate = this.opts.config.getIndex()?.customers.get(customer)?.rate;
			if (rate) {
				// After an operator lowers the burst, outstanding shares may exceed it; the bucket itself must then be empty.
				const areTokensWithinBurst = level.tokens <= ROUNDING_TOLERANCE || level.tokens + outstanding.tokens <= rate.burstTokens + ROUNDING_TOLERANCE;
				const areRequestsWithinBurst = level.requests <= ROUNDING_TOLERANCE || level.requests + outstanding.requests <= rate.burstRequests + ROUNDING_TOLERANCE;
				this.count('P4', areTokensWithinBurst && areRequestsWithinBurst, `customer ${customer} could get more than its burst`);
			}
		}
	}

	/** Checks the memory use that the targets of a zone report, and that each model is resident somewhere or fits a target. */
	checkPlacement(zone: string): void {
		const index = this.opts.config.getIndex();
		const engines = this.opts.directory.getTargets().map(({entry}) => entry).filter(({kind}) => kind === 'engine');
		if (!index || engines.length === 0) {
			return;
		}

		for (const {targetId, memoryMb, resident} of engines.filter(entry => entry.zone === zone)) {
			const usedMb = resident.reduce((sum, copy) => sum + getCopyMemoryMb(copy, index.models), 0);
			this.count('P1', usedMb <= memoryMb, `target ${targetId} holds ${usedMb} of ${memoryMb} MB`);
		}

		for (const model of index.models.values()) {
			const isReachable = engines.some(engine => canHostModel(engine, model));
			this.count('P2', isReachable, `no target holds model ${model.id} or could hold it`);
		}
	}

	/** Checks that a planned stop left no work unfinished. */
	checkStop({outcome, left}: DrainReport): void {
		this.count('P11', left.length === 0, `${outcome}: ${left.map(({kind, count}) => `${count} ${kind}`).join(', ')} left`);
	}

	private checkIdentity({requestId, customer, keyDigest}: SendEvent): void {
		const index = this.opts.config.getIndex();
		if (keyDigest === undefined || !index) {
			return;
		}

		const key = index.keysByDigest.get(keyDigest);
		const leaseMs = index.customers.get(key?.customer ?? '')?.keyLeaseMs ?? 0;
		const isAllowed = key?.state === 'active' && key.customer === customer && this.opts.config.getAgeMs() <= leaseMs;
		this.count('P3', isAllowed, `request ${requestId} was written for ${customer ?? 'nobody'} with key ${key?.id ?? 'unknown'}`);
	}

	private checkTarget({requestId, targetId, startId, hasPermit}: SendEvent): void {
		const entry = this.opts.directory.getEntry(targetId, startId);
		const state = this.opts.config.getIndex()?.zones.get(entry?.zone ?? '')?.state;
		this.count('P6', state !== 'taken-out', `request ${requestId} was written to zone ${entry?.zone ?? ''}, which is taken out`);
		this.count('P10', entry?.leaving !== true, `request ${requestId} was written to ${targetId}, which is leaving`);
		if (entry?.kind === 'engine' && !entry.warmth.warm) {
			this.count('P5', hasPermit, `request ${requestId} was written to cold ${targetId} without a permit`);
		}
	}

	private count(promise: PromiseId, isHeld: boolean, breachDescription: string): void {
		if (isHeld) {
			this.opts.counters.countHeld(promise);
		} else {
			this.opts.counters.countBreach(promise, breachDescription);
		}
	}
}
