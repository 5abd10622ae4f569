import {MEAN_SERVICE_MS, type PlannedTarget, type TargetDirectory} from '@egretrill/engines';

/** The targets of other zones as placement sees them: their copies count, but they take no orders from here. */
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
