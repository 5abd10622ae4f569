import type {EngineClass, HeldModel} from '@egretrill/common';
import type {LoadMove} from './types.js';

/** Sizes that fill an engine exactly may add up to a little more than its memory. */
const ROUNDING_MB = 0.001;

/** Memory for models and their adapters, as the configuration describes it. */
export type MemoryLimits = Pick<EngineClass, 'weightsMb' | 'models'>;

function getSizes({models}: MemoryLimits, model: string): {readonly weightsMb: number; readonly adapterMb: number} {
	// Nothing is known of a model that the configuration no longer has; planned loads count it as a full engine.
	return models.find(({name}) => name === model) ?? {weightsMb: 0, adapterMb: 0};
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
