import {
	MIN_ROLE_MEASUREMENT_MS, MIN_ROLE_MS, ROLE_SHORT_UTILISATION, ROLE_SPARE_UTILISATION,
} from './constants.js';
import type {CopyState, FleetState, TargetState} from './fleet-state.js';
import type {RoundPlan} from './round-plan.js';
import type {AdapterRequest, DemandEstimate, MoveStep} from './types.js';

/** Loads adapters in demand on targets that hold their model, evicting adapters without demand. */
export function planAdapters(plan: RoundPlan, demand: readonly DemandEstimate[]): void {
	const adapterDemand = demand.filter(({adapter, ratePerS}) => adapter !== undefined && ratePerS > 0).sort((a, b) => b.ratePerS - a.ratePerS);
	const adaptersInDemand = listAdaptersInDemand(demand);
	for (const {model: modelId, adapter: adapterId, ratePerS} of adapterDemand) {
		const model = plan.fleet.models.get(modelId);
		const adapter = model?.model.adapters.find(({id}) => id === adapterId);
		if (model === undefined || adapter === undefined || model.copies.some(({adapters}) => adapters.includes(adapter.id))) {
			continue;
		}

		const option = [...model.copies]
			.filter(copy => !copy.isLoading && copy.version === model.model.version && plan.fleet.isAvailable(copy.target))
			.map(copy => ({copy, steps: selectAdapterEvictions(copy, adapter.memoryMb, adaptersInDemand)}))
			.find(({steps}) => steps !== undefined);
		if (option?.steps !== undefined) {
			plan.add({
				targetId: option.copy.target.planned.targetId, model: modelId, reason: 'adapter-demand', urgent: true, steps: [...option.steps, {
					kind: 'load-adapter', model: modelId, version: option.copy.version, adapter: adapter.id,
				}],
			}, option.copy.target, `${option.steps.length} adapters without demand, ${ratePerS.toFixed(2)} requests/s`);
		}
	}
}

/** Returns the unloads that free memory for an adapter on one target, or undefined if it cannot be freed. */
export function planAdapterEvictions(fleet: FleetState, request: AdapterRequest, demand: readonly DemandEstimate[]): readonly MoveStep[] | undefined {
	const model = fleet.models.get(request.model);
	const adapter = model?.model.adapters.find(({id}) => id === request.adapter);
	const copy = model?.copies.find(({target, isLoading}) => target.planned.targetId === request.targetId && !isLoading);
	return copy === undefined || adapter === undefined ? undefined : selectAdapterEvictions(copy, adapter.memoryMb, listAdaptersInDemand(demand));
}

function listAdaptersInDemand(demand: readonly DemandEstimate[]): ReadonlySet<string> {
	return new Set(demand.filter(({adapter, ratePerS}) => adapter !== undefined && ratePerS > 0).map(({model, adapter}) => `${model}/${adapter}`));
}

/** Returns the unloads of adapters without demand that free the memory, or undefined if they do not suffice. */
function selectAdapterEvictions(copy: CopyState, neededMb: number, adaptersInDemand: ReadonlySet<string>): readonly MoveStep[] | undefined {
	let missingMb = neededMb - copy.target.freeMb;
	const steps: MoveStep[] = [];
	for (const {modelId, version, adapters, model} of copy.target.copies) {
		for (const adapter of adapters.filter(id => !adaptersInDemand.has(`${modelId}/${id}`))) {
			if (missingMb <= 0) {
				return steps;
			}

			missingMb -= model?.model.adapters.find(({id}) => id === adapter)?.memoryMb ?? 0;
			steps.push({
				kind: 'unload-adapter', model: modelId, version, adapter,
			});
		}
	}

	return missingMb <= 0 ? steps : undefined;
}

/** Changes at most one target's role when one phase is short of targets while the other has spare ones. */
export function planRoles(plan: RoundPlan): void {
	const {phase, targets} = plan.fleet.input;
	if (phase === undefined || targets.some(({orderable, roleAgeMs}) => orderable && roleAgeMs < MIN_ROLE_MEASUREMENT_MS)) {
		return;
	}

	const {prefillUtilisation, decodeUtilisation} = phase;
	if (prefillUtilisation > ROLE_SHORT_UTILISATION && decodeUtilisation < ROLE_SPARE_UTILISATION) {
		changeRole(plan, 'prefill', 'decode');
	} else if (decodeUtilisation > ROLE_SHORT_UTILISATION && prefillUtilisation < ROLE_SPARE_UTILISATION) {
		changeRole(plan, 'decode', 'prefill');
	}
}

function isOtherPhaseServedElsewhere({model, target}: CopyState, short: 'prefill' | 'decode'): boolean {
	return (model?.copies ?? []).some(other => other.target !== target && !other.isLoading && !other.target.planned.leaving && other.target.planned.role !== short);
}

function changeRole(plan: RoundPlan, short: 'prefill' | 'decode', spare: 'prefill' | 'decode'): void {
	const mayChange = (target: TargetState): boolean => plan.fleet.isAvailable(target) && target.planned.roleAgeMs >= MIN_ROLE_MS;
	// A target of the spare role serves both phases once it is mixed; a mixed one may stop serving the spare phase only if other targets serve that phase for its models.
	const targets = plan.fleet.targets.filter(target => mayChange(target)).sort((a, b) => a.loadPerS - b.loadPerS);
	const isServedInZone = (target: TargetState): boolean => plan.fleet.targets.some(({planned}) => planned !== target.planned && planned.orderable && !planned.leaving && planned.role !== short);
	const chosen = targets.find(target => target.planned.role === spare);
	const fallback = targets.find(target => target.planned.role === 'mixed' && isServedInZone(target) && target.copies.every(copy => isOtherPhaseServedElsewhere(copy, short)));
	const target = chosen ?? fallback;
	if (target !== undefined) {
		plan.add({
			targetId: target.planned.targetId, model: '*', reason: 'role-short', urgent: false, steps: [{kind: 'set-role', role: chosen === undefined ? short : 'mixed'}],
		}, target, `${short} is short while ${spare} has spare capacity`);
	}
}
