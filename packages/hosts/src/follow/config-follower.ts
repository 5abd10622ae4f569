import {
	type Clock, jitter, type Logger, type Random, Signal,
} from '@egretrill/common';
import {FOLLOW_RETRY_MS, FOLLOW_WAIT_MS, PEER_CALL_DEADLINE_MS} from '../constants.js';
import type {PeerClient} from '../transport/index.js';
import {ConfigOrigin, type VersionedConfig} from './config-origin.js';
import {followMethod} from './follow-method.js';
import type {InForceReports} from './in-force.js';
import type {FollowResponse} from './types.js';

export type ConfigFollowerOptions = {
	readonly hostId: string;
	readonly fleet: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly reports: InForceReports;
	/** Hosts to follow, the preferred one first. */
	readonly getParents: () => readonly PeerClient[];
};

/** Follows the configuration through a parent in the tree. */
export class ConfigFollower extends ConfigOrigin {
	override readonly changed = new Signal();
	private config: VersionedConfig | undefined;
	private confirmedMs = Number.NEGATIVE_INFINITY;
	private leaderId: string | undefined;
	private failures = 0;

	constructor(private readonly opts: ConfigFollowerOptions) {
		super();
	}

	override getConfig(): VersionedConfig | undefined {
		return this.config;
	}

	override getAgeMs(): number {
		return this.opts.clock.now() - this.confirmedMs;
	}

	override getLeaderId(): string | undefined {
		return this.leaderId;
	}

	/** Polls one parent after another until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.opts;
		while (!signal.aborted) {
			const parents = this.opts.getParents();
			const parent = parents[this.failures % Math.max(1, parents.length)];
			if (!parent || !await this.poll(parent)) {
				this.failures += 1;
				this.opts.reports.restore();
				await clock.sleep(jitter(FOLLOW_RETRY_MS, random), signal);
			}
		}
	}

	private async poll(parent: PeerClient): Promise<boolean> {
		const {clock, hostId, fleet, reports, logger} = this.opts;
		// The lease counts from before the poll was sent, so that time on the way never lengthens it.
		const sentMs = clock.now();
		const answer = await parent.call(followMethod, {
			hostId, fleet, haveVersion: this.config?.version ?? 0, waitMs: FOLLOW_WAIT_MS, inForce: reports.takeUnsent(),
		}, FOLLOW_WAIT_MS + PEER_CALL_DEADLINE_MS);
		if (answer.isErr) {
			logger.debug({parent: parent.address, err: answer.error}, 'A follow poll failed.');
			return false;
		}

		return this.accept(answer.value, sentMs);
	}

	/** Takes a parent's answer; knowledge and its age come together, so a lease is never renewed without the changes. */
	private accept(answer: FollowResponse, sentMs: number): boolean {
		const haveVersion = this.config?.version ?? 0;
		if (answer.version < haveVersion) {
			// A parent that lags behind may not turn this host back.
			return false;
		}

		if (answer.version > haveVersion) {
			if (!answer.document || answer.digest === undefined) {
				return false;
			}

			this.config = {version: answer.version, digest: answer.digest, document: answer.document};
			this.opts.logger.info({version: answer.version}, 'Configuration in force.');
			this.opts.reports.record(this.opts.hostId, answer.version);
			this.changed.notify();
		}

		this.leaderId = answer.leaderId;
		this.confirmedMs = Math.max(this.confirmedMs, sentMs - answer.ageMs);
		return true;
	}
}
