import {type Clock, Signal} from '@egretrill/common';
import {LEADER_STATE_CHECK_MS} from '../constants.js';
import type {FleetState} from '../fleet-state.js';
import {
	type ConfigFollower, VersionedConfigSource, type VersionedConfig,
} from '../follow/index.js';
import type {ConfigUpdate} from '../types.js';
import type {FleetNode} from './fleet-log.js';

export type FleetConfigSourceOptions = {
	readonly clock: Clock;
	readonly node: FleetNode;
	readonly state: FleetState;
	readonly follower: ConfigFollower;
};

/** Configuration source of a member of the log: its own state or the configuration that it follows, whichever is newer. */
export class FleetConfigSource extends VersionedConfigSource {
	override readonly changed = new Signal();
	private lastForwardedVersion = 0;

	constructor(private readonly opts: FleetConfigSourceOptions) {
		super();
	}

	/** Forwards changes of the log and the follower until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.opts.follower.changed, this.opts.node.changed].map(async source => this.forward(source, signal)));
	}

	override getConfig(): VersionedConfig | undefined {
		const {document, ...metadata} = this.opts.state.getConfig();
		// Applied entries are committed, so whichever version is higher has been accepted.
		return document && this.isStateAhead() ? {...metadata, document} : this.opts.follower.getConfig();
	}

	override getUpdateSince(version: number): ConfigUpdate {
		return this.isStateAhead() ? this.opts.state.getChangesSince(version) : this.opts.follower.getUpdateSince(version);
	}

	override getAgeMs(): number {
		const {node, follower} = this.opts;
		return node.isLeaderWithLease() ? node.leaseAgeMs() : follower.getAgeMs();
	}

	override getVia(): readonly string[] {
		return this.opts.node.isLeaderWithLease() ? [] : this.opts.follower.getVia();
	}

	override getLeaderId(): string | undefined {
		return this.opts.node.status().leaderId ?? this.opts.follower.getLeaderId();
	}

	private async forward(source: Signal, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const version = this.getConfig()?.version ?? 0;
			if (version !== this.lastForwardedVersion) {
				this.lastForwardedVersion = version;
				this.changed.notify();
			}

			await source.wait(this.opts.clock, LEADER_STATE_CHECK_MS, signal);
		}
	}

	private isStateAhead(): boolean {
		const {node, state, follower} = this.opts;
		// After a restart the state is that of the snapshot, which is older than versions that this host served from later entries.
		return node.hasReplayed() && state.getConfig().version >= (follower.getConfig()?.version ?? 0);
	}
}
