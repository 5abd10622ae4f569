import {createRandom, ManualClock, type Random} from '@egretrill/common';
import {expect} from 'chai';
import {
	estimateCompletion, getHostPreference, getTotalMs, HostSpeeds, MAX_TARGETS, type RequestWork, SpeedMerger, type SpeedObservation, SpeedUpdates, type TargetState,
} from '../../src/registry/index.js';

const TARGETS = 78;
const MODELS = 242;
const MODELS_PER_TARGET = 3;
const STREAMS_PER_SECOND = 480;
const LIGHT_PACE = 0.13;

/** Observes streams of a second; most models have a single copy, and every fifth one is light. */
function observe(random: Random, speeds: readonly number[]): SpeedObservation[] {
	return Array.from({length: STREAMS_PER_SECOND}, () => {
		const target = Math.floor(random() * TARGETS);
		const model = ((target * MODELS_PER_TARGET) + Math.floor(random() * MODELS_PER_TARGET)) % MODELS;
		const disturbedPart = random() < 0.15 ? 0.5 : 0;
		const paceMs = 45 * (model % 5 === 0 ? LIGHT_PACE : 1) / speeds[target % speeds.length]! * (1 + (1.5 * disturbedPart));
		return {
			targetId: `t${target}`, startedAtMs: 1, model: `m${model}`, count: 1, logSum: Math.log(paceMs),
		};
	});
}

/** Largest relative error of the speeds after some seconds of traffic, and how many targets have one. */
function measure(speeds: readonly number[], seconds: number): unknown {
	const clock = new ManualClock();
	const merger = new SpeedMerger(clock);
	const random = createRandom(3);
	for (let second = 0; second < seconds; second += 1) {
		merger.record('s', observe(random, speeds));
		clock.advance(1000);
	}

	const mean = Array.from({length: TARGETS}, (_, i) => speeds[i % speeds.length]!).reduce((sum, speed) => sum + speed, 0) / TARGETS;
	const known = merger.list();
	const errors = known.map(({targetId, speed}) => Math.abs(Math.log(speed * mean / speeds[Number(targetId.slice(1)) % speeds.length]!))).toSorted((a, b) => a - b);
	const spread = merger.listSpreads()[0]!;
	return {
		targets: known.length, medianError: errors[Math.floor(errors.length / 2)]?.toFixed(2), worstError: errors.at(-1)?.toFixed(2), spread: spread.spread.toFixed(2), differs: spread.differs,
	};
}

const work: RequestWork = {promptTokens: 400, outputMs: 1400, targetLatencyMs: 253};
const target: TargetState = {
	speed: 1, slowdown: 1, slowdownAgeMs: 0, ownRequests: 0, otherRequests: 4, slots: 12, cachedTokens: 0, preference: 0.5, hasIdleConnection: true,
};

/** Expected time at a target, in milliseconds. */
function price(changes: Partial<TargetState>, request: Partial<RequestWork> = {}): number {
	return Math.round(getTotalMs(estimateCompletion({...work, ...request}, {...target, ...changes})));
}

