import type {ConfigSource} from '@egretrill/callers';
import type {Clock, Zone} from '@egretrill/common';
import type {ZoneCondition, ZoneConditions} from '@egretrill/engines';
import {REGION_DISTANCE_MS, ZONE_DISTANCE_MS} from '../constants.js';

/** Derives the condition of each zone from the configuration, including the time since a taken-out zone returned to service. */
export class ZoneStates {
	private readonly returnedAtMs = new Map<string, number>();
	private readonly takenOutZones = new Set<string>();

	constructor(private readonly clock: Clock, private readonly config: ConfigSource, private readonly host: {readonly zone: string; readonly region: string}) {}

	getConditions(): ZoneConditions {
		const zones = this.config.getIndex()?.document.zones ?? [];
		return Object.fromEntries(zones.map(zone => [zone.id, this.getCondition(zone)]));
	}

	private getDistanceMs({id, region}: Zone): number {
		if (region !== this.host.region) {
			return REGION_DISTANCE_MS;
		}

		return id === this.host.zone ? 0 : ZONE_DISTANCE_MS;
	}

	private getCondition(zone: Zone): ZoneCondition {
		const zoneId = zone.id;
		const distanceMs = this.getDistanceMs(zone);
		if (zone.state === 'taken-out') {
			this.takenOutZones.add(zoneId);
			this.returnedAtMs.delete(zoneId);
			return {state: 'taken-out'};
		}

		if (this.takenOutZones.delete(zoneId)) {
			this.returnedAtMs.set(zoneId, this.clock.now());
		}

		const returnedMs = this.returnedAtMs.get(zoneId);
		return returnedMs === undefined ? {state: 'in-service', distanceMs} : {state: 'returning', sinceMs: this.clock.now() - returnedMs, distanceMs};
	}
}
