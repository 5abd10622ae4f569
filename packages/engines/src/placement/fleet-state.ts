import type {Model} from '@egretrill/common';
import {BALANCE_PASSES, MIN_RESIDENCE_MS, PLANNED_UTILISATION} from './constants.js';
import type {
	DemandEstimate, PlanInput, PlannedCopy, PlannedTarget,
} from './types.js';

/** One copy of a model as the plan would have it. */
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
	/** Share of the model's requests that this copy would get. */
	share: number;
};

export type TargetState = {
	readonly planned: PlannedTarget;
	readonly copies: Set<CopyState>;
	freeMb: number;
	loadPerS: number;
	isBusy: boolean;
};

export type ModelState = {
	readonly model: Model;
	readonly sizeMb: number;
	readonly ratePerS: number;
	readonly sigmaPerS: number;
	readonly copies: Set<CopyState>;
};

/** Copies that have to go before a load fits, and the requests per second that this costs. */
export type Evictions = {readonly copies: readonly CopyState[]; readonly lossPerS: number; readonly reloadCost: number};

/** Least utilisation assumed when shares are shifted, so that idle targets do not take everything in one pass. */
const MIN_UTILISATION = 0.02;

function getPairKey(model: string, target: string): string {
	return `${model}\u0000${target}`;
}

function getCopySizeMb(model: Model | undefined, adapters: readonly string[]): number {
	const adaptersMb = (model?.adapters ?? []).filter(({id}) => adapters.includes(id)).reduce((sum, {memoryMb}) => sum + memoryMb, 0);
	return model === undefined ? 0 : model.memoryMb + model.kvReserveMb + adaptersMb;
}

