import {addBacklog} from './demand.js';
import {DemandPlacement} from './demand-placement.js';
import {
	type CopyState, FleetState, type ModelState, type TargetState,
} from './fleet-state.js';
import {PlacementPolicy} from './placement-policy.js';
import {RoundPlan} from './round-plan.js';
import type {DemandEstimate, PlanInput, PlanRound} from './types.js';

/** Known demand is free of noise, so the baselines that are given it place copies for smaller shortfalls. */
const FINE_UNSERVED_RATIO = 0.03;

/** Places models once by their mean demand; the baseline without adaptation. */
export class StaticPlacement extends DemandPlacement {
	protected override readonly minUnservedRatio = FINE_UNSERVED_RATIO;

	constructor(private readonly meanDemand: readonly DemandEstimate[]) {
		super();
	}

	override get name(): string {
		return 'static';
	}

	protected override getDemand(): readonly DemandEstimate[] {
		return this.meanDemand;
	}
}

/** Upper-bound baseline that is given the future demand and therefore needs no hysteresis. */
export class ForesightPlacement extends DemandPlacement {
	protected override readonly hysteresisRatio = 1;
	protected override readonly minUnservedRatio = FINE_UNSERVED_RATIO;

	constructor(private readonly getFutureDemand: (nowMs: number) => readonly DemandEstimate[]) {
		super();
	}

	override get name(): string {
		return 'foresight';
	}

	protected override getDemand(input: PlanInput): readonly DemandEstimate[] {
		return addBacklog(this.getFutureDemand(input.nowMs), input.waiting);
	}
}

/** Loads each model with waiting requests on the least loaded target, evicting the least recently used copies there; one load per model at a time. */
export class LoadOnDemandPlacement extends PlacementPolicy {
	get name(): string {
		return 'load-on-demand';
	}

	planRound(input: PlanInput): PlanRound {
		const plan = new RoundPlan(new FleetState(input, input.demand));
		const {fleet} = plan;
		for (const {model: id} of [...input.waiting].sort((a, b) => b.count - a.count)) {
			const model = fleet.models.get(id);
			const target = model === undefined || model.copies.some(({isLoading}) => isLoading) ? undefined : this.findLeastLoaded(fleet, model);
			if (model === undefined || target === undefined || plan.loadSlots <= 0) {
				continue;
			}

			const evicted = this.findLeastRecentlyUsed(target, model.sizeMb);
			if (evicted !== undefined) {
				plan.addLoad(model, target, evicted, {reason: 'on-demand', urgent: true, weighedAgainst: 'least recently used copies'});
			}
		}

		return plan.finish();
	}

	private findLeastLoaded(fleet: FleetState, model: ModelState): TargetState | undefined {
		const holders = new Set(model.copies.map(({target}) => target));
		return fleet.targets
			.filter(target => fleet.isAvailable(target) && !holders.has(target) && !fleet.isForbidden(model.model.id, target))
			.sort((a, b) => (a.loadPerS / a.planned.capacityPerS) - (b.loadPerS / b.planned.capacityPerS))
			.at(0);
	}

	private findLeastRecentlyUsed(target: TargetState, neededMb: number): readonly CopyState[] | undefined {
		const byIdleness = target.copies.filter(({isLoading}) => !isLoading).sort((a, b) => b.idleMs - a.idleMs);
		const evicted: CopyState[] = [];
		let {freeMb} = target;
		for (const copy of byIdleness) {
			if (freeMb >= neededMb) {
				break;
			}

			evicted.push(copy);
			freeMb += copy.sizeMb;
		}

		return freeMb >= neededMb ? evicted : undefined;
	}
}
