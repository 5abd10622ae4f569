import {
	GAIN_HORIZON_MS, HYSTERESIS_RATIO, MAX_CANDIDATE_TARGETS, MAX_MOVES_PER_ROUND, MIN_UNSERVED_RATIO, PARTIAL_GAIN_RATIO,
} from './constants.js';
import {
	type Evictions, FleetState, type ModelState, type TargetState,
} from './fleet-state.js';
import {addBacklog} from './demand.js';
import {PlacementPolicy} from './placement-policy.js';
import {
	planMissingCopies, planPins, planRemovals, planSecondZones, planVersions,
} from './required-moves.js';
import {findRelocation, isMemoryBeingFreed} from './relocation.js';
import {describeEvictions, RoundPlan} from './round-plan.js';
import {planAdapters, planRoles} from './secondary-moves.js';
import type {DemandEstimate, PlanInput, PlanRound} from './types.js';

/** A target for an additional copy. Gain and cost are numbers of requests within the planning horizon. */
type Candidate = {
	readonly target: TargetState;
	readonly evictions: Evictions;
	readonly gain: number;
	readonly cost: number;
};

/** Moves models where the requests that are then answered in time outweigh the cost of the move. */
export class DemandPlacement extends PlacementPolicy {
	get name(): string {
		return 'demand';
	}

	protected readonly hysteresisRatio: number = HYSTERESIS_RATIO;
	protected readonly minUnservedRatio: number = MIN_UNSERVED_RATIO;

	planRound(input: PlanInput): PlanRound {
		const demand = this.getDemand(input);
		const plan = new RoundPlan(new FleetState(input, demand));
		planRemovals(plan);
		planPins(plan);
		planMissingCopies(plan);
		planVersions(plan);
		this.planGains(plan);
		planSecondZones(plan);
		planAdapters(plan, demand);
		planRoles(plan);
		return plan.finish();
	}

	/** Returns the demand that the round is planned for. */
	protected getDemand(input: PlanInput): readonly DemandEstimate[] {
		return addBacklog(input.demand, input.waiting);
	}

	private planGains(plan: RoundPlan): void {
		const {fleet} = plan;
		const meanCapacityPerS = fleet.targets.reduce((sum, {planned}) => sum + planned.capacityPerS, 0) / Math.max(1, fleet.targets.length);
		const rejected = new Set<ModelState>();
		for (let count = 0; count < MAX_MOVES_PER_ROUND && plan.loadSlots > 0; count++) {
			const leastServed = this.findLeastServed(fleet, rejected);
			if (leastServed === undefined || leastServed.unservedPerS < meanCapacityPerS * this.minUnservedRatio) {
				return;
			}

			this.planCopy(plan, leastServed.model, leastServed.unservedPerS, rejected);
		}
	}

	private findLeastServed(fleet: FleetState, rejected: ReadonlySet<ModelState>): {readonly model: ModelState; readonly unservedPerS: number} | undefined {
		let leastServed: {readonly model: ModelState; readonly unservedPerS: number} | undefined;
		for (const model of fleet.models.values()) {
			const unservedPerS = rejected.has(model) ? 0 : fleet.getUnservedPerS(model);
			if (unservedPerS > (leastServed?.unservedPerS ?? 0)) {
				leastServed = {model, unservedPerS};
			}
		}

		return leastServed;
	}

