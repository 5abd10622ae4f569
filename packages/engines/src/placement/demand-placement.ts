import {
	GAIN_HORIZON_MS, HYSTERESIS_RATIO, MAX_CANDIDATES, MAX_MOVES_PER_ROUND, MIN_UNSERVED_RATIO,
} from './constants.js';
import {
	type Evictions, FleetState, type ModelState, type TargetState,
} from './fleet-state.js';
import {PlacementPolicy} from './placement-policy.js';
import {
	planMissingCopies, planPins, planRemovals, planSecondZones, planVersions,
} from './required-moves.js';
import {describeEvictions, RoundPlan} from './round-plan.js';
import {planAdapters, planRoles} from './secondary-moves.js';
import type {DemandEstimate, PlanInput, PlanRound} from './types.js';

type Candidate = {
	readonly target: TargetState;
	readonly evictions: Evictions;
	readonly gain: number;
	readonly cost: number;
};

/** Moves models where more requests are answered in time than the move costs. */
export class DemandPlacement extends PlacementPolicy {
	get name(): string {
		return 'demand';
	}

	protected readonly hysteresisRatio: number = HYSTERESIS_RATIO;

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

	/** Returns the demand that the round plans for. */
	protected getDemand(input: PlanInput): readonly DemandEstimate[] {
		return input.demand;
	}

	private planGains(plan: RoundPlan): void {
		const {fleet} = plan;
		const capacity = fleet.targets.reduce((sum, {planned}) => sum + planned.capacityPerS, 0) / Math.max(1, fleet.targets.length);
		const rejected = new Set<ModelState>();
		for (let count = 0; count < MAX_MOVES_PER_ROUND && plan.loadSlots > 0; count++) {
			const worst = this.findWorstServed(fleet, rejected);
			if (worst === undefined || worst.unserved < capacity * MIN_UNSERVED_RATIO) {
				return;
			}

			this.planCopy(plan, worst.model, worst.unserved, rejected);
		}
	}

	private findWorstServed(fleet: FleetState, rejected: ReadonlySet<ModelState>): {readonly model: ModelState; readonly unserved: number} | undefined {
		let worst: {readonly model: ModelState; readonly unserved: number} | undefined;
		for (const model of fleet.models.values()) {
			const unserved = rejected.has(model) ? 0 : fleet.getUnserved(model);
			if (unserved > (worst?.unserved ?? 0)) {
				worst = {model, unserved};
			}
		}

		return worst;
	}

	private planCopy(plan: RoundPlan, model: ModelState, unserved: number, rejected: Set<ModelState>): void {
		const best = this.findBestTarget(plan.fleet, model, unserved);
		const {id} = model.model;
		if (best === undefined) {
			rejected.add(model);
			plan.explain({
				model: id, decision: 'wait', reason: 'unserved-demand', weighedAgainst: `${unserved.toFixed(2)} requests/s unserved, no target with spare capacity and memory`,
			});
			return;
		}

		const text = `gain of ${best.gain.toFixed(1)} requests in ${GAIN_HORIZON_MS} ms against a cost of ${best.cost.toFixed(1)}, ${describeEvictions(best.evictions)}`;
		if (best.gain < best.cost * this.hysteresisRatio) {
			rejected.add(model);
			plan.explain({
				model: id, targetId: best.target.planned.targetId, decision: 'keep', reason: 'unserved-demand', weighedAgainst: text,
			});
			return;
		}

		plan.addLoad(model, best.target, best.evictions.copies, {reason: 'unserved-demand', urgent: true, weighedAgainst: text});
	}

	private findBestTarget(fleet: FleetState, model: ModelState, unserved: number): Candidate | undefined {
		const horizonS = GAIN_HORIZON_MS / 1000;
		const loadS = fleet.input.loadMs / 1000;
		let best: Candidate | undefined;
		for (const target of listCandidates(fleet, model, unserved)) {
			const evictions = fleet.findEvictions(target, model.sizeMb, false);
			if (evictions === undefined) {
				continue;
			}

			const gain = Math.min(unserved, fleet.getSpare(target)) * Math.max(0, horizonS - loadS);
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

/** Lists the targets that can serve most of the unserved demand: free memory first among equals, then most spare capacity. */
function listCandidates(fleet: FleetState, model: ModelState, unserved: number): readonly TargetState[] {
	const isBefore = (a: TargetState, b: TargetState): boolean => {
		const gain = Math.min(unserved, fleet.getSpare(a)) - Math.min(unserved, fleet.getSpare(b));
		const free = Number(a.freeMb >= model.sizeMb) - Number(b.freeMb >= model.sizeMb);
		return (gain || free || (fleet.getSpare(a) - fleet.getSpare(b))) > 0;
	};

	const present = new Set(model.copies.map(({target}) => target));
	const chosen: TargetState[] = [];
	for (const target of fleet.targets) {
		const last = chosen.at(-1);
		const isLeftOut = chosen.length === MAX_CANDIDATES && last !== undefined && !isBefore(target, last);
		if (isLeftOut || present.has(target) || !fleet.isAvailable(target) || fleet.getSpare(target) === 0 || fleet.isForbidden(model.model.id, target)) {
			continue;
		}

		const place = chosen.findIndex(other => isBefore(target, other));
		chosen.splice(place === -1 ? chosen.length : place, 0, target);
		chosen.length = Math.min(chosen.length, MAX_CANDIDATES);
	}

	return chosen;
}
