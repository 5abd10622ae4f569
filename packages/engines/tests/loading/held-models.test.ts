import type {HeldModel} from '@egretrill/common';
import {expect} from 'chai';
import {applyStep, isDone, type LoadStep} from '../../src/loading/index.js';

/** Two versions of a model that hold the same adapter. */
const models: readonly HeldModel[] = [
	{name: 'm', version: 1, adapters: ['a1']},
	{name: 'm', version: 2, adapters: ['a1', 'a2']},
	{name: 'n', version: 1, adapters: ['a1']},
];

describe('applyStep', () => {
	// Guards against an account below what an engine holds: one unload may free one slot only where two versions of a model hold the adapter.
	it('frees no more slots than one unload does', () => {
		const step: LoadStep = {kind: 'unload-adapter', model: 'm', adapter: 'a1'};
		const once = applyStep(models, step);
		const twice = applyStep(once, step);
		expect({
			once, isDoneOnce: isDone(once, step), twice, isDoneTwice: isDone(twice, step),
		}).toMatchSnapshot();
	});

	// Guards against counting a loaded adapter once for each version of its model.
	it('adds an adapter to one version of a model', () => {
		expect([
			applyStep(models, {kind: 'load-adapter', model: 'm', adapter: 'a3'}),
			applyStep(models, {kind: 'load-adapter', model: 'm', adapter: 'a2'}),
		]).toMatchSnapshot();
	});
});
