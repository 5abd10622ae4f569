import type {EngineClass, HeldModel, StoredModel} from '@egretrill/common';
import type {LoadMove} from './types.js';

/** Sizes that fill an engine exactly may add up to a little more than its memory. */
const ROUNDING_MB = 0.001;

/** Memory of an engine, and the sizes of the models that it may hold with their adapters. */
export type MemoryLimits = {readonly weightsMb: number; readonly models: ReadonlyMap<string, StoredModel>};

type Sizes = Pick<StoredModel, 'weightsMb' | 'adapterMb'>;

/** Memory limits of the engines of each service. Keeps the sizes of models that the configuration had earlier, since engines may still hold them. */
export class KnownMemory {
	private readonly byService = new Map<string, {readonly engineClass: EngineClass; readonly limits: MemoryLimits}>();

	getLimits(service: string, engineClass: EngineClass): MemoryLimits {
		const known = this.byService.get(service);
		if (known?.engineClass === engineClass) {
			return known.limits;
		}

		const models = new Map([...known?.limits.models ?? [], ...engineClass.models.map(model => [model.name, model] as const)]);
		const limits = {weightsMb: engineClass.weightsMb, models};
		this.byService.set(service, {engineClass, limits});
		return limits;
	}
}

/** A model whose size is not known may use the whole engine. */
function getSizes({weightsMb, models}: MemoryLimits, model: string): Sizes {
	return models.get(model) ?? {weightsMb, adapterMb: 0};
}

function getUsedMb(held: readonly HeldModel[], limits: MemoryLimits): number {
	let usedMb = 0;
	for (const {name, adapters} of held) {
		const {weightsMb, adapterMb} = getSizes(limits, name);
		usedMb += weightsMb + (adapters.length * adapterMb);
	}

	return usedMb;
}

/** Whether an engine has memory for one more model. */
export function hasMemoryForModel(held: readonly HeldModel[], model: string, limits: MemoryLimits): boolean {
	return getUsedMb(held, limits) + getSizes(limits, model).weightsMb <= limits.weightsMb + ROUNDING_MB;
}

/** Whether an engine has memory for one more adapter of a model, also after a move that is planned or in progress. */
export function hasMemoryForAdapter(held: readonly HeldModel[], model: string, limits: MemoryLimits, move?: Pick<LoadMove, 'load' | 'unload'>): boolean {
	const {adapterMb} = getSizes(limits, model);
	const freeMb = limits.weightsMb + ROUNDING_MB - adapterMb;
	if (getUsedMb(held, limits) > freeMb) {
		return false;
	}

	if (!move || move.unload.includes(model) || held.some(({name}) => name === move.load)) {
		return true;
	}

	const remaining = held.filter(({name}) => !move.unload.includes(name));
	return getUsedMb(remaining, limits) + getSizes(limits, move.load).weightsMb <= freeMb;
}
