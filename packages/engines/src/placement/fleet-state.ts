import type {Model} from '@egretrill/common';
import {BALANCE_PASSES, MIN_RESIDENCE_MS, PLANNED_UTILISATION} from './constants.js';
import type {
	DemandEstimate, PlanInput, PlannedCopy, PlannedTarget,
} from './types.js';

/** One copy of a model after the moves planned so far. */
export type CopyState = {
	readonly modelId: string;
	readonly version: string;
	readonly adapters: readonly string[];
	readonly sizeMb: number;
	readonly ageMs: number;
	readonly idleMs: number;
	readonly isLoading: boolean;
	readonly model: ModelState | undefined;
	readonly target: TargetState;
	/** Share of the model's requests that this copy is expected to get. */
	share: number;
};

export type TargetState = {
	readonly planned: PlannedTarget;
	readonly copies: CopyState[];
	freeMb: number;
	loadPerS: number;
	isBusy: boolean;
};

export type ModelState = {
	readonly model: Model;
	readonly sizeMb: number;
	readonly ratePerS: number;
	readonly sigmaPerS: number;
	readonly copies: CopyState[];
};

/** Copies to evict before a load fits, the requests per second that are lost by it, those that the target no longer serves, and the requests that would arrive while the copies are loaded again. */
export type Evictions = {
	readonly copies: readonly CopyState[]; readonly lossPerS: number; readonly freedPerS: number; readonly reloadCost: number;
};

/** Least utilisation assumed when shares are shifted, so that idle targets do not get all load in one pass. */
const MIN_WEIGHTING_UTILISATION = 0.02;

/** Weight of a leaving target relative to others, since routing sends hardly any requests to it while another copy serves. */
const LEAVING_TARGET_WEIGHT = 0.1;

function getPairKey(model: string, target: string): string {
	return `${model}\u0000${target}`;
}

function getCopySizeMb(model: Model | undefined, adapters: readonly string[]): number {
	if (model === undefined || adapters.length === 0) {
		return model === undefined ? 0 : model.memoryMb + model.kvReserveMb;
	}

	const adaptersMb = model.adapters.filter(({id}) => adapters.includes(id)).reduce((sum, {memoryMb}) => sum + memoryMb, 0);
	return model.memoryMb + model.kvReserveMb + adaptersMb;
}

/**
 * Working copy of the fleet to which a round applies its moves. It is changed in place, since copying
 * 3,100 targets for each candidate move would exceed the time of a round.
 */
export class FleetState {
	readonly targets: readonly TargetState[];
	readonly models: ReadonlyMap<string, ModelState>;
	private readonly pins: ReadonlySet<string>;
	private readonly forbids: ReadonlySet<string>;

	constructor(readonly input: PlanInput, demand: readonly DemandEstimate[]) {
		const rates = new Map(demand.filter(({adapter}) => adapter === undefined).map(estimate => [estimate.model, estimate]));
		this.pins = new Set(input.placements.pins.map(({model, target}) => getPairKey(model, target)));
		this.forbids = new Set(input.placements.forbids.map(({model, target}) => getPairKey(model, target)));
		this.models = new Map(input.models.map(model => [model.id, {
			model,
			sizeMb: model.memoryMb + model.kvReserveMb,
			ratePerS: rates.get(model.id)?.ratePerS ?? 0,
			sigmaPerS: rates.get(model.id)?.sigmaPerS ?? 0,
			copies: [],
		}]));
		this.targets = input.targets.map(planned => this.createTarget(planned));
		this.balance();
	}

	isPinned(modelId: string, target: TargetState): boolean {
		return this.pins.size > 0 && this.pins.has(getPairKey(modelId, target.planned.targetId));
	}

	isForbidden(modelId: string, target: TargetState): boolean {
		return this.forbids.size > 0 && this.forbids.has(getPairKey(modelId, target.planned.targetId));
	}

	/** Returns whether a new move may start on the target in this round. */
	isAvailable(target: TargetState): boolean {
		return target.planned.orderable && !target.planned.leaving && !target.isBusy;
	}

