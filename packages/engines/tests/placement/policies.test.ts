import type {Model} from '@egretrill/common';
import {expect} from 'chai';
import {
	addBacklog, DemandEstimator, DemandPlacement, LoadOnDemandPlacement, type PlanInput, type PlannedTarget, type PlanRound, StaticPlacement, sumDemand, sumWaiting,
} from '../../src/placement/index.js';
import {createModel, MEMORY_MB, SIZES_MB} from './simulated-engine.js';

const CAPACITY_PER_S = 10;

/** Creates a target from copies such as `a` or `a@v2`. */
function createTarget(targetId: string, copies: readonly string[], changes: Partial<PlannedTarget> = {}): PlannedTarget {
	const named = copies.map(copy => ({model: copy.split('@')[0]!, version: copy.split('@')[1] ?? 'v1'}));
	return {
		targetId,
		zone: `z${targetId.slice(1)}`,
		orderable: true,
		memoryMb: MEMORY_MB,
		freeMb: MEMORY_MB - named.reduce((sum, {model}) => sum + (SIZES_MB[model] ?? 0), 0),
		capacityPerS: CAPACITY_PER_S,
		role: 'mixed',
		roleAgeMs: 100_000,
		busy: false,
		leaving: false,
		copies: named.map(copy => ({
			...copy, adapters: [], ageMs: 100_000, idleMs: 0,
		})),
		loading: [],
		...changes,
	};
}

function createInput(targets: readonly PlannedTarget[], rates: Readonly<Record<string, number>>, changes: Partial<PlanInput> = {}): PlanInput {
	return {
		nowMs: 0,
		models: Object.keys(SIZES_MB).map(id => createModel(id)),
		placements: {pins: [], forbids: []},
		demand: Object.entries(rates).map(([model, ratePerS]) => ({
			model, ratePerS, sigmaPerS: 0, shifted: false,
		})),
		targets: [...targets],
		waiting: [],
		loadSlots: 4,
		loadMs: 4500,
		...changes,
	};
}

function withVersion(id: string, version: string): Model[] {
	return Object.keys(SIZES_MB).map(model => createModel(model, SIZES_MB[model], model === id ? version : 'v1'));
}

/** Formats a plan with one line for each move and each explanation. */
function describePlan({moves, explanations}: PlanRound): readonly string[] {
	return [
		...moves.map(({targetId, steps, urgent}) => `${targetId}${urgent ? ' urgent' : ''}: ${steps.map(step => Object.values(step).join(' ')).join(', then ')}`),
		...explanations.map(({decision, model, targetId, reason, weighedAgainst}) => `${decision} ${model}${targetId === undefined ? '' : ` on ${targetId}`} (${reason}): ${weighedAgainst}`),
	];
}

