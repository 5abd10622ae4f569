import {type Clock, Signal} from '@egretrill/common';
import {DUTY_CHECK_MS} from '../constants.js';
import type {FleetState} from '../fleet-state.js';
import {type ConfigFollower, ConfigOrigin, type VersionedConfig} from '../follow/index.js';
import type {FleetNode} from './fleet-log.js';

export type FleetOriginOptions = {
	readonly clock: Clock;
	readonly node: FleetNode;
	readonly state: FleetState;
	readonly follower: ConfigFollower;
};

/** The configuration on a host that keeps the log: from its own state while it leads, otherwise through the leader. */
export class FleetOrigin extends ConfigOrigin {
	override readonly changed = new Signal();

	constructor(private readonly opts: FleetOriginOptions) {
		super();
	}

	/** Forwards notifications of both sources until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, follower} = this.opts;
		let seen = 0;
		while (!signal.aborted) {
			const version = this.getConfig()?.version ?? 0;
			if (version !== seen) {
				seen = version;
				this.changed.notify();
			}

			await follower.changed.wait(clock, DUTY_CHECK_MS, signal);
		}
	}

	override getConfig(): VersionedConfig | undefined {
		const {version, digest, document} = this.opts.state.getConfig();
		const followed = this.opts.follower.getConfig();
		// What this member has applied is committed, so the higher version is always an accepted one.
		if (!document || (followed && followed.version >= version)) {
			return followed;
		}

		return {version, digest, document};
	}

	override getAgeMs(): number {
		const {node, follower} = this.opts;
		return node.isLeaderWithLease() ? node.leaseAgeMs() : follower.getAgeMs();
	}

	override getLeaderId(): string | undefined {
		return this.opts.node.status().leaderId ?? this.opts.follower.getLeaderId();
	}
}
