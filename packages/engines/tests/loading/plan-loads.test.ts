import type {EngineClass} from '@egretrill/common';
import {expect} from 'chai';
import {
	type LoadMove, type LoadPlanInput, planLoads, type PlannedEngine,
} from '../../src/loading/index.js';

const engineClass: EngineClass = {
	batchSlots: 64,
	weightsMb: 200,
	adapterSlots: 8,
	storeLoadsPerSecond: 2,
	models: ['a', 'b', 'c', 'd', 'e'].map(name => ({
		name, weightsMb: 90, storeLoadMs: 5000, diskLoadMs: 1200, memoryLoadMs: 400, adapterMb: 1,
	})),
};

function engine(targetId: string, models: readonly string[], changes: Partial<PlannedEngine> = {}): PlannedEngine {
	return {
		targetId, isFree: true, unloading: [], isSwapping: false, weightsMb: 200, copies: models.map(model => ({model, ageMs: 60_000, adapterCount: 0})), inMemory: [], onDisk: [], ...changes,
	};
}

function plan(engines: readonly PlannedEngine[], demand: Readonly<Record<string, readonly [places: number, waiting: number, crowded?: number, missingMs?: number]>>, changes: Partial<LoadPlanInput> = {}): readonly LoadMove[] {
	const {moves} = planLoads({
		engineClass, engines, demand: Object.entries(demand).map(([model, [places, waiting, crowded = 0, missingMs = 0]]) => ({
			model, places, waiting, crowded, missingMs,
		})), storeLoads: 1, mayEvictForCopies: true, ...changes,
	});
	return moves;
}

