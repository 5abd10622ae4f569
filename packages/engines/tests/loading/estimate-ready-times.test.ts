import type {EngineClass} from '@egretrill/common';
import {expect} from 'chai';
import {estimateReadyTimes, type MovingEngine} from '../../src/loading/index.js';

const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200,
	adapterSlots: 8,
	storeLoadsPerSecond: 2,
	models: ['a', 'b', 'c', 'd'].map(name => ({
		name, weightsMb: 90, storeLoadMs: 5000, diskLoadMs: 1200, memoryLoadMs: 400, adapterMb: 1,
	})),
};

function engine(models: readonly string[], loading?: string, moveLeftMs = 0): MovingEngine {
	return {models, loading, moveLeftMs};
}

function estimate(engines: readonly MovingEngine[], waiting: Readonly<Record<string, number>>, storeFreeInMs = 0): unknown {
	const demand = engineClass.models.map(({name}) => ({
		model: name, places: 1, waiting: waiting[name] ?? 0, crowded: 0, missingMs: 0,
	}));
	return estimateReadyTimes({
		service: 's', engineClass, engines, demand, storeFreeInMs,
	});
}

describe('estimateReadyTimes', () => {
	// Guards against keeping callers waiting for a load that ends after they have left.
	it('estimates when a load in progress ends', () => {
		expect(estimate([engine(['a'], 'b', 1800), engine(['c', 'd'])], {b: 3})).toMatchSnapshot();
	});

	// Guards against the same time for many models although the weight store starts loads at a limited rate.
	it('queues models that no engine is loading yet for the weight store', () => {
		expect(estimate([engine(['a'])], {b: 3, c: 5}, 200)).toMatchSnapshot();
	});

	// Guards against requests that wait for an adapter at an engine that cannot load it now.
	it('includes a model whose engines are all running moves', () => {
		expect({
			one: estimate([engine(['a'], 'b', 1800)], {}),
			another: estimate([engine(['a'], 'b', 1800), engine(['a', 'c', 'd'])], {}),
		}).toMatchSnapshot();
	});

	// Guards against refusals of callers who could wait for a load from the memory or disk of an engine.
	it('takes weights at hand into account at engines without a running move', () => {
		expect(estimate([
			{...engine(['a']), inMemory: ['b'], onDisk: ['b']}, {...engine(['a']), onDisk: ['c']}, {...engine(['a'], 'd', 300), inMemory: ['c']},
		], {b: 2, c: 1})).to.deep.equal([
			{service: 's', model: 'b', readyInMs: 400}, {service: 's', model: 'c', readyInMs: 1200}, {service: 's', model: 'd', readyInMs: 300},
		]);
	});

	// Guards against callers who wait for a load that begins only after another one at the same engine, or after a model in use has been unloaded there.
	it('counts the loads before and the unloads at an engine', () => {
		expect(estimate([{...engine(['a']), inMemory: ['b'], onDisk: ['c']}, engine(['a'])], {b: 2, c: 1})).to.deep.equal([
			{service: 's', model: 'b', readyInMs: 400}, {service: 's', model: 'c', readyInMs: 400 + 2500 + 1200},
		]);
	});

	// Guards against callers who wait for a load that never begins, since the engine may evict no last copy in use.
	it('counts the store where no copy may be evicted', () => {
		expect(estimate([{...engine(['a', 'd']), inMemory: ['b']}], {b: 1})).to.deep.equal([{service: 's', model: 'b', readyInMs: 5000}]);
	});
});
