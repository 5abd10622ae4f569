import {
	GAIN_HORIZON_MS, MIN_RESIDENCE_MS, MIN_UNSERVED_RATIO, PENDING_RELOCATION_RATIO,
} from './constants.js';
import type {
	CopyState, Evictions, FleetState, ModelState, TargetState,
} from './fleet-state.js';

/** The only copy of a model, which can be evicted for another model once it has been loaded on `target` as well. Gain and cost are numbers of requests within the planning horizon. */
export type Relocation = {
	readonly copy: CopyState & {readonly model: ModelState};
	readonly target: TargetState;
	readonly evictions: Evictions;
	readonly gain: number;
	readonly cost: number;
};

function isMovable(fleet: FleetState, copy: CopyState): copy is Relocation['copy'] {
	return copy.model !== undefined && !copy.isLoading && copy.ageMs >= MIN_RESIDENCE_MS && copy.model.copies.length === 1 && !fleet.isPinned(copy.modelId, copy.target);
}

/** Returns whether an earlier relocation is about to free memory for a large part of the model's unserved demand. */
export function isMemoryBeingFreed(fleet: FleetState, model: ModelState, unservedPerS: number, candidates: readonly TargetState[]): boolean {
	const spareTargets = candidates.filter(target => fleet.getSpareCapacityPerS(target) >= unservedPerS * PENDING_RELOCATION_RATIO);
	return spareTargets.some(target => target.copies.some(copy => !copy.isLoading && target.freeMb + copy.sizeMb >= model.sizeMb && (copy.model?.copies ?? []).some(other => other.isLoading)));
}

type Destination = {readonly target: TargetState; readonly evictions: Evictions; readonly lossPerS: number};

/** Finds the target where the copy costs least; the cost of a busy target includes the part of the copy's load that it cannot serve. */
function findDestination(fleet: FleetState, copy: Relocation['copy']): Destination | undefined {
	let best: Destination | undefined;
	for (const target of fleet.targets) {
		if (target === copy.target || !fleet.isAvailable(target) || fleet.isForbidden(copy.modelId, target)) {
			continue;
		}

		const evictions = fleet.findEvictions(target, copy.sizeMb, false);
		const lossPerS = (evictions?.lossPerS ?? 0) + Math.max(0, copy.model.ratePerS - fleet.getSpareCapacityPerS(target));
		if (evictions !== undefined && (best === undefined || lossPerS < best.lossPerS)) {
			best = {target, evictions, lossPerS};
		}

		if (best?.lossPerS === 0 && best.evictions.copies.length === 0) {
			return best;
		}
	}

	return best;
}

/** Finds the copy whose relocation gains the most for the model, among targets with spare capacity. */
export function findRelocation(fleet: FleetState, model: ModelState, unservedPerS: number, candidates: readonly TargetState[]): Relocation | undefined {
	const horizonS = GAIN_HORIZON_MS / 1000;
	const loadS = fleet.input.loadMs / 1000;
	let best: Relocation | undefined;
	for (const source of candidates) {
		const copy = source.copies
			.filter(other => isMovable(fleet, other))
			.filter(({sizeMb}) => source.freeMb + sizeMb >= model.sizeMb)
			.sort((a, b) => a.model.ratePerS - b.model.ratePerS)
			.at(0);
		const gainPerS = Math.min(unservedPerS, fleet.getSpareCapacityPerS(source, copy?.model.ratePerS));
		const gain = gainPerS * Math.max(0, horizonS - (2 * loadS));
		const slotCost = 2 * source.planned.capacityPerS * MIN_UNSERVED_RATIO * loadS;
		if (copy === undefined || (best !== undefined && gain - slotCost <= best.gain - best.cost)) {
			continue;
		}

		const destination = findDestination(fleet, copy);
		const cost = slotCost + ((destination?.lossPerS ?? 0) * horizonS) + (destination?.evictions.reloadCost ?? 0);
		if (destination !== undefined && (best === undefined || gain - cost > best.gain - best.cost)) {
			best = {
				copy, target: destination.target, evictions: destination.evictions, gain, cost,
			};
		}
	}

	return best;
}
