import {expect} from 'chai';
import {PlanSchedule, RecentMoves, StoreBudget} from '../../src/loading/index.js';
import {type PlayReport, playMovingDemand} from './moving-demand.js';

const PLAY_MS = 24_000;

describe('planLoads for engines of unequal speed under moving demand', () => {
	let equal: PlayReport;
	let uneven: PlayReport;
	before(() => {
		equal = playMovingDemand({durationMs: PLAY_MS});
		uneven = playMovingDemand({durationMs: PLAY_MS, knowsSpeeds: true});
	});

	// Guards against busy models at slow engines, whose streams are late, while fast engines hold rare ones.
	it('moves demand from slow engines to fast ones', () => {
		expect(uneven.shareBySpeed['0.6']).to.be.below(equal.shareBySpeed['0.6']! * 0.7);
		expect(uneven.lostShare).to.be.below(equal.lostShare * 0.8);
	});

	// Guards against rare models whose callers are all refused, since a load from the store takes longer than they wait.
	it('loads models without a copy before they are asked for', () => {
		expect(uneven.absentModels).to.be.below(10);
		expect(uneven.missingShare).to.be.below(equal.missingShare / 2);
	});
});

describe('StoreBudget', () => {
	// Guards against more loads than the store's rate allows in any 5 s, and against a rate that plans at intervals leave unused.
	it('uses the rate over plans at intervals and keeps to it in any 5 s', () => {
		const store = new StoreBudget();
		const startsMs: number[] = [];
		for (let nowMs = 0; nowMs < 20_000; nowMs += nowMs % 700 === 0 ? 150 : 50) {
			for (let loads = store.getLoads(16, nowMs); loads > 0; loads--) {
				store.recordLoad();
				startsMs.push(nowMs);
			}
		}

		const mostIn5S = Math.max(...startsMs.map(startMs => startsMs.filter(atMs => atMs >= startMs && atMs < startMs + 5000).length));
		expect(mostIn5S).to.be.within(75, (16 * 5) + 3);
	});

	// Guards against a store that is not used for minutes after a configuration has set its rate.
	it('does not count loads from before the rate was set', () => {
		const store = new StoreBudget();
		for (let i = 0; i < 50; i++) {
			store.recordLoad();
		}

		expect(store.getLoads(0, 0)).to.equal(Number.POSITIVE_INFINITY);
		expect(store.getLoads(16, 100)).to.be.within(1, 3);
	});
});

describe('RecentMoves', () => {
	// Guards against models that are loaded and unloaded in turn while demand swings between them.
	it('tells which recent moves a move would undo', () => {
		const moves = new RecentMoves();
		moves.record({
			targetId: 't1', unload: ['a'], load: 'b', reason: 'crowded', fromStore: true, totalMs: 6000, loadMs: 6000, costRequestS: 7,
		}, 0);
		expect({
			reloaded: moves.getUndoneCost('t2', [], 'a', 10_000),
			unloaded: moves.getUndoneCost('t1', ['b'], 'c', 10_000),
			otherCopy: moves.getUndoneCost('t2', ['b'], 'c', 10_000),
			later: moves.getUndoneCost('t1', ['b'], 'a', 20_000),
		}).to.deep.equal({
			reloaded: 7, unloaded: 7, otherCopy: undefined, later: undefined,
		});
	});
});

describe('PlanSchedule', () => {
	const demand = (waiting: number) => [{
		model: 'a', places: 1, waiting, crowded: 0, missingMs: 0,
	}];

	// Guards against a leader that spends its processor time on plans with nothing to do, and against callers who wait for the next whole plan.
	it('plans less often while nothing waits, and missing models in each round', () => {
		const choose = (waiting: number, workCount: number): readonly string[] => {
			const schedule = new PlanSchedule();
			return [0, 100, 200, 300, 400, 500].map(nowMs => {
				const kind = schedule.choosePlan(demand(waiting), [], nowMs);
				schedule.recordPlan(kind, workCount, nowMs);
				return kind;
			});
		};

		expect({quiet: choose(0, 0), working: choose(0, 1), waiting: choose(2, 0)}).to.deep.equal({
			quiet: ['whole', 'none', 'none', 'none', 'none', 'whole'],
			working: ['whole', 'none', 'none', 'whole', 'none', 'none'],
			waiting: ['whole', 'brief', 'brief', 'brief', 'brief', 'whole'],
		});
	});
});
