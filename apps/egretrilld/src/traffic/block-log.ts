import type {Metrics} from '@egretrill/balancer';
import type {CrashTracker} from '@egretrill/callers';
import type {Clock, Logger} from '@egretrill/common';
import {sanitizeName} from './describe-answer.js';

/** Interval at which blocks are checked when no evidence changes: a block becomes due, and its evidence expires, with time alone. */
const BLOCK_CHECK_INTERVAL_MS = 250;

export type BlockLogOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly crashes: CrashTracker;
};

/** Writes a line when this host begins or ends to refuse requests with a key. */
export class BlockLog {
	private blocked: ReadonlySet<string> = new Set();
	private readonly changes;

	constructor(private readonly opts: BlockLogOptions) {
		this.changes = opts.metrics.createCounter({name: 'egretrill_key_blocks_total', help: 'Blocks of keys under which targets ended.', labels: ['change']});
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, crashes} = this.opts;
		while (!signal.aborted) {
			await crashes.changed.wait(clock, BLOCK_CHECK_INTERVAL_MS, signal);
			this.record();
		}
	}

	private record(): void {
		const {crashes, logger} = this.opts;
		const blocked = new Set(crashes.listBlocked());
		for (const key of [...blocked].filter(other => !this.blocked.has(other))) {
			this.changes.add(1, {change: 'begun'});
			logger.warn({key: sanitizeName(key), ...crashes.describe(key)}, 'Requests with a key are refused, since targets ended under it.');
		}

		for (const key of [...this.blocked].filter(other => !blocked.has(other))) {
			this.changes.add(1, {change: 'ended'});
			logger.info({key: sanitizeName(key), ...crashes.describe(key)}, 'Requests with a key are served again.');
		}

		this.blocked = blocked;
	}
}
