import {randomUUID} from 'node:crypto';
import type {Metrics} from '@egretrill/balancer';
import {
	CrashExchange, CrashGate, CrashReporter, CrashTracker, type TargetEnd, TargetEnds,
} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {BlockLog} from './block-log.js';
import type {ControlFollower} from './control-follower.js';
import {FollowerCrashTransport} from './follower-crash-transport.js';
import {HttpTargetProbe} from './http-target-probe.js';

export type HostCrashesOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly follower: Pick<ControlFollower, 'sendCrashes' | 'getIntervalMs'>;
	readonly onTargetEnd: (end: TargetEnd) => void;
};

/** What an entry host knows of the ends of targets, and the tasks that pass it on and log it. */
export class HostCrashes {
	readonly tracker: CrashTracker;
	readonly gate: CrashGate;
	readonly exchange: CrashExchange;
	readonly targetEnds: TargetEnds;
	private readonly reporter: CrashReporter;
	private readonly blockLog: BlockLog;

	constructor({clock, logger, metrics, follower, onTargetEnd}: HostCrashesOptions) {
		const crashes = new CrashTracker(clock, randomUUID());
		this.tracker = crashes;
		this.gate = new CrashGate(clock, crashes);
		this.exchange = new CrashExchange(crashes, this.gate);
		this.targetEnds = new TargetEnds({clock, probe: new HttpTargetProbe(), onEnd: onTargetEnd});
		this.reporter = new CrashReporter({
			clock, crashes, exchange: this.exchange, transport: new FollowerCrashTransport(follower), getIntervalMs: () => follower.getIntervalMs(),
		});
		this.blockLog = new BlockLog({
			clock, logger, metrics, crashes,
		});
	}

	/** Reports evidence and logs blocks until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.reporter.run(signal), this.blockLog.run(signal)]);
	}
}
