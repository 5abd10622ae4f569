import type {Accelerator, ConfigDocument, Model} from '@egretrill/common';
import {getModelMemoryMb} from '../validate-document.js';
import type {Finding} from './types.js';

function warn(code: string, path: string, message: string): Finding {
	return {
		kind: 'warning', code, path, message,
	};
}

function getTotalMb(sizes: readonly number[]): number {
	return sizes.reduce((total, sizeMb) => total + sizeMb, 0);
}

function getUsableAccelerators(model: Model, {accelerators, placements}: ConfigDocument): readonly Accelerator[] {
	const forbidden = new Set(placements.forbids.filter(forbid => forbid.model === model.id).map(forbid => forbid.target));
	return accelerators.filter(({target, memoryMb}) => !forbidden.has(target) && memoryMb >= getModelMemoryMb(model));
}

function findCopyConflicts(document: ConfigDocument): readonly Finding[] {
	return document.models.flatMap((model, i) => {
		const usable = getUsableAccelerators(model, document).length;
		return usable < model.minCopies
			? [warn('copies-exceed-targets', `models.${i}.minCopies`, `${model.minCopies} copies of ${model.id} are required; ${usable} declared accelerators are large enough and not forbidden`)]
			: [];
	});
}

function findTotalMemoryConflicts({models, accelerators}: ConfigDocument): readonly Finding[] {
	const requiredMb = getTotalMb(models.map(model => model.minCopies * getModelMemoryMb(model)));
	const declaredMb = getTotalMb(accelerators.map(entry => entry.memoryMb));
	return requiredMb > declaredMb
		? [warn('copies-exceed-memory', 'accelerators', `the required copies of all models take ${requiredMb} MB, but the declared accelerators have ${declaredMb} MB`)]
		: [];
}

function findAdapterConflicts({models, accelerators}: ConfigDocument): readonly Finding[] {
	const largestMb = Math.max(...accelerators.map(entry => entry.memoryMb));
	return models.flatMap((model, i) => model.adapters.flatMap((adapter, at) => {
		const requiredMb = getModelMemoryMb(model) + adapter.memoryMb;
		return requiredMb > largestMb
			? [warn('adapter-exceeds-memory', `models.${i}.adapters.${at}.memoryMb`, `${model.id} with adapter ${adapter.id} takes ${requiredMb} MB, the largest accelerator has ${largestMb} MB`)]
			: [];
	}));
}

/** Lists limits that cannot all be met. */
export function findLimitConflicts(document: ConfigDocument): readonly Finding[] {
	// Without declared accelerators the memory of the targets is not known before the start.
	if (document.accelerators.length === 0) {
		return [];
	}

	return [
		...findCopyConflicts(document),
		...findTotalMemoryConflicts(document),
		...findAdapterConflicts(document),
	];
}
