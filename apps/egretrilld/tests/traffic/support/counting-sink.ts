import type {TrafficSource} from '@egretrill/common';
import {type HostReport, SyncSink} from '../../../src/traffic/index.js';

/** A sink of an idle host that counts the plans it is given and keeps nothing else. */
export class CountingSink extends SyncSink {
	plans = 0;
	readonly hostCounts: number[] = [];

	override createReport(): HostReport {
		return {
			running: [], adapters: [], arrivals: [], waiting: [], rates: {ackedSerial: 0, standing: 0, demand: []},
		};
	}

	override getKnownVersions(): ReturnType<SyncSink['getKnownVersions']> {
		return {configVersion: 1, registry: {origin: 'o', revision: 1}};
	}

	override applyCrashes(): void {
		this.plans += 0;
	}

	override applyConfig(_config: TrafficSource): void {
		throw new Error('No configuration is sent.');
	}

	override applyTargets(): void {
		this.plans += 0;
	}

	override applyHostCount(count: number): void {
		this.hostCounts.push(count);
	}

	override applyConfirmation(): void {
		// Leases on keys are tested on their own.
	}

	override applyPlan(): void {
		this.plans += 1;
	}
}