describe('Speeds of targets', () => {
	// Guards against light models that make their target look fast, and against speeds that take minutes to learn.
	it('are known within seconds where most models have one copy', () => {
		expect({second: measure([0.6, 1, 1.6], 1), seconds: measure([0.6, 1, 1.6], 3), bookshop: measure([1, 1, 1.3], 4)}).toMatchSnapshot();
	});

	// Guards against choices by differences that are only the noise of disturbances.
	it('do not count where targets are equally fast', () => {
		expect([measure([1], 1), measure([1], 4)]).toMatchSnapshot();
	});

	// Guards against polls that carry all speeds each time, and against the speed of an earlier process.
	it('are told to a host once, and start anew with a process', () => {
		const clock = new ManualClock();
		const merger = new SpeedMerger(clock);
		const updates = new SpeedUpdates();
		const host = new HostSpeeds(clock);
		merger.record('s', observe(createRandom(3), [0.6, 1, 1.6]));
		updates.publish(merger.list());
		const first = updates.getUpdate(host.getKnown())!;
		host.apply(first);
		updates.publish(merger.list());
		const repeated = updates.getUpdate(host.getKnown());
		clock.advance(1000);
		merger.record('s', [{
			targetId: 't2', startedAtMs: 2, model: 'm6', count: 1, logSum: 3,
		}]);
		updates.publish(merger.list());
		const second = updates.getUpdate(host.getKnown())!;
		host.apply(second);
		expect({
			first: first.changed.length, repeated, restarted: second.changed.find(({targetId}) => targetId === 't2'), old: host.getSpeed('t2', 1), fresh: host.getSpeed('t2', 2), other: host.getSpeed('t5', 1)?.toFixed(1), asNewLeader: new SpeedUpdates().getUpdate(host.getKnown())?.changed,
		}).toMatchSnapshot();
	});

	// Guards against an update that exceeds the schema of its message, which the host would refuse with the whole answer for the rest of the term.
	it('are told of a bounded number of targets, however many there were in a term', () => {
		const updates = new SpeedUpdates();
		for (let round = 0; round < 3; round += 1) {
			updates.publish(Array.from({length: MAX_TARGETS / 2}, (_, i) => ({targetId: `t${round}-${i}`, startedAtMs: 1, speed: 1.6})));
		}

		updates.publish([{targetId: 'late', startedAtMs: 1, speed: 0.6}]);
		const {changed} = (updates.getUpdate(undefined)!);
		expect({isBounded: changed.length <= MAX_TARGETS, latest: changed.at(-1)?.targetId}).to.deep.equal({isBounded: true, latest: 'late'});
	});

	// Guards against the speed of a target that was forgotten, which would be told to hosts for the rest of the term.
	it('are dropped with their target', () => {
		const clock = new ManualClock();
		const merger = new SpeedMerger(clock);
		merger.record('s', observe(createRandom(3), [0.6, 1, 1.6]));
		const before = merger.list().length;
		merger.record('s', Array.from({length: MAX_TARGETS}, (_, i) => ({
			targetId: `new${i}`, startedAtMs: 1, model: 'm', count: 1, logSum: 4,
		})));
		clock.advance(1000);
		expect({before: before > 0, old: merger.list().filter(({targetId}) => targetId.startsWith('t')).length}).to.deep.equal({before: true, old: 0});
	});

	// Guards against speeds of an earlier leader that are used after the targets have become equally fast, which a new leader never tells.
	it('of an earlier leader expire unless the new one confirms them while it reports', () => {
		const clock = new ManualClock();
		const host = new HostSpeeds(clock);
		host.apply({origin: 'a', revision: 1, changed: [{targetId: 't0', startedAtMs: 1, speed: 0.6}, {targetId: 't1', startedAtMs: 1, speed: 1.6}]});
		const list = (): unknown => ['t0', 't1'].map(id => host.getSpeed(id, 1));
		clock.advance(60_000);
		const withoutLeader = list();
		host.recordPlan();
		host.apply({origin: 'b', revision: 1, changed: [{targetId: 't1', startedAtMs: 1, speed: 1.5}]});
		clock.advance(29_000);
		host.recordPlan();
		const inherited = list();
		clock.advance(2000);
		const unheard = list();
		host.recordPlan();
		expect({
			withoutLeader, inherited, unheard, expired: list(), merged: host.listMerged(),
		}).to.deep.equal({
			withoutLeader: [0.6, 1.6], inherited: [0.6, 1.5], unheard: [0.6, 1.5], expired: [undefined, 1.5], merged: [1.5],
		});
	});

	// Guards against a host without a leader that sends streams to slow targets.
	it('are learned by a host alone, where targets report their current speed', () => {
		const clock = new ManualClock();
		const [active, inactive] = [new HostSpeeds(clock), new HostSpeeds(clock)];
		active.recordSlowdown('s', 1);
		for (const host of [active, inactive]) {
			for (let i = 0; i < 60; i += 1) {
				host.recordStream({
					service: 's', targetId: `t${i % 3}`, startedAtMs: 1, model: 'm', events: 30, durationMs: 1350 / [0.6, 1, 1.6][i % 3]!, slowdown: 1,
				});
			}
		}

		clock.advance(10_000);
		const list = (host: HostSpeeds): unknown => ['t0', 't1', 't2'].map(id => host.getSpeed(id, 1)?.toFixed(2));
		expect({
			active: list(active), paceMs: active.getPaceMs('s', 'm')?.toFixed(0), inactive: list(inactive), reported: [active.collect()[0]?.[1].length, inactive.collect().length],
		}).toMatchSnapshot();
	});
});

describe('The expected completion of a request', () => {
	// Guards against a current speed that is used after it was redrawn.
	it('counts the current speed only while the report is fresh', () => {
		expect([0, 300, 600, 5000].map(slowdownAgeMs => price({slowdown: 2.5, slowdownAgeMs}))).toMatchSnapshot();
	});

	// Guards against a fast target whose last slots go to requests that could run at a slow one.
	it('sends requests that can bear it to slow targets when the fast ones are nearly full', () => {
		const chooses = (otherRequests: number, request: Partial<RequestWork>): string => price({speed: 1.6, otherRequests}, request) <= price({speed: 0.6}, request) ? 'fast' : 'slow';
		const kinds = {chat: {}, digest: {targetLatencyMs: 5000}, label: {outputMs: 180}};
		expect(Object.fromEntries(Object.entries(kinds).map(([kind, request]) => [kind, [2, 6, 8, 10, 12].map(others => chooses(others, request))]))).toMatchSnapshot();
	});

	// Guards against a cached prompt or an open connection that outweighs a long wait, or counts for nothing.
	it('weighs cached prompts, connections and the preference of the host', () => {
		expect({
			plain: price({}), cached: price({cachedTokens: 400}), unconnected: price({hasIdleConnection: false}), preferred: price({preference: 1}), unpreferred: price({preference: 0}),
		}).toMatchSnapshot();
	});
});

describe('The preference of hosts', () => {
	// Guards against hosts that prefer the same targets.
	it('spreads hosts over targets', () => {
		const favourites = new Map<number, number>();
		for (let host = 0; host < 700; host += 1) {
			const preferences = Array.from({length: 10}, (_, i) => getHostPreference(`h${host}`, `t${i}`));
			const favourite = preferences.indexOf(Math.max(...preferences));
			favourites.set(favourite, (favourites.get(favourite) ?? 0) + 1);
		}

		expect([...favourites.values()].every(count => count > 45 && count < 100)).to.equal(true);
	});
});
