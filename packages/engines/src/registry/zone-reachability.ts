import type {Clock, Registration} from '@egretrill/common';
import {SUSPECT_MS, SUSPECT_ZONE_MIN_TARGETS} from './constants.js';

type Unreachable = {readonly targetIds: ReadonlySet<string>; readonly updatedMs: number};

/** Tracks unreachable targets by zone. Several of them indicate a partition of the zone; the first answer from it clears them. */
export class ZoneReachability {
	private readonly unreachable = new Map<string, Unreachable>();

	constructor(private readonly clock: Clock) {}

	recordUnreachable({targetId, zone}: Registration): void {
		const known = this.unreachable.get(zone)?.targetIds ?? [];
		this.unreachable.set(zone, {targetIds: new Set([...known, targetId]), updatedMs: this.clock.now()});
	}

	recordAnswer({zone}: Registration): void {
		this.unreachable.delete(zone);
	}

	isSuspected(zone: string): boolean {
		const known = this.unreachable.get(zone);
		return known !== undefined && known.targetIds.size >= SUSPECT_ZONE_MIN_TARGETS && this.clock.now() - known.updatedMs < SUSPECT_MS;
	}
}
