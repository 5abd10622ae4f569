import type {CopyState, ModelState, TargetState} from './fleet-state.js';
import {describeEvictions, type RoundPlan} from './round-plan.js';
import type {MoveReason} from './types.js';

type Candidate = {readonly target: TargetState; readonly evictions: readonly CopyState[]; readonly lossPerS: number; readonly text: string};

function hasVersion(model: ModelState, isLoading?: boolean): boolean {
	return model.copies.some(copy => copy.version === model.model.version && (isLoading === undefined || copy.isLoading === isLoading));
}

function getCopyOn(model: ModelState, target: TargetState): CopyState | undefined {
	return model.copies.find(copy => copy.target === target);
}

/** Finds the target where a copy costs least: smallest loss, then fewest evictions, then most spare capacity. */
function findCheapest({fleet}: RoundPlan, model: ModelState, targets: readonly TargetState[], mayEvictIdle: boolean): Candidate | undefined {
	let best: (Candidate & {readonly sparePerS: number}) | undefined;
	for (const target of targets) {
		if (!fleet.isAvailable(target) || fleet.isForbidden(model.model.id, target) || hasVersionOn(model, target)) {
			continue;
		}

		const candidate = fleet.findEvictions(target, model.sizeMb, mayEvictIdle);
		const sparePerS = fleet.getSpareCapacityPerS(target);
		const order = candidate === undefined || best === undefined ? -1 : (candidate.lossPerS - best.lossPerS) || (candidate.copies.length - best.evictions.length) || (best.sparePerS - sparePerS);
		if (candidate !== undefined && order < 0) {
			best = {
				target, evictions: candidate.copies, lossPerS: candidate.lossPerS, text: describeEvictions(candidate), sparePerS,
			};
		}
	}

	return best;
}

function hasVersionOn(model: ModelState, target: TargetState): boolean {
	return model.copies.some(copy => copy.target === target && copy.version === model.model.version);
}

function requireCopy(plan: RoundPlan, model: ModelState, targets: readonly TargetState[], reason: MoveReason): void {
	const urgent = reason !== 'no-copy' || model.ratePerS > 0;
	if (plan.loadSlots <= 0) {
		plan.explain({
			model: model.model.id, decision: 'wait', reason, weighedAgainst: 'no load slot is left in this round',
		});
		return;
	}

	const mayEvictIdle = reason === 'pinned' || (reason === 'no-copy' && model.ratePerS > 0);
	const found = findCheapest(plan, model, targets, false) ?? (mayEvictIdle ? findCheapest(plan, model, targets, true) : undefined);
	if (found === undefined) {
		plan.explain({
			model: model.model.id,
			decision: 'wait',
			reason,
			weighedAgainst: `no target that is not busy has ${model.sizeMb} MB free or evictable; loadable ${plan.fleet.input.loadMs} ms after memory is free`,
		});
		return;
	}

	plan.addLoad(model, found.target, found.evictions, {reason, urgent, weighedAgainst: `${found.text}, ${model.ratePerS.toFixed(2)} requests/s`});
}

/** Removes copies that are forbidden or no longer configured, but never a model's last one. */
export function planRemovals(plan: RoundPlan): void {
	for (const target of plan.fleet.targets) {
		for (const copy of target.copies) {
			const isForbidden = plan.fleet.isForbidden(copy.modelId, target);
			const isRemovable = copy.model === undefined || (isForbidden && plan.fleet.hasOtherServing(copy));
			if (plan.fleet.isAvailable(target) && !copy.isLoading && isRemovable) {
				plan.addUnload(copy, copy.model === undefined ? 'not-configured' : 'forbidden', 'no load is given up');
			}
		}
	}
}