describe('demand placement', () => {
	const policy = new DemandPlacement();
	const fullTargets = [createTarget('t1', ['a', 'b', 'd']), createTarget('t2', ['c', 'a'])];

	const forbid = (model: string, target: string) => ({placements: {pins: [], forbids: [{model, target}]}});
	const newVersion = {models: withVersion('a', 'v2')};

	const cases: Record<string, PlanInput> = {
		'gives each model a copy, those in demand first and those without demand where memory is free':
			createInput([createTarget('t1', []), createTarget('t2', [])], {c: 5}),
		'leaves models without demand where they are':
			createInput(fullTargets, {}),
		'adds a copy where demand exceeds capacity, evicting a copy that another target can replace':
			createInput([createTarget('t1', ['b', 'c']), createTarget('t2', ['a', 'b', 'd'])], {c: 14}),
		'keeps the only copies even of models without demand when another model needs their memory':
			createInput([createTarget('t1', ['b', 'c']), createTarget('t2', ['a', 'd'], {freeMb: 0})], {c: 14}),
		'evicts an idle model only for a model that no target serves':
			createInput([createTarget('t1', ['b', 'c'])], {a: 2, c: 2}),
		'does not move a model for a gain below the cost':
			createInput([createTarget('t1', ['c']), createTarget('t2', ['a', 'b', 'd']), createTarget('t3', ['b'], {capacityPerS: 1, freeMb: 0})], {c: 10.5, b: 6}),
		'relocates a single copy to make room for demand':
			createInput([createTarget('t1', ['b', 'c']), createTarget('t2', ['a', 'd'], {freeMb: 20}), createTarget('t3', ['b'], {freeMb: 30, capacityPerS: 0.5})], {c: 14, a: 0.1}),
		'loads pinned models first and evicts forbidden ones':
			createInput([createTarget('t1', ['a', 'b']), createTarget('t2', ['a', 'c'])], {}, {placements: {...forbid('a', 't2').placements, pins: [{model: 'd', target: 't1'}]}}),
		'keeps a forbidden copy while it is the last one':
			createInput([createTarget('t1', ['b', 'd']), createTarget('t2', ['a', 'c'])], {}, {...forbid('a', 't2'), loadSlots: 0}),
		'loads a new version while the earlier one serves':
			createInput([createTarget('t1', ['a', 'd']), createTarget('t2', ['b', 'c'])], {a: 1}, newVersion),
		'keeps the earlier version while the new one is loading':
			createInput([createTarget('t1', ['a', 'd'], {freeMb: 20, busy: true, loading: [{model: 'a', version: 'v2', adapters: []}]}), createTarget('t2', ['b', 'c'])], {a: 1}, newVersion),
		'removes the earlier version once the new one serves':
			createInput([createTarget('t1', ['a', 'a@v2', 'd']), createTarget('t2', ['b', 'c'])], {a: 1}, newVersion),
		'relies on a copy in a zone of lower name, which never relies on this zone':
			createInput([createTarget('t1', ['b', 'a', 'd'], {orderable: false}), createTarget('t2', ['b', 'c'])], {}, forbid('b', 't2')),
		'does not rely on a copy in a zone of higher name, which may evict it at the same time':
			createInput([createTarget('t1', ['b', 'c']), createTarget('t2', ['b', 'a', 'd'], {orderable: false})], {}, forbid('b', 't1')),
		'replaces copies of a leaving target':
			createInput([createTarget('t1', ['a', 'd'], {leaving: true}), createTarget('t2', ['b', 'c']), createTarget('t3', [])], {a: 1}),
		'changes a decode target to mixed when prefill is short of targets':
			createInput([createTarget('t1', ['a', 'b', 'd'], {role: 'decode'}), createTarget('t2', ['c', 'a'], {role: 'prefill'})], {}, {phase: {prefillUtilisation: 0.95, decodeUtilisation: 0.3}}),
	};

	for (const [title, input] of Object.entries(cases)) {
		it(title, () => {
			expect(describePlan(policy.planRound(input))).toMatchSnapshot();
		});
	}

	it('loads an adapter in demand and evicts one without demand', () => {
		const models = [{...createModel('a'), adapters: [{id: 'x', memoryMb: 10}, {id: 'y', memoryMb: 10}]}];
		const target = createTarget('t1', [], {
			freeMb: 0, copies: [{
				model: 'a', version: 'v1', adapters: ['x'], ageMs: 0, idleMs: 0,
			}],
		});
		const demand = [{
			model: 'a', adapter: 'y', ratePerS: 1, sigmaPerS: 0, shifted: false,
		}];
		expect(describePlan(policy.planRound(createInput([target], {}, {models, demand})))).toMatchSnapshot();
	});
});

describe('baseline placements', () => {
	it('ignore a shift of demand (static) or load the models that requests wait for (load on demand)', () => {
		const input = createInput([createTarget('t1', ['b', 'c']), createTarget('t2', ['a', 'b', 'd'])], {c: 14}, {waiting: [{model: 'c', count: 3}]});
		expect({
			static: describePlan(new StaticPlacement([]).planRound(input)), loadOnDemand: describePlan(new LoadOnDemandPlacement().planRound(input)),
		}).toMatchSnapshot();
	});
});

describe('demand estimates', () => {
	it('count waiting requests, also for models whose demand is not measured yet, summed over hosts', () => {
		const reports = ['a', 'a', 'b'].map(model => ({
			model, quickPerS: 1, mediumPerS: 1, slowPerS: 1, waiting: model === 'a' ? 15 : 0,
		}));
		const waiting = [...sumWaiting(reports), {model: 'c', count: 30}];
		expect({waiting, demand: addBacklog(sumDemand(reports), waiting)}).toMatchSnapshot();
	});

	it('keep a model in the report while its requests wait', () => {
		const host = new DemandEstimator(0);
		host.recordArrival('a', undefined, 0);
		const reports = [host.report(600_000, new Map([['a', 2]])), host.report(600_000)];
		expect(reports.map(names => names.map(({model, waiting}) => `${model} ${waiting}`))).to.deep.equal([['a 2'], []]);
	});

	it('detect a tenfold shift within 3 s, summed over hosts, and stay near a steady rate', () => {
		const hosts = Array.from({length: 4}, () => new DemandEstimator(0));
		let steady = 0;
		let detectedAfterMs: number | undefined;
		for (let nowMs = 0; nowMs < 70_000; nowMs += 100) {
			// Each host sees one request in every 1,600 ms, and in every 160 ms after 60 s.
			for (const [i, host] of hosts.entries()) {
				const everyMs = nowMs < 60_000 ? 1600 : 200;
				if ((nowMs + (i * 400)) % everyMs === 0) {
					host.recordArrival('a', 'x', nowMs);
				}
			}

			const estimate = sumDemand(hosts.flatMap(host => host.report(nowMs))).find(({model, adapter}) => model === 'a' && adapter === 'x');
			steady = nowMs === 59_900 ? estimate?.ratePerS ?? 0 : steady;
			detectedAfterMs ??= nowMs >= 60_000 && (estimate?.ratePerS ?? 0) > 15 ? nowMs - 60_000 : undefined;
		}

		expect(steady).to.be.within(2, 3);
		expect(detectedAfterMs).to.be.at.most(3000);
	});
});