describe('planLoads', () => {
	// Guards against callers that wait for a model which no engine loads, after demand has shifted to a model without a copy.
	it('loads a model that requests wait for where it costs least', () => {
		expect({
			freeEngine: plan([engine('t1', ['a', 'b']), engine('t2', ['c'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], d: [1, 2],
			}),
			weightsAtHand: plan([engine('t1', ['a', 'b']), engine('t2', ['a', 'c'], {inMemory: ['d']})], {
				a: [5, 0], b: [0, 0], c: [0, 0], d: [1, 2],
			}),
			onlyIfWaitedFor: plan([engine('t1', ['a'])], {a: [5, 0], d: [0.1, 0]}),
		}).toMatchSnapshot();
	});

	// Guards against a slow load of a model that many requests wait for although a busy engine has its weights on its disk.
	it('loads from local weights when many requests wait', () => {
		expect(plan([engine('t1', ['a', 'b'], {onDisk: ['e']}), engine('t2', ['c', 'd'])], {
			a: [30, 0], b: [0, 0], c: [1, 0], d: [0, 0], e: [4, 3],
		})).toMatchSnapshot();
	});

	// Guards against a load that evicts the last copy of a model in use.
	it('keeps last copies that are in use', () => {
		expect({
			allBusy: plan([engine('t1', ['a', 'b']), engine('t2', ['c', 'd'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], d: [5, 0], e: [1, 1],
			}),
			idleGoes: plan([engine('t1', ['a', 'b']), engine('t2', ['c', 'd'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], d: [0, 0], e: [1, 1],
			}),
			spareGoes: plan([engine('t1', ['a', 'b']), engine('t2', ['a', 'c'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], d: [1, 1],
			}),
		}).toMatchSnapshot();
	});

	// Guards against a busy model that stays without a copy because all engines are full of last copies with little demand.
	it('evicts a last copy for a model that needs many times its slots', () => {
		const engines = [engine('t1', ['a', 'b']), engine('t2', ['c', 'd'])];
		expect({
			outweighed: plan(engines, {
				a: [30, 0], b: [1, 0], c: [5, 0], d: [5, 0], e: [12, 4],
			}),
			notMuchMore: plan(engines, {
				a: [30, 0], b: [4, 0], c: [5, 0], d: [5, 0], e: [8, 4],
			}),
		}).toMatchSnapshot();
	});

	// Guards against two loads of one round that each rely on the copy which the other one evicts.
	it('does not evict every copy of a model at once', () => {
		expect({
			sameRound: plan([engine('t1', ['a', 'b']), engine('t2', ['a', 'c'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], d: [1, 1], e: [1, 1],
			}),
			earlierMove: plan([engine('t1', ['a', 'b'], {isFree: false, unloading: ['a'], loading: 'd'}), engine('t2', ['a', 'c'])], {
				a: [5, 0], b: [5, 0], c: [5, 0], e: [1, 1],
			}),
		}).toMatchSnapshot();
	});

	// Guards against a busy model that nobody serves for the time of a load, since its last copy went while its second one was being loaded.
	it('does not count a copy that is being loaded as one that serves', () => {
		const loading = engine('t2', ['c'], {isFree: false, loading: 'a'});
		const demand = {
			a: [5, 0], b: [5, 0], c: [5, 0], d: [1, 1],
		} as const;
		expect({loading: plan([engine('t1', ['a', 'b']), loading], demand), held: plan([engine('t1', ['a', 'b']), engine('t2', ['a', 'c'], {isFree: false})], demand).map(({unload}) => unload)}).to.deep.equal({loading: [], held: [['a']]});
	});

	// Guards against exceeding the memory of an engine while another load is in progress.
	it('counts the model that an engine is loading', () => {
		expect(plan([engine('t1', ['a'], {loading: 'b', isFree: false}), engine('t2', ['c', 'e'])], {
			a: [5, 0], c: [5, 0], e: [5, 0], b: [1, 4], d: [1, 1],
		})).toMatchSnapshot();
	});

	// Guards against exceeding the memory of an engine that still holds a model which the configuration no longer has.
	it('makes room where an engine holds a model without known weights', () => {
		expect({
			idle: plan([engine('t1', ['a', 'removed'])], {a: [5, 0], d: [1, 2]}),
			kept: plan([engine('t1', ['a', 'removed'])], {a: [40, 0], removed: [5, 0], d: [1, 2]}),
			crowded: plan([engine('t1', ['a']), engine('t2', ['removed'])], {a: [90, 0, 20]}),
		}).toMatchSnapshot();
	});

	// Guards against engines that are crowded with requests for one model while others are idle.
	it('adds a copy of a crowded model, and evicts another one for it only once demand has been measured', () => {
		const engines = [engine('t1', ['a', 'b']), engine('t2', ['c'])];
		expect({
			crowded: plan(engines, {a: [40, 0], b: [1, 0], c: [1, 0]}),
			unknown: plan([engine('t1', ['a', 'b']), engine('t2', ['c', 'b'])], {a: [40, 0], b: [1, 0], c: [1, 0]}, {mayEvictForCopies: false}),
			unknownButFree: plan(engines, {a: [40, 0], b: [1, 0], c: [1, 0]}, {mayEvictForCopies: false}),
			served: plan(engines, {a: [10, 0], b: [1, 0], c: [1, 0]}),
			full: plan(engines, {a: [25, 0, 20], b: [1, 0], c: [1, 0]}),
			waitedForOnly: plan(engines, {a: [3, 9], b: [1, 0], c: [1, 0]}),
		}).toMatchSnapshot();
	});

	// Guards against a busy model that is short of copies while all engines load models with little demand, for example after engines have restarted empty under load.
	it('plans the loads first that serve the most requests', () => {
		const engines = [engine('t1', ['a']), engine('t2', [])];
		expect({
			busyFirst: plan(engines, {a: [90, 0, 20], b: [0.4, 1]}).map(({load}) => load),
			busyTakesTurns: plan([...engines, engine('t3', [])], {a: [90, 0, 20], b: [0.4, 1], c: [2, 3]}, {storeLoads: 1}).map(({load}) => load),
			rareAfterAWhile: plan(engines, {a: [40, 0, 0], b: [0.4, 1, 0, 8000]}).map(({load}) => load),
		}).toMatchSnapshot();
	});

	// Guards against a busy model that gets no additional copy because engines evict copies for rare ones, and against swaps at all engines at once.
	it('limits the engines that swap models at the same time, whatever other moves are running', () => {
		const moving = (isSwapping: boolean): readonly PlannedEngine[] => [1, 2, 3].map(i => engine(`m${i}`, ['a', 'c'], {
			isFree: false, unloading: ['c'], loading: 'd', isSwapping,
		}));
		const countMoves = (isSwapping: boolean): unknown => plan([...moving(isSwapping), engine('t1', ['b', 'e']), engine('t2', ['b', 'e'])], {a: [400, 0, 0], b: [1, 0], e: [1, 0]}).length;
		expect({roomForMissing: countMoves(false), swaps: countMoves(true)}).toMatchSnapshot();
	});

	// Guards against more loads from the weight store than its rate allows.
	it('starts one load from the store at a time', () => {
		const engines = [engine('t1', []), engine('t2', []), engine('t3', [], {onDisk: ['c']})];
		const demand = {a: [1, 3], b: [1, 2], c: [1, 1]} as const;
		expect({one: plan(engines, demand), none: plan(engines, demand, {storeLoads: 0})}).toMatchSnapshot();
	});
});
