import {expect} from 'chai';
import {decideAtStop, RouteDurations, type StopState} from '../../src/forward/index.js';

const once = {
	repeat: 'once', isStream: false, isResumable: false, targetLatencyMs: 500,
} as const;
const idempotent = {...once, repeat: 'idempotent'} as const;
const stream = {...once, isStream: true} as const;
const resumable = {...stream, isResumable: true} as const;

const none = {count: 0, highMs: 0, longestMs: 0};
const few = {count: 3, highMs: 40, longestMs: 40};
const fast = {count: 100, highMs: 20, longestMs: 60};
const slow = {count: 100, highMs: 1200, longestMs: 2000};

const base: StopState = {
	route: once, stopLeftMs: 7500, requestLeftMs: 10_000, ranMs: 0, observed: none,
};

const rows: Readonly<Record<string, Partial<StopState>>> = {
	'a request of unknown duration that must not be repeated': {},
	'one whose own time limit ends first': {requestLeftMs: 7000},
	'one whose own time limit ends just before': {requestLeftMs: 7401},
	'one whose own time limit is over, at the end': {requestLeftMs: -100, stopLeftMs: 0},
	'an idempotent request of unknown duration, at the signal': {route: idempotent},
	'an idempotent request of unknown duration, late': {route: idempotent, stopLeftMs: 800},
	'a resumable stream of unknown duration': {route: resumable},
	'a request with few known durations, at the signal': {observed: few},
	'a request with few known durations, late': {observed: few, stopLeftMs: 1500},
	'a fast request that must not be repeated, 220 ms before the end': {observed: fast, stopLeftMs: 220},
	'a fast request that must not be repeated, 150 ms before the end': {observed: fast, stopLeftMs: 150},
	'a fast idempotent request, 150 ms before the end': {route: idempotent, observed: fast, stopLeftMs: 150},
	'a fast idempotent request, 60 ms before the end': {route: idempotent, observed: fast, stopLeftMs: 60},
	'a fast idempotent request, at the end': {route: idempotent, observed: fast, stopLeftMs: 0},
	'a slow stream that cannot be resumed, 3 s before the end': {route: stream, observed: slow, stopLeftMs: 3000},
	'a slow stream that cannot be resumed, at the signal': {route: stream, observed: slow},
	'a slow resumable stream, 3 s before the end': {route: resumable, observed: slow, stopLeftMs: 3000},
	'the rest of a slow stream': {
		route: resumable, observed: slow, stopLeftMs: 1000, ranMs: 1000,
	},
	'the rest of a slow stream, late': {
		route: resumable, observed: slow, stopLeftMs: 500, ranMs: 5000,
	},
};

describe('decideAtStop', () => {
	// Guards against a request that is cut off by the stop of its host, and against the refusal of one that would have ended.
	for (const [name, changes] of Object.entries(rows)) {
		it(`decides whether a stopping host serves ${name}`, () => {
			expect(decideAtStop({...base, ...changes})).toMatchSnapshot();
		});
	}
});

describe('RouteDurations', () => {
	// Guards against an expectation that old requests, or those of another route, determine.
	it('knows a high quantile of the latest durations of each route', () => {
		const durations = new RouteDurations();
		for (let ms = 1; ms <= 1000; ms++) {
			durations.record('a', ms % 200);
		}

		durations.record('b', 5);
		expect([durations.getObserved('a'), durations.getObserved('b'), durations.getObserved('unknown')]).toMatchSnapshot();
	});

	// Guards against a record that grows with each route that a configuration ever had.
	it('forgets the routes that were not used for the longest time', () => {
		const durations = new RouteDurations();
		for (let route = 0; route < 2000; route++) {
			durations.record(`r${route}`, 1);
			durations.record('used', 1);
		}

		expect(['r0', 'r1500', 'used'].map(route => durations.getObserved(route).count)).to.deep.equal([0, 1, 1 + 127]);
	});
});
