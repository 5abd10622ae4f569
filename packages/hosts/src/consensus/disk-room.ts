import type {Clock, Logger} from '@egretrill/common';
import {NoSpaceError} from '@egretrill/disk';
import {NO_SPACE_RETRY_MS} from '../constants.js';

/** Runs writes that take room on the disk. While it is full, a write is tried only now and then; changes are logged. */
export class DiskRoom {
	private fullSinceMs: number | undefined;
	private lastTryMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly content: 'log' | 'snapshots', private readonly opts: {readonly clock: Clock; readonly logger?: Logger}) {}

	/** Time until the next write is tried; 0 while the disk has room. */
	getRetryDelayMs(): number {
		return this.fullSinceMs === undefined ? 0 : Math.max(0, this.lastTryMs + NO_SPACE_RETRY_MS - this.opts.clock.now());
	}

	/** Runs a write; throws a NoSpaceError if the disk has no room for it or was full a moment ago. */
	async write<T>(task: () => Promise<T>): Promise<T> {
		if (this.getRetryDelayMs() > 0) {
			throw new NoSpaceError('The disk had no room a moment ago.');
		}

		try {
			const result = await task();
			this.recordRoom();
			return result;
		} catch (err: unknown) {
			if (err instanceof NoSpaceError) {
				this.recordFull(err);
			}

			throw err;
		}
	}

	private recordFull(err: NoSpaceError): void {
		const {clock, logger} = this.opts;
		this.lastTryMs = clock.now();
		if (this.fullSinceMs === undefined) {
			this.fullSinceMs = this.lastTryMs;
			logger?.warn({content: this.content, reason: err.message}, 'The disk is full; the member waits until it has room.');
		}
	}

	private recordRoom(): void {
		const {clock, logger} = this.opts;
		if (this.fullSinceMs !== undefined) {
			logger?.info({content: this.content, ms: Math.round(clock.now() - this.fullSinceMs)}, 'The disk has room again.');
			this.fullSinceMs = undefined;
		}
	}
}

/** Runs a task that the member can do without for a while; returns false if the disk has no room for it. */
export async function runIfRoom(task: () => Promise<unknown>): Promise<boolean> {
	try {
		await task();
		return true;
	} catch (err: unknown) {
		if (err instanceof NoSpaceError) {
			return false;
		}

		throw err;
	}
}