	private planCopy(plan: RoundPlan, model: ModelState, unservedPerS: number, rejected: Set<ModelState>): void {
		const candidates = listCandidates(plan.fleet, model, unservedPerS);
		const best = this.findBestTarget(plan.fleet, model, unservedPerS, candidates);
		// A relocation takes two loads, so it is considered only if a direct load would leave most of the demand unserved.
		const isPartial = best === undefined || best.gain < unservedPerS * GAIN_HORIZON_MS / 1000 * PARTIAL_GAIN_RATIO;
		const isMemoryPending = isPartial && isMemoryBeingFreed(plan.fleet, model, unservedPerS, candidates);
		const relocation = isPartial && !isMemoryPending ? findRelocation(plan.fleet, model, unservedPerS, candidates) : undefined;
		if (relocation !== undefined && this.isWorthwhile(relocation) && relocation.gain - relocation.cost > (best?.gain ?? 0) - (best?.cost ?? 0)) {
			rejected.add(model);
			plan.addLoad(relocation.copy.model, relocation.target, relocation.evictions.copies, {
				reason: 'relocation', urgent: true, weighedAgainst: `room for ${model.model.id} on ${relocation.copy.target.planned.targetId}, ${describeGainAndCost(relocation)}`,
			});
			return;
		}

		if (best !== undefined && this.isWorthwhile(best)) {
			plan.addLoad(model, best.target, best.evictions.copies, {reason: 'unserved-demand', urgent: true, weighedAgainst: describeGainAndCost(best)});
			return;
		}

		rejected.add(model);
		if (isMemoryPending) {
			plan.explain({
				model: model.model.id, decision: 'wait', reason: 'unserved-demand', weighedAgainst: 'a relocation under way makes room',
			});
			return;
		}

		plan.explain({
			model: model.model.id,
			decision: best === undefined ? 'wait' : 'keep',
			reason: 'unserved-demand',
			weighedAgainst: best === undefined ? `${unservedPerS.toFixed(2)} requests/s unserved, no target with spare capacity and memory` : describeGainAndCost(best),
		});
	}

	private isWorthwhile({gain, cost}: Pick<Candidate, 'gain' | 'cost'>): boolean {
		return gain >= cost * this.hysteresisRatio;
	}

	private findBestTarget(fleet: FleetState, model: ModelState, unservedPerS: number, candidates: readonly TargetState[]): Candidate | undefined {
		const horizonS = GAIN_HORIZON_MS / 1000;
		const loadS = fleet.input.loadMs / 1000;
		let best: Candidate | undefined;
		for (const target of candidates) {
			const evictions = fleet.findEvictions(target, model.sizeMb, false);
			if (evictions === undefined) {
				continue;
			}

			// The load of an evicted copy moves to the other copies of its model, which frees capacity for the new copy.
			const gain = Math.min(unservedPerS, fleet.getSpareCapacityPerS(target, evictions.freedPerS)) * Math.max(0, horizonS - loadS);
			const slotCost = target.planned.capacityPerS * MIN_UNSERVED_RATIO * loadS;
			const cost = slotCost + (evictions.lossPerS * horizonS) + evictions.reloadCost;
			if (best === undefined || gain - cost > best.gain - best.cost) {
				best = {
					target, evictions, gain, cost,
				};
			}
		}

		return best;
	}
}

function describeGainAndCost({gain, cost, evictions}: Pick<Candidate, 'gain' | 'cost' | 'evictions'>): string {
	return `gain of ${gain.toFixed(1)} requests in ${GAIN_HORIZON_MS} ms against a cost of ${cost.toFixed(1)}, ${describeEvictions(evictions)}`;
}

/** Lists the targets that can serve the most of the unserved demand. Of equal ones, those with enough free memory come first, then those with the most spare capacity. */
function listCandidates(fleet: FleetState, model: ModelState, unservedPerS: number): readonly TargetState[] {
	const isBefore = (a: TargetState, b: TargetState): boolean => {
		const gain = Math.min(unservedPerS, fleet.getSpareCapacityPerS(a)) - Math.min(unservedPerS, fleet.getSpareCapacityPerS(b));
		const free = Number(a.freeMb >= model.sizeMb) - Number(b.freeMb >= model.sizeMb);
		return (gain || free || (fleet.getSpareCapacityPerS(a) - fleet.getSpareCapacityPerS(b))) > 0;
	};

	const holders = new Set(model.copies.map(({target}) => target));
	const chosen: TargetState[] = [];
	for (const target of fleet.targets) {
		const last = chosen.at(-1);
		const isExcluded = chosen.length === MAX_CANDIDATE_TARGETS && last !== undefined && !isBefore(target, last);
		if (isExcluded || holders.has(target) || !fleet.isAvailable(target) || fleet.isForbidden(model.model.id, target)) {
			continue;
		}

		const index = chosen.findIndex(other => isBefore(target, other));
		chosen.splice(index === -1 ? chosen.length : index, 0, target);
		chosen.length = Math.min(chosen.length, MAX_CANDIDATE_TARGETS);
	}

	return chosen;
}
