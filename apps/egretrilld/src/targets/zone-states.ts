import type {ConfigSource} from '@egretrill/callers';
import type {Clock, Zone} from '@egretrill/common';
import type {ZoneCondition, ZoneConditions} from '@egretrill/engines';
import {REGION_DISTANCE_MS, ZONE_DISTANCE_MS} from '../constants.js';

/** Follows the zone states of the configuration and times the ramp of a zone that returns. */
export class ZoneStates {
	private readonly returnedMs = new Map<string, number>();
	private readonly wasTakenOut = new Set<string>();

	constructor(private readonly clock: Clock, private readonly config: ConfigSource, private readonly here: {readonly zone: string; readonly region: string}) {}

	getConditions(): ZoneConditions {
		const zones = this.config.getIndex()?.document.zones ?? [];
		return Object.fromEntries(zones.map(zone => [zone.id, this.getCondition(zone)]));
	}

	private getDistanceMs({id, region}: Zone): number {
		if (region !== this.here.region) {
			return REGION_DISTANCE_MS;
		}

		return id === this.here.zone ? 0 : ZONE_DISTANCE_MS;
	}

	private getCondition(entry: Zone): ZoneCondition {
		const zone = entry.id;
		const distanceMs = this.getDistanceMs(entry);
		if (entry.state === 'taken-out') {
			this.wasTakenOut.add(zone);
			this.returnedMs.delete(zone);
			return {state: 'taken-out'};
		}

		if (this.wasTakenOut.delete(zone)) {
			this.returnedMs.set(zone, this.clock.now());
		}

		const returnedMs = this.returnedMs.get(zone);
		return returnedMs === undefined ? {state: 'in-service', distanceMs} : {state: 'returning', sinceMs: this.clock.now() - returnedMs, distanceMs};
	}
}