	/** Returns the requests per second that the target can serve in addition to its planned load once `freedPerS` of that is removed. */
	getSpareCapacityPerS({planned, loadPerS}: TargetState, freedPerS = 0): number {
		return planned.leaving ? 0 : Math.max(0, (planned.capacityPerS * PLANNED_UTILISATION) - loadPerS + freedPerS);
	}

	/** Returns the model's requests per second that its copies cannot answer in time. */
	getUnservedPerS({ratePerS, copies}: ModelState): number {
		if (copies.length === 0) {
			return ratePerS;
		}

		let unservedPerS = 0;
		for (const {share, target} of copies) {
			const plannedCapacityPerS = target.planned.capacityPerS * PLANNED_UTILISATION;
			unservedPerS += target.loadPerS > plannedCapacityPerS ? ratePerS * share * (1 - (plannedCapacityPerS / target.loadPerS)) : 0;
		}

		return unservedPerS;
	}

	/** Returns whether enough other copies of the model serve, not counting copies that other zones could evict at the same time. */
	hasOtherServing(copy: CopyState, minCopies = 1): boolean {
		let count = 0;
		for (const other of copy.model?.copies ?? []) {
			const isSafe = other.target.planned.orderable || other.target.planned.zone < copy.target.planned.zone;
			count += other !== copy && !other.isLoading && !other.target.planned.leaving && isSafe ? 1 : 0;
		}

		return count >= minCopies;
	}

	/** Finds the cheapest evictions that free the needed memory, or undefined if there are none; `mayEvictIdle` allows evicting the last copies of models without demand. */
	findEvictions(target: TargetState, neededMb: number, mayEvictIdle: boolean): Evictions | undefined {
		let missingMb = neededMb - target.freeMb;
		if (missingMb <= 0) {
			return {
				copies: [], lossPerS: 0, freedPerS: 0, reloadCost: 0,
			};
		}

		const candidates = target.copies
			.filter(copy => this.isEvictable(copy, mayEvictIdle))
			.map(copy => ({copy, lossPerS: this.getLossPerS(copy)}))
			.sort((a, b) => (a.lossPerS - b.lossPerS) || (b.copy.sizeMb - a.copy.sizeMb));
		const evictions: CopyState[] = [];
		let lossPerS = 0;
		let freedPerS = 0;
		let reloadCost = 0;
		for (const candidate of candidates) {
			if (missingMb <= 0) {
				break;
			}

			evictions.push(candidate.copy);
			missingMb -= candidate.copy.sizeMb;
			lossPerS += candidate.lossPerS;
			freedPerS += (candidate.copy.model?.ratePerS ?? 0) * candidate.copy.share;
			reloadCost += this.getUpperRatePerS(candidate.copy) * this.input.loadMs / 1000;
		}

		return missingMb <= 0
			? {
				copies: evictions, lossPerS, freedPerS, reloadCost,
			}
			: undefined;
	}

	/** Adds a copy that is being loaded. */
	addLoading(model: ModelState, target: TargetState): void {
		const copy: CopyState = {
			modelId: model.model.id, version: model.model.version, adapters: [], sizeMb: model.sizeMb, ageMs: 0, idleMs: 0, isLoading: true, model, target, share: 0,
		};
		const {length} = model.copies;
		this.changeShares(model, () => {
			for (const other of model.copies) {
				other.share *= length / (length + 1);
			}

			copy.share = 1 / (length + 1);
			model.copies.push(copy);
		});
		target.copies.push(copy);
		target.freeMb -= model.sizeMb;
	}

	/** Removes a copy and distributes its share over the model's other copies. */
	remove(copy: CopyState): void {
		const {model, target} = copy;
		target.copies.splice(target.copies.indexOf(copy), 1);
		target.freeMb += copy.sizeMb;
		if (model !== undefined) {
			this.changeShares(model, () => {
				model.copies.splice(model.copies.indexOf(copy), 1);
				for (const other of model.copies) {
					other.share = copy.share >= 1 ? 1 / model.copies.length : other.share / (1 - copy.share);
				}
			});
		}
	}

