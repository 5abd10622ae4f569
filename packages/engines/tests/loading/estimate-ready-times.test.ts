import type {EngineClass} from '@egretrill/common';
import {expect} from 'chai';
import {estimateReadyTimes, type EngineMoveState} from '../../src/loading/index.js';

const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200,
	adapterSlots: 8,
	storeLoadsPerSecond: 2,
	models: ['a', 'b', 'c', 'd'].map(name => ({
		name, weightsMb: 90, storeLoadMs: 5000, diskLoadMs: 1200, memoryLoadMs: 400, adapterMb: 1,
	})),
};

function engine(models: readonly string[], loading?: string, remainingMoveMs = 0): EngineMoveState {
	return {models, loading, remainingMoveMs};
}

function estimate(engines: readonly EngineMoveState[], waiting: Readonly<Record<string, number>>, storeAvailableInMs = 0): unknown {
	const demand = engineClass.models.map(({name}) => ({
		model: name, places: 1, waiting: waiting[name] ?? 0, crowded: 0, missingMs: 0,
	}));
	return estimateReadyTimes({
		service: 's', engineClass, engines, demand, storeAvailableInMs,
	});
}

describe('expectModels', () => {
	// Guards against callers that are kept waiting for a load that ends after they have left.
	it('tells when a load under way ends', () => {
		expect(estimate([engine(['a'], 'b', 1800), engine(['c', 'd'])], {b: 3})).toMatchSnapshot();
	});

	// Guards against one time for all of many models, of which the weight store can begin only so many a second.
	it('puts models that no engine loads yet in line for the weight store', () => {
		expect(estimate([engine(['a'])], {b: 3, c: 5}, 200)).toMatchSnapshot();
	});

	// Guards against adapters that are waited for at an engine that cannot take them.
	it('names a model whose engines all carry out moves', () => {
		expect({
			one: estimate([engine(['a'], 'b', 1800)], {}),
			another: estimate([engine(['a'], 'b', 1800), engine(['a', 'c', 'd'])], {}),
		}).toMatchSnapshot();
	});
});
