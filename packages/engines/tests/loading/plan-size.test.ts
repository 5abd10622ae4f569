import process from 'node:process';
import {expect} from 'chai';
import {type LoadPlanInput, planLoads} from '../../src/loading/index.js';

const ENGINES = 63;
const BUSY_MODELS = 8;
/** Number of plans before the measurement, since just-in-time compilation slows down the first ones. */
const WARM_UP_PLANS = 5;
/** A leader whose event loop is blocked for the duration of its lease loses it; a plan must leave most of that time to heartbeats. */
const MAX_PLAN_MS = 250;

/** Three copies at each engine, one of them of a busy model, and two at every ninth engine, so that seven models in 126 have no copy; one model in three has waiting requests. */
function createView(engineCount: number): LoadPlanInput {
	const modelCount = engineCount * 2;
	return {
		engineClass: {
			batchSlots: 16,
			weightsMb: 200_000,
			adapterSlots: 5,
			storeLoadsPerSecond: 14,
			models: Array.from({length: modelCount}, (_, i) => ({
				name: `m${i}`, weightsMb: 62_000, storeLoadMs: 4000, diskLoadMs: 840, memoryLoadMs: 400, adapterMb: 40,
			})),
		},
		engines: Array.from({length: engineCount}, (_, i) => ({
			targetId: `t${i}`,
			isFree: true,
			weightsMb: 200_000,
			copies: [i % BUSY_MODELS, ((2 * i) + 1) % modelCount, ((2 * i) + 2) % modelCount].slice(0, i % 9 === 5 ? 2 : 3).map(model => ({model: `m${model}`, ageMs: 10_000, adapterCount: 1})),
			unloading: [],
			isSwapping: false,
			inMemory: [],
			onDisk: [`m${(5 * i) % modelCount}`],
		})),
		demand: Array.from({length: modelCount}, (_, i) => ({
			model: `m${i}`, places: i < BUSY_MODELS ? 100 : i % 5, waiting: i % 3 === 0 ? 4 : 0, crowded: i % 4, missingMs: i % 3 === 0 ? 500 : 0,
		})),
		storeLoads: 1,
		mayEvictForCopies: true,
	};
}

describe('planLoads for a large fleet', () => {
	// Guards against a leader that plans for seconds, sends no heartbeat meanwhile and loses its lease, so that no engine gets an order.
	it('plans within a fraction of the leader lease', () => {
		const view = createView(ENGINES);
		for (let i = 0; i < WARM_UP_PLANS; i++) {
			planLoads(view);
		}

		const startedUs = process.cpuUsage().user;
		const {moves} = planLoads(view);
		const tookMs = (process.cpuUsage().user - startedUs) / 1000;
		expect(tookMs).to.be.below(MAX_PLAN_MS);
		expect(moves.length).to.be.above(0);
	});

	// Guards against plans that take longer than the lease in a larger fleet, and against models that no plan ever reaches there.
	it('bounds the work of a plan and plans first next time what it left out', () => {
		const view = createView(ENGINES * 5);
		const first = planLoads(view);
		const second = planLoads({...view, deferred: first.deferred});
		const planned = new Set([...first.deferred].filter(model => !second.deferred.includes(model)));
		expect(first.deferred.length).to.be.above(0);
		expect(planned.size).to.be.above(0);
		expect(second.deferred.some(model => !first.deferred.includes(model))).to.equal(true);
	});
});
