import type {EngineClass, Registration, ScalingRange} from '@egretrill/common';
import type {ZoneEngines} from '@egretrill/provider';

export type ZoneEnginesInput = {
	readonly targets: readonly Registration[];
	/** Services whose engines may be ordered. */
	readonly ranges: ReadonlyMap<string, ScalingRange>;
	readonly classes: ReadonlyMap<string, EngineClass>;
	/** Running requests of all hosts at each target. */
	readonly running: ReadonlyMap<string, number>;
	/** Requests of all hosts that wait for a slot, by service. */
	readonly waiting: ReadonlyMap<string, number>;
	readonly zonesOut: readonly string[];
};

type Sums = {readonly service: string; readonly zone: string; live: number; slots: number; running: number};

/** Sums the engines and the demand of each zone; a zone without registered engines, or out of service, is left out. What waits is shared by the zones according to their slots. */
export function listZoneEngines({targets, ranges, classes, running, waiting, zonesOut}: ZoneEnginesInput): ZoneEngines[] {
	const zones = new Map<string, Sums>();
	const serviceSlots = new Map<string, number>();
	for (const {targetId, service, zone, slots, isLeaving} of targets) {
		if (isLeaving || !ranges.has(service) || zonesOut.includes(zone)) {
			continue;
		}

		const key = JSON.stringify([service, zone]);
		const sums = zones.get(key) ?? {
			service, zone, live: 0, slots: 0, running: 0,
		};
		const ownSlots = classes.get(service)?.batchSlots ?? slots;
		sums.live += 1;
		sums.slots += ownSlots;
		sums.running += running.get(targetId) ?? 0;
		zones.set(key, sums);
		serviceSlots.set(service, (serviceSlots.get(service) ?? 0) + ownSlots);
	}

	return [...zones.values()].flatMap(({service, zone, live, slots, running: running_}) => {
		const range = ranges.get(service);
		return range
			? [{
				service, zone, range, live, slotsPerEngine: slots / live, running: running_, waiting: (waiting.get(service) ?? 0) * slots / (serviceSlots.get(service) ?? slots),
			}]
			: [];
	});
}