/**
 * Working copy of the fleet in which a round tries its moves. It is changed in place, since copying
 * 3,100 targets for each tried move would exceed the time of a round.
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
			copies: new Set<CopyState>(),
		}]));
		this.targets = input.targets.map(planned => this.createTarget(planned));
		this.balance();
	}

	isPinned(modelId: string, target: TargetState): boolean {
		return this.pins.has(getPairKey(modelId, target.planned.targetId));
	}

	isForbidden(modelId: string, target: TargetState): boolean {
		return this.forbids.has(getPairKey(modelId, target.planned.targetId));
	}

	/** Returns whether a new move may start on the target in this round. */
	isAvailable(target: TargetState): boolean {
		return target.planned.orderable && !target.planned.leaving && !target.isBusy;
	}

	/** Returns the requests per second that the target can take on top of its planned load. */
	getSpare({planned, loadPerS}: TargetState): number {
		return planned.leaving ? 0 : Math.max(0, (planned.capacityPerS * PLANNED_UTILISATION) - loadPerS);
	}

	/** Returns the model's requests per second that its copies cannot answer in time. */
	getUnserved({ratePerS, copies}: ModelState): number {
		if (copies.size === 0) {
			return ratePerS;
		}

		let unserved = 0;
		for (const {share, target} of copies) {
			const limit = target.planned.capacityPerS * PLANNED_UTILISATION;
			unserved += target.loadPerS > limit ? ratePerS * share * (1 - (limit / target.loadPerS)) : 0;
		}

		return unserved;
	}

	/** Returns whether the model keeps serving copies without this one, which other zones cannot take away at the same time. */
	hasOtherServing(copy: CopyState, minCopies = 1): boolean {
		let count = 0;
		for (const other of copy.model?.copies ?? []) {
			const isSafe = other.target.planned.orderable || other.target.planned.zone < copy.target.planned.zone;
			count += other !== copy && !other.isLoading && !other.target.planned.leaving && isSafe ? 1 : 0;
		}

		return count >= minCopies;
	}

	/** Finds the cheapest evictions that make room, or undefined when there are none; `mayEvictIdle` allows the last copies of models without demand. */
	findEvictions(target: TargetState, neededMb: number, mayEvictIdle: boolean): Evictions | undefined {
		let missingMb = neededMb - target.freeMb;
		if (missingMb <= 0) {
			return {copies: [], lossPerS: 0, reloadCost: 0};
		}

		const candidates = [...target.copies]
			.filter(copy => this.isEvictable(copy, mayEvictIdle))
			.map(copy => ({copy, lossPerS: this.getLossPerS(copy)}))
			.sort((a, b) => (a.lossPerS - b.lossPerS) || (b.copy.sizeMb - a.copy.sizeMb));
		const chosen: CopyState[] = [];
		let lossPerS = 0;
		let reloadCost = 0;
		for (const candidate of candidates) {
			if (missingMb <= 0) {
				break;
			}

			chosen.push(candidate.copy);
			missingMb -= candidate.copy.sizeMb;
			lossPerS += candidate.lossPerS;
			reloadCost += this.getUpperRate(candidate.copy) * this.input.loadMs / 1000;
		}

		return missingMb <= 0 ? {copies: chosen, lossPerS, reloadCost} : undefined;
	}

	/** Adds a copy that is being loaded. */
	addLoading(model: ModelState, target: TargetState): void {
		const copy: CopyState = {
			modelId: model.model.id, version: model.model.version, adapters: [], sizeMb: model.sizeMb, ageMs: 0, idleMs: 0, isLoading: true, model, target, share: 0,
		};
		const {size} = model.copies;
		for (const other of model.copies) {
			other.share *= size / (size + 1);
		}

		copy.share = 1 / (size + 1);
		model.copies.add(copy);
		target.copies.add(copy);
		target.freeMb -= model.sizeMb;
	}

	/** Removes a copy and hands its share to the model's other copies. */
	remove(copy: CopyState): void {
		copy.target.copies.delete(copy);
		copy.target.freeMb += copy.sizeMb;
		copy.model?.copies.delete(copy);
		for (const other of copy.model?.copies ?? []) {
			other.share = copy.share >= 1 ? 1 / (copy.model?.copies.size ?? 1) : other.share / (1 - copy.share);
		}
	}

	/** Shifts each model's load towards its less loaded copies, as routing does. */
	balance(): void {
		for (let pass = 0; pass <= BALANCE_PASSES; pass++) {
			this.sumLoads();
			if (pass < BALANCE_PASSES) {
				this.shiftShares();
			}
		}
	}

	private getUpperRate({model, share}: CopyState): number {
		return model === undefined ? 0 : (model.ratePerS + model.sigmaPerS) * share;
	}

	/** Requests per second that the model's other copies could not take over. */
	private getLossPerS(copy: CopyState): number {
		let spare = 0;
		for (const other of copy.model?.copies ?? []) {
			spare += other === copy ? 0 : this.getSpare(other.target);
		}

		return Math.max(0, this.getUpperRate(copy) - spare);
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
			planned, copies: new Set(), freeMb: planned.freeMb, loadPerS: 0, isBusy: planned.busy,
		};
		for (const copy of planned.copies) {
			this.addCopy(target, copy, false);
		}

		for (const copy of planned.loading) {
			this.addCopy(target, {...copy, ageMs: 0, idleMs: 0}, true);
		}

		return target;
	}

	private addCopy(target: TargetState, planned: PlannedCopy, isLoading: boolean): void {
		const model = this.models.get(planned.model);
		if (isLoading && [...target.copies].some(({modelId, version}) => modelId === planned.model && version === planned.version)) {
			return;
		}

		const copy: CopyState = {
			...planned, modelId: planned.model, model, target, isLoading, sizeMb: getCopySizeMb(model?.model, planned.adapters), share: 1,
		};
		target.copies.add(copy);
		model?.copies.add(copy);
		for (const other of model?.copies ?? []) {
			other.share = 1 / (model?.copies.size ?? 1);
		}
	}

	private sumLoads(): void {
		for (const target of this.targets) {
			target.loadPerS = 0;
			for (const {model, share} of target.copies) {
				target.loadPerS += (model?.ratePerS ?? 0) * share;
			}
		}
	}

	private shiftShares(): void {
		for (const {copies, ratePerS} of this.models.values()) {
			if (copies.size < 2 || ratePerS === 0) {
				continue;
			}

			let total = 0;
			for (const copy of copies) {
				const {planned, loadPerS} = copy.target;
				copy.share *= planned.leaving ? 0.1 : 1 / Math.sqrt(Math.max(MIN_UTILISATION, loadPerS / planned.capacityPerS));
				total += copy.share;
			}

			for (const copy of copies) {
				copy.share /= total;
			}
		}
	}
}
