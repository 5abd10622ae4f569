import {MEAN_SERVICE_MS, type PlannedTarget, type TargetDirectory} from '@egretrill/engines';

/** Targets of other zones as input for placement: their copies are counted, but this zone's owner sends them no orders. */
export function getRemoteTargets(directory: TargetDirectory, zone: string): readonly PlannedTarget[] {
	return directory.getTargets()
		.filter(({entry}) => entry.zone !== zone && entry.kind === 'engine')
		.map(({entry, ageMs}) => ({
			targetId: entry.targetId,
			zone: entry.zone,
			orderable: false,
			memoryMb: entry.memoryMb,
			freeMb: 0,
			capacityPerS: entry.load.limit * 1000 / MEAN_SERVICE_MS,
			role: entry.role,
			roleAgeMs: ageMs,
			busy: false,
			leaving: entry.leaving,
			copies: entry.resident.map(copy => ({...copy, ageMs, idleMs: 0})),
			loading: [],
		}));
}
