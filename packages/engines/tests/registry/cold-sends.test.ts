import {createRandom, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	COLD_GRANT_TTL_MS, ColdGrants, TargetTable, type TargetRequirements,
} from '../../src/registry/index.js';

/** Requests that a cold target is known to bear per second, of which hosts may send 1.2 times as many, and that end it: 1.5 times and 5 more. */
const COLD_PER_SECOND = 18;
const FLEET_RATE = COLD_PER_SECOND * 1.2;
const MAX_PER_SECOND = (COLD_PER_SECOND * 1.5) + 5;
const CALL_MS = 4;
/** Time from a call that was not granted to the next one. */
const REPEAT_MS = 300;
const STEP_MS = 25;
/** Time for which a request runs at a warm target. */
const RUN_MS = 1000;
const SPAN_MS = 9000;
const SEED_COUNT = 4;
const MIN_LAG_MS = 100;
const MAX_LAG_MS = 600;
const requirements: TargetRequirements = {service: 's', parts: [], tried: new Set()};

type Demand = {
	readonly hostCount: number;
	readonly wantingHosts: number;
	readonly fromMs: number;
	readonly hasLeader: boolean;
	readonly seed: number;
	/** Time at which a target that was warm is back after its process has ended; hosts learn of the new process up to `MAX_LAG_MS` later. */
	readonly backMs?: number;
	/** Requests per second that come to all hosts together; without it, each of them always has one waiting. */
	readonly perSecond?: number;
	/** Time at which the process of a warm target ends, seen only by requests that are in flight or are sent before `backMs`. */
	readonly endMs?: number;
	/** Whether the registration of the process that has ended is gone before the next one arrives. */
	readonly isRemovedFirst?: boolean;
	/** Time at which the zone of a target that has just become cold returns to service; its next registration comes up to `MAX_LAG_MS` later. */
	readonly returnMs?: number;
	/** Time from one change of the leader to the next. */
	readonly termMs?: number;
};

/** Hosts that send requests to one cold target as soon as they may, and their leader. */
class ColdFleet {
	/** Sends by what they were based on. */
	readonly bases: Record<string, number> = {};
	private readonly clock = new ManualClock();
	private readonly tables: readonly TargetTable[];
	private grants = new ColdGrants(this.clock);
	private readonly waiting = new Map<TargetTable, number>();
	private readonly lastSentMs = new Map<TargetTable, number>();
	private readonly random;
	private readonly nextCallMs = new Map<TargetTable, number>();
	private readonly learnMs = new Map<TargetTable, number>();
	private readonly sentMs: number[] = [];

	constructor(private readonly demand: Demand) {
		const {returnMs, backMs = returnMs, hostCount, seed} = demand;
		const random = createRandom(seed);
		this.random = random;
		this.clock.advance(60_000);
		this.tables = Array.from({length: hostCount}, () => new TargetTable({
			clock: this.clock, random, zone: 'a', getColdRate: () => FLEET_RATE / hostCount, getBatchSlots: () => 1000, onColdSends: (basis, count) => {
				this.bases[basis] = (this.bases[basis] ?? 0) + count;
			},
		}));
		for (const table of this.tables) {
			table.setZonesOutOfService(returnMs === undefined ? [] : ['a']);
			this.register(table, 1, backMs === undefined ? 2 * SPAN_MS : 0);
			this.learnMs.set(table, (backMs ?? Number.POSITIVE_INFINITY) + MIN_LAG_MS + (random() * (MAX_LAG_MS - MIN_LAG_MS)));
		}
	}

	/** Runs the fleet; returns the most requests within one second, and the mean per second. */
	run(): {readonly most: number; readonly perSecond: number} {
		const {fromMs, wantingHosts} = this.demand;
		this.clock.advance(fromMs);
		for (let elapsedMs = fromMs; elapsedMs < SPAN_MS; elapsedMs += STEP_MS) {
			this.clock.advance(STEP_MS);
			this.step(elapsedMs);
			for (const table of this.tables.slice(0, wantingHosts)) {
				this.learn(table, elapsedMs);
				this.send(table, elapsedMs);
			}
		}

		const most = Math.max(0, ...this.sentMs.map(startMs => this.sentMs.filter(atMs => atMs >= startMs && atMs < startMs + 1000).length));
		return {most, perSecond: Math.round(this.sentMs.length * 1000 / (SPAN_MS - fromMs))};
	}