/** Loads pinned models where they are pinned. */
export function planPins(plan: RoundPlan): void {
	const targets = new Map(plan.fleet.targets.map(target => [target.planned.targetId, target]));
	for (const pin of plan.fleet.input.placements.pins) {
		const model = plan.fleet.models.get(pin.model);
		const target = targets.get(pin.target);
		if (model !== undefined && target !== undefined && getCopyOn(model, target) === undefined) {
			requireCopy(plan, model, [target], 'pinned');
		}
	}
}

/** Plans a copy of each model without one, those in demand first, and of each model with fewer copies than configured. */
export function planMissingCopies(plan: RoundPlan): void {
	const models = [...plan.fleet.models.values()].sort((a, b) => b.ratePerS - a.ratePerS);
	for (const model of models.filter(({copies}) => copies.every(({target}) => target.planned.leaving))) {
		requireCopy(plan, model, plan.fleet.targets, 'no-copy');
	}

	for (const model of models.filter(({copies, model: {minCopies}}) => copies.length > 0 && copies.length < minCopies)) {
		requireCopy(plan, model, plan.fleet.targets, 'no-copy');
	}
}

/** Changes one copy of each model at a time to the configured version; copies of earlier versions are kept until it serves. */
export function planVersions(plan: RoundPlan): void {
	for (const model of plan.fleet.models.values()) {
		const oldCopies = model.copies.filter(copy => copy.version !== model.model.version && !copy.isLoading);
		if (oldCopies.length === 0 || hasVersion(model, true)) {
			continue;
		}

		if (!hasVersion(model)) {
			requireNewVersion(plan, model, oldCopies);
			continue;
		}

		const copy = oldCopies.find(({target}) => plan.fleet.isAvailable(target));
		if (copy !== undefined && plan.fleet.hasOtherServing(copy)) {
			replaceOldVersion(plan, model, copy);
		}
	}
}

function requireNewVersion(plan: RoundPlan, model: ModelState, oldCopies: readonly CopyState[]): void {
	const replaced = oldCopies.find(copy => plan.fleet.isAvailable(copy.target) && plan.fleet.hasOtherServing(copy));
	const found = findCheapest(plan, model, plan.fleet.targets, false);
	if (found?.evictions.length === 0 || replaced === undefined || plan.loadSlots <= 0) {
		requireCopy(plan, model, plan.fleet.targets, 'new-version');
		return;
	}

	plan.addLoad(model, replaced.target, [replaced], {reason: 'new-version', urgent: true, weighedAgainst: `${oldCopies.length - 1} copies of an earlier version keep serving`});
}

function replaceOldVersion(plan: RoundPlan, model: ModelState, copy: CopyState): void {
	const hasEnoughMemory = copy.target.freeMb + copy.sizeMb >= model.sizeMb;
	if (model.ratePerS === 0 || !hasEnoughMemory || hasVersionOn(model, copy.target)) {
		plan.addUnload(copy, 'old-version', 'the configured version serves');
	} else if (plan.loadSlots > 0) {
		plan.addLoad(model, copy.target, [copy], {reason: 'new-version', urgent: true, weighedAgainst: 'the configured version serves elsewhere'});
	}
}

/** Plans a copy in a second zone for models in demand, where memory is free. */
export function planSecondZones(plan: RoundPlan): void {
	const models = [...plan.fleet.models.values()].filter(({ratePerS, copies}) => ratePerS > 0 && copies.length > 0).sort((a, b) => b.ratePerS - a.ratePerS);
	for (const model of models) {
		const zones = new Set(model.copies.map(({target}) => target.planned.zone));
		if (zones.size > 1 || plan.loadSlots <= 0) {
			continue;
		}

		const targetsInOtherZones = plan.fleet.targets.filter(({planned, freeMb}) => !zones.has(planned.zone) && freeMb >= model.sizeMb);
		const found = findCheapest(plan, model, targetsInOtherZones, false);
		if (found !== undefined) {
			plan.addLoad(model, found.target, [], {reason: 'second-zone', urgent: false, weighedAgainst: 'free memory only'});
		}
	}
}
