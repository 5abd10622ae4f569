import type {HeldModel} from '@egretrill/common';
import type {LoadStep} from './types.js';

/** Whether the effect of a step shows in the models that an engine holds. */
export function isDone(models: readonly HeldModel[], {kind, model, adapter}: LoadStep): boolean {
	const held = models.find(({name}) => name === model);
	switch (kind) {
		case 'load-model': {
			return held !== undefined;
		}

		case 'unload-model': {
			return held === undefined;
		}

		case 'load-adapter': {
			return held?.adapters.includes(adapter ?? '') ?? false;
		}

		case 'unload-adapter': {
			return !held?.adapters.includes(adapter ?? '');
		}
	}
}

/** Returns what an engine holds after one adapter was loaded or unloaded. */
export function withAdapter(models: readonly HeldModel[], model: string, adapter: string, isHeld: boolean): readonly HeldModel[] {
	return models.map(held => {
		const others = held.adapters.filter(other => other !== adapter);
		return held.name === model ? {...held, adapters: isHeld ? [...others, adapter] : others} : held;
	});
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

		case 'load-adapter':
		case 'unload-adapter': {
			return withAdapter(models, model, adapter, kind === 'load-adapter');
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
