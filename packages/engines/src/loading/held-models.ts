import type {HeldModel} from '@egretrill/common';
import type {HeldAdapter} from './adapter-slots.js';
import type {LoadStep} from './types.js';

function holdsAdapter(models: readonly HeldModel[], model: string, adapter: string): boolean {
	return models.some(({name, adapters}) => name === model && adapters.includes(adapter));
}

/** Whether the effect of a step shows in the models that an engine holds. */
export function isDone(models: readonly HeldModel[], {kind, model, adapter = ''}: LoadStep): boolean {
	switch (kind) {
		case 'load-model': {
			return models.some(({name}) => name === model);
		}

		case 'unload-model': {
			return models.every(({name}) => name !== model);
		}

		case 'load-adapter': {
			return holdsAdapter(models, model, adapter);
		}

		case 'unload-adapter': {
			return !holdsAdapter(models, model, adapter);
		}
	}
}

/** Returns the models without an adapter, whichever versions of its model hold it. */
export function hideAdapter(models: readonly HeldModel[], {model, adapter}: HeldAdapter): readonly HeldModel[] {
	return models.map(held => held.name === model ? {...held, adapters: held.adapters.filter(other => other !== adapter)} : held);
}

function addAdapter(models: readonly HeldModel[], model: string, adapter: string): readonly HeldModel[] {
	const index = models.findIndex(({name}) => name === model);
	return holdsAdapter(models, model, adapter) ? models : models.map((held, i) => i === index ? {...held, adapters: [...held.adapters, adapter]} : held);
}

/** Removes an adapter from one version of its model, since an unload may free one slot only. */
function removeAdapter(models: readonly HeldModel[], model: string, adapter: string): readonly HeldModel[] {
	const index = models.findIndex(({name, adapters}) => name === model && adapters.includes(adapter));
	return models.map((held, i) => i === index ? {...held, adapters: held.adapters.toSpliced(held.adapters.indexOf(adapter), 1)} : held);
}

/** Returns what an engine holds after a step. */
export function applyStep(models: readonly HeldModel[], step: LoadStep): readonly HeldModel[] {
	const {kind, model, adapter = ''} = step;
	switch (kind) {
		case 'load-model': {
			return isDone(models, step) ? models : [...models, {name: model, version: 0, adapters: []}];
		}

		case 'unload-model': {
			return models.filter(({name}) => name !== model);
		}

		case 'load-adapter': {
			return addAdapter(models, model, adapter);
		}

		case 'unload-adapter': {
			return removeAdapter(models, model, adapter);
		}
	}
}

/** Whether an engine holds only models of a list, each at most as often as the list names it. */
export function holdsOnly(models: readonly HeldModel[], names: readonly string[]): boolean {
	const remaining = [...names];
	return models.every(({name}) => {
		const index = remaining.indexOf(name);
		remaining.splice(index, index === -1 ? 0 : 1);
		return index !== -1;
	});
}