	private getUpperRatePerS({model, share}: CopyState): number {
		return model === undefined ? 0 : (model.ratePerS + model.sigmaPerS) * share;
	}

	/** Returns the requests per second that the model's other copies could not serve. */
	private getLossPerS(copy: CopyState): number {
		let spareCapacityPerS = 0;
		for (const other of copy.model?.copies ?? []) {
			spareCapacityPerS += other === copy ? 0 : this.getSpareCapacityPerS(other.target);
		}

		return Math.max(0, this.getUpperRatePerS(copy) - spareCapacityPerS);
	}

	private isEvictable(copy: CopyState, mayEvictIdle: boolean): boolean {
		if (copy.model === undefined) {
			return true;
		}

		if (copy.isLoading || this.isPinned(copy.modelId, copy.target)) {
			return false;
		}

		if (!this.hasOtherServing(copy, copy.model.model.minCopies)) {
			return mayEvictIdle && copy.model.ratePerS === 0;
		}

		return copy.ageMs >= MIN_RESIDENCE_MS || copy.model.ratePerS === 0;
	}

	private createTarget(planned: PlannedTarget): TargetState {
		const target: TargetState = {
			planned, copies: [], freeMb: planned.freeMb, loadPerS: 0, isBusy: planned.busy,
		};
		for (const copy of planned.copies) {
			this.addCopy(target, copy, false);
		}

		for (const copy of planned.loading) {
			if (!planned.copies.some(({model, version}) => model === copy.model && version === copy.version)) {
				this.addCopy(target, {...copy, ageMs: 0, idleMs: 0}, true);
			}
		}

		return target;
	}

	private addCopy(target: TargetState, planned: PlannedCopy, isLoading: boolean): void {
		const model = this.models.get(planned.model);
		const copy: CopyState = {
			modelId: planned.model,
			version: planned.version,
			adapters: planned.adapters,
			sizeMb: getCopySizeMb(model?.model, planned.adapters),
			ageMs: planned.ageMs,
			idleMs: planned.idleMs,
			isLoading,
			model,
			target,
			share: 1,
		};
		target.copies.push(copy);
		model?.copies.push(copy);
	}

	/** Shifts each model's load towards its less loaded copies, as routing does. */
	private balance(): void {
		for (const {copies, ratePerS} of this.models.values()) {
			for (const copy of copies) {
				copy.share = 1 / copies.length;
				copy.target.loadPerS += ratePerS * copy.share;
			}
		}

		for (let pass = 0; pass < BALANCE_PASSES; pass++) {
			for (const model of this.models.values()) {
				if (model.copies.length > 1 && model.ratePerS > 0) {
					this.shiftShares(model);
				}
			}
		}
	}

	/** Changes which copies share a model's load, then balances that model only; the others are balanced in the next round. */
	private changeShares(model: ModelState, change: () => void): void {
		this.addLoads(model, -1);
		change();
		this.addLoads(model, 1);
		for (let pass = 0; pass < BALANCE_PASSES; pass++) {
			this.shiftShares(model);
		}
	}

	private addLoads({copies, ratePerS}: ModelState, sign: 1 | -1): void {
		for (const {share, target} of copies) {
			target.loadPerS += sign * ratePerS * share;
		}
	}

	private shiftShares(model: ModelState): void {
		let weightSum = 0;
		for (const {share, target} of model.copies) {
			weightSum += share * this.getRoutingWeight(target);
		}

		if (weightSum === 0) {
			return;
		}

		// The weights are computed before any load changes, so that the order of the copies does not matter.
		const shares = model.copies.map(({share, target}) => share * this.getRoutingWeight(target) / weightSum);
		this.addLoads(model, -1);
		for (const [i, copy] of model.copies.entries()) {
			copy.share = shares[i] ?? 0;
		}

		this.addLoads(model, 1);
	}

	private getRoutingWeight({planned, loadPerS}: TargetState): number {
		const utilisation = Math.max(MIN_WEIGHTING_UTILISATION, loadPerS / planned.capacityPerS);
		return (planned.leaving ? LEAVING_TARGET_WEIGHT : 1) / Math.sqrt(utilisation);
	}
}
