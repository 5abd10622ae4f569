import {
	CLOCK_DRIFT_RATIO, type Clock, jitter, type Logger, type Random, Signal,
} from '@egretrill/common';
import {
	FOLLOW_RESPONSE_MARGIN_MS, FOLLOW_RETRY_MS, FOLLOW_MAX_AGE_MS, FOLLOW_WAIT_MS, RETAINED_CHANGES,
} from '../constants.js';
import {applyConfigUpdate} from '../fleet-state-changes.js';
import type {PeerClient} from '../transport/index.js';
import type {ConfigChange, ConfigUpdate, FleetConfig} from '../types.js';
import {VersionedConfigSource, type VersionedConfig} from './versioned-config-source.js';
import {followMethod} from './follow-method.js';
import type {InForceReports} from './in-force-reports.js';
import type {FollowResponse} from './types.js';

export type ConfigFollowerOptions = {
	readonly hostId: string;
	readonly fleet: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly reports: InForceReports;
	/** Joins evidence on what ends targets; returns whether any of it is new. */
	readonly joinCrashes: (records: readonly unknown[]) => boolean;
	/** Hosts to follow, the preferred one first. */
	readonly getParents: () => readonly PeerClient[];
};

/** Follows the configuration through a parent in the distribution tree. */
export class ConfigFollower extends VersionedConfigSource {
	override readonly changed = new Signal();
	private config: FleetConfig = {version: 0, digest: '', author: ''};
	private changes: readonly ConfigChange[] = [];
	private confirmedMs = Number.NEGATIVE_INFINITY;
	private leaderId: string | undefined;
	private via: readonly string[] = [];
	private lastParent: string | undefined;
	private lastPreferredParent: string | undefined;
	private failedPolls = 0;

	constructor(private readonly opts: ConfigFollowerOptions) {
		super();
	}

	override getConfig(): VersionedConfig | undefined {
		// Until the leader has confirmed the configuration once, it may be older than what this host served before its restart.
		if (!Number.isFinite(this.confirmedMs)) {
			return undefined;
		}

		const {document, ...metadata} = this.config;
		return document && {...metadata, document};
	}

	override getUpdateSince(version: number): ConfigUpdate {
		const changes = this.changes.filter(change => change.version > version);
		return changes[0]?.version === version + 1 ? {kind: 'changes', changes} : {kind: 'snapshot', config: this.config};
	}

	override getAgeMs(): number {
		return this.opts.clock.now() - this.confirmedMs;
	}

	override getVia(): readonly string[] {
		return this.via;
	}

	override getLeaderId(): string | undefined {
		return this.leaderId;
	}

	/** Polls parents until the signal aborts; after a failed poll it tries the next parent. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.opts;
		while (!signal.aborted) {
			const parent = this.chooseParent();
			if (!parent || !await this.poll(parent)) {
				this.failedPolls += 1;
				this.lastParent = undefined;
				await clock.sleep(jitter(FOLLOW_RETRY_MS, random), signal);
			}
		}
	}

	private chooseParent(): PeerClient | undefined {
		const parents = this.opts.getParents();
		const preferredParent = parents[0]?.address;
		if (preferredParent !== this.lastPreferredParent) {
			// The failure count selects the parent, so failures of previous parents must not skip a newly elected leader.
			this.lastPreferredParent = preferredParent;
			this.failedPolls = 0;
		}

		return parents[this.failedPolls % Math.max(1, parents.length)];
	}

	private async poll(parent: PeerClient): Promise<boolean> {
		const {clock, hostId, fleet, reports, logger} = this.opts;
		const isNewParent = parent.address !== this.lastParent;
		if (isNewParent) {
			// A new parent, or one that restarted, has not received the reports of this subtree.
			this.lastParent = parent.address;
			reports.requeueAll();
		}

		// Leases are measured from before the poll was sent, so that network delay never extends them.
		const sentMs = clock.now();
		const answer = await parent.call(followMethod, {
			// A new parent has to answer immediately, since this host's configuration has aged since the last answer.
			hostId, fleet, haveVersion: this.config.version, waitMs: isNewParent ? 0 : FOLLOW_WAIT_MS, inForce: reports.drainUnsent(),
		}, FOLLOW_WAIT_MS + FOLLOW_RESPONSE_MARGIN_MS);
		if (answer.isErr) {
			logger.debug({parent: parent.address, err: answer.error}, 'A follow poll failed.');
			return false;
		}

		return this.acceptResponse(answer.value, sentMs);
	}

	/** Applies a parent's answer. It contains both the configuration and its age, so a lease is never renewed without the changes. */
	private acceptResponse(answer: FollowResponse, sentMs: number): boolean {
		// A parent that lags behind must not revert this host to an older version.
		if (answer.version < this.config.version) {
			return false;
		}

		if (answer.version > this.config.version && !this.applyUpdate(answer)) {
			return false;
		}

		// Hosts that follow each other in a loop receive no updates, and a parent without recent contact to the leader is stale.
		const isLoop = (answer.via ?? []).includes(this.opts.hostId);
		if (isLoop || answer.ageMs > FOLLOW_MAX_AGE_MS) {
			return false;
		}

		this.leaderId = answer.leaderId;
		this.via = answer.via ?? [];
		if (this.opts.joinCrashes(answer.crashes ?? [])) {
			this.changed.notify();
		}

		// The parent created the answer at least this long after the poll was sent, even if its clock drifts.
		const answeredMs = sentMs + (answer.heldMs * (1 - CLOCK_DRIFT_RATIO));
		const isFirst = !Number.isFinite(this.confirmedMs);
		this.confirmedMs = Math.max(this.confirmedMs, answeredMs - answer.ageMs);
		if (isFirst) {
			this.changed.notify();
		}

		return true;
	}

	private applyUpdate({version, update}: FollowResponse): boolean {
		const config = update && applyConfigUpdate(this.config, update);
		if (config?.version !== version) {
			return false;
		}

		this.config = config;
		this.changes = update?.kind === 'changes' ? [...this.changes, ...update.changes].slice(-RETAINED_CHANGES) : [];
		this.opts.logger.info({version}, 'Configuration in force.');
		this.opts.reports.record(this.opts.hostId, version);
		this.changed.notify();
		return true;
	}
}