	private step(elapsedMs: number): void {
		const {endMs, hostCount, perSecond, returnMs, termMs} = this.demand;
		if (termMs !== undefined && elapsedMs % termMs === 0) {
			this.grants = new ColdGrants(this.clock);
		}

		for (const table of this.tables) {
			const isNew = perSecond === undefined || this.random() < perSecond * STEP_MS / 1000 / hostCount;
			this.waiting.set(table, perSecond === undefined ? 1 : (this.waiting.get(table) ?? 0) + Number(isNew));
			if (elapsedMs === returnMs) {
				table.setZonesOutOfService([]);
			}

			if (elapsedMs === endMs && elapsedMs - (this.lastSentMs.get(table) ?? 0) < RUN_MS) {
				table.recordEnd({targetId: 'cold', startedAtMs: 1});
			}
		}
	}

	private register(table: TargetTable, startedAtMs: number, coldForMs: number): void {
		table.update({
			origin: 'r', revision: startedAtMs, isWhole: true, targets: [{
				ageMs: 0, hasEnded: false, registration: {
					targetId: 'cold', startedAtMs, sequence: 1, service: 's', address: 'cold:1', zone: 'a', slots: 4, isLeaving: false, coldForMs, models: [], inMemory: [], onDisk: [],
				},
			}],
		});
	}

	private learn(table: TargetTable, elapsedMs: number): void {
		if (elapsedMs >= (this.learnMs.get(table) ?? 0)) {
			this.learnMs.set(table, Number.POSITIVE_INFINITY);
			table.update({
				origin: 'r', revision: 1, isWhole: this.demand.isRemovedFirst ?? false, targets: [],
			});
			this.register(table, this.demand.returnMs === undefined ? 2 : 1, 2 * SPAN_MS);
		}
	}

	private send(table: TargetTable, elapsedMs: number): void {
		if ((this.waiting.get(table) ?? 0) === 0) {
			return;
		}

		const choice = table.choose(requirements);
		const nowMs = this.clock.now();
		if (choice.kind === 'target') {
			const {backMs = 0, endMs = 0} = this.demand;
			const isUp = elapsedMs >= backMs || elapsedMs < endMs;
			this.waiting.set(table, (this.waiting.get(table) ?? 0) - Number(isUp));
			this.lastSentMs.set(table, elapsedMs);
			table.acquireSlot(choice.targetId, requirements)?.release(isUp ? 'answered' : 'unreachable');
			this.sentMs.push(...elapsedMs >= backMs ? [nowMs] : []);
		} else if (this.demand.hasLeader && nowMs >= (this.nextCallMs.get(table) ?? 0)) {
			const isGranted = this.grants.grant([{targetId: 'cold', perSecond: FLEET_RATE}]).length > 0;
			this.nextCallMs.set(table, nowMs + (isGranted ? CALL_MS : REPEAT_MS));
			if (isGranted) {
				table.grantColdSend('cold', nowMs + COLD_GRANT_TTL_MS);
			}
		}
	}
}

const restarts = [
	{downMs: 50, isRemovedFirst: false}, {downMs: 50, isRemovedFirst: true}, {downMs: 600, isRemovedFirst: false}, {downMs: 600, isRemovedFirst: true},
];

function play(demand: Omit<Demand, 'seed'>): {readonly most: number; readonly perSecond: number} {
	const results = Array.from({length: SEED_COUNT}, (_, seed) => new ColdFleet({...demand, seed}).run());
	return {
		most: Math.max(...results.map(({most}) => most)),
		perSecond: Math.round(results.reduce((sum, {perSecond}) => sum + perSecond, 0) / results.length),
	};
}

