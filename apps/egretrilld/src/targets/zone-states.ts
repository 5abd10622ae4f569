import type {ConfigSource} from '@egretrill/callers';
import type {Clock} from '@egretrill/common';
import type {ZoneCondition, ZoneConditions} from '@egretrill/engines';

/** Follows the zone states of the configuration and times the ramp of a zone that returns. */
export class ZoneStates {
	private readonly returnedMs = new Map<string, number>();
	private readonly wasTakenOut = new Set<string>();

	constructor(private readonly clock: Clock, private readonly config: ConfigSource) {}

	getConditions(): ZoneConditions {
		const zones = this.config.getIndex()?.document.zones ?? [];
		return Object.fromEntries(zones.map(zone => [zone.id, this.getCondition(zone.id, zone.state === 'taken-out')]));
	}

	private getCondition(zone: string, isTakenOut: boolean): ZoneCondition {
		if (isTakenOut) {
			this.wasTakenOut.add(zone);
			this.returnedMs.delete(zone);
			return {state: 'taken-out'};
		}

		if (this.wasTakenOut.delete(zone)) {
			this.returnedMs.set(zone, this.clock.now());
		}

		const returnedMs = this.returnedMs.get(zone);
		return returnedMs === undefined ? {state: 'in-service', distanceMs: 0} : {state: 'returning', sinceMs: this.clock.now() - returnedMs, distanceMs: 0};
	}
}