describe('Hosts that share what a cold target bears', () => {
	for (const hostCount of [8, 18, 71, 80, 195]) {
		// Guards against hosts that each keep the right to a request to a cold target nobody chooses, and all use it in the second in which a burst begins.
		it(`do not overrun it, whenever they want it: ${hostCount} hosts`, () => {
			const cases = [0, 2000, 6000].flatMap(fromMs => [true, false].map(hasLeader => ({fromMs, hasLeader})));
			const played = cases.map(item => ({...item, ...play({...item, hostCount, wantingHosts: hostCount})}));
			expect(played.filter(({most}) => most > MAX_PER_SECOND)).to.deep.equal([]);
			expect(played).toMatchSnapshot();
		});
	}

	// Guards against a target that comes back cold to hosts with waiting requests, which do not know yet that its process is another one.
	it('do not overrun one that has just come back', () => {
		const played = [18, 71, 195].map(hostCount => ({
			hostCount, ...play({
				hostCount, wantingHosts: hostCount, fromMs: 0, hasLeader: true, backMs: 4500,
			}),
		}));
		expect(played.filter(({most}) => most > MAX_PER_SECOND)).to.deep.equal([]);
		expect(played).toMatchSnapshot();
	});

	// Guards against hosts that send all that a cold target bears within one second twice: to a process that they have not been told of, and after its registration.
	it('do not overrun one that restarts unseen by most of them', () => {
		const cases = [3, 7, 18, 71, 195].flatMap(hostCount => restarts.map(restart => ({hostCount, asked: 60, ...restart})));
		const played = [...cases, {
			hostCount: 195, asked: 100, downMs: 300, isRemovedFirst: false,
		}].map(({hostCount, asked, downMs, isRemovedFirst}) => ({
			hostCount, asked, downMs, isRemovedFirst, ...play({
				hostCount, wantingHosts: hostCount, fromMs: 0, hasLeader: true, perSecond: asked, endMs: 3000, backMs: 3000 + downMs, isRemovedFirst,
			}),
		}));
		expect(played.filter(({most}) => most > MAX_PER_SECOND)).to.deep.equal([]);
		expect(played).toMatchSnapshot();
	});

	// Guards against hosts that all send to the targets of a zone at its return to service, before they know that these have just become cold.
	it('do not overrun one whose zone returns to service', () => {
		const played = [3, 18, 71, 195].map(hostCount => ({
			hostCount, ...play({
				hostCount, wantingHosts: hostCount, fromMs: 0, hasLeader: true, returnMs: 3000, perSecond: 60,
			}),
		}));
		expect(played.filter(({most}) => most > MAX_PER_SECOND)).to.deep.equal([]);
		expect(played).toMatchSnapshot();
	});

	// Guards against a new leader that grants what its predecessor has granted in the same second.
	it('do not overrun it while the leader changes', () => {
		const played = [71, 195].flatMap(hostCount => [1000, 1500].map(termMs => ({
			hostCount, termMs, ...play({
				hostCount, wantingHosts: hostCount, fromMs: 0, hasLeader: true, termMs,
			}),
		})));
		expect(played.filter(({most}) => most > MAX_PER_SECOND)).to.deep.equal([]);
		expect(played).toMatchSnapshot();
	});

	// Guards against a record that does not tell a restart that hosts have not noticed from parts or grants that add up.
	it('count what they were based on', () => {
		expect([3, 71].map(hostCount => {
			const fleet = new ColdFleet({
				hostCount, wantingHosts: hostCount, fromMs: 0, hasLeader: true, perSecond: 40, endMs: 3000, backMs: 3050, seed: 1,
			});
			fleet.run();
			return fleet.bases;
		})).toMatchSnapshot();
	});

	// Guards against a cold target, the only one that holds a model, that stays nearly unused since its requests come to few of many hosts.
	it('leave most of it to the few that want it', () => {
		expect([1, 4].map(wantingHosts => play({
			hostCount: 71, wantingHosts, fromMs: 2000, hasLeader: true,
		}))).toMatchSnapshot();
	});
});
