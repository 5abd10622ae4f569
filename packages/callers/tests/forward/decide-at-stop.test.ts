import {expect} from 'chai';
import {createRandom, type Random} from '@egretrill/common';
import {
	decideAtStop, type RequestDuration, RouteDurations, type StopState,
} from '../../src/forward/index.js';

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

function unsized(durationMs: number): RequestDuration {
	return {durationMs, firstMs: 0, size: {}};
}

/** A request of a simulated route: the most tokens that it allows and those that it takes. */
type Drawn = {readonly allowed: number; readonly taken: number};

const SEED = 46;
const HISTORY_REQUESTS = 128;
const ARRIVALS = 2000;
const STOP_MS = 7500;
const MS_PER_TOKEN = 5;
const MAX_FIRST_MS = 200;

/** Routes of streams whose lengths differ; `named` ones tell the most tokens that they allow. */
const mixes: Readonly<Record<string, {readonly isNamed: boolean; readonly draw: (random: Random) => Drawn}>> = {
	'short ones only': {isNamed: true, draw: () => ({allowed: 50, taken: 50})},
	'3 % are long': {isNamed: true, draw: random => random() < 0.03 ? {allowed: 1000, taken: 1000} : {allowed: 50, taken: 50}},
	'3 % are long and none names its size': {isNamed: false, draw: random => random() < 0.03 ? {allowed: 1000, taken: 1000} : {allowed: 50, taken: 50}},
	'all allow the same, 3 % take it': {isNamed: true, draw: random => ({allowed: 1000, taken: random() < 0.03 ? 1000 : 50})},
	'sizes of all kinds, of which a part is taken': {
		isNamed: true,
		draw(random) {
			const allowed = Math.ceil(20 + (1200 * random()));
			return {allowed, taken: Math.ceil(allowed * (0.2 + (0.8 * random())))};
		},
	},
};

/** Draws the requests of a route before and during a stop, and counts what the decisions make of the latter. */
function playStop(mix: string, route: StopState['route']): Readonly<Record<string, number>> {
	const {isNamed, draw} = mixes[mix]!;
	const random = createRandom(SEED);
	const durations = new RouteDurations();
	const drawRequest = (): RequestDuration => {
		const {allowed, taken} = draw(random);
		const firstMs = MAX_FIRST_MS * random();
		return {durationMs: firstMs + (taken * MS_PER_TOKEN * (0.9 + (0.2 * random()))), firstMs, size: isNamed ? {tokensIn: 700, tokensOut: allowed} : {}};
	};

	for (let i = 0; i < HISTORY_REQUESTS; i++) {
		durations.record('r', drawRequest());
	}

	const counts = {
		whole: 0, cutOff: 0, refusedInTime: 0, refusedLate: 0,
	};
	for (let i = 0; i < ARRIVALS; i++) {
		const {durationMs, size} = drawRequest();
		const stopLeftMs = STOP_MS * random();
		const {isServed} = decideAtStop({
			route, stopLeftMs, requestLeftMs: 12_000, ranMs: 0, observed: durations.getObserved('r', size),
		});
		const isInTime = durationMs <= stopLeftMs;
		const outcome = isServed ? (isInTime ? 'whole' : 'cutOff') : (isInTime ? 'refusedInTime' : 'refusedLate');
		counts[outcome] += 1;
	}

	return counts;
}

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

describe('the decisions during a stop', () => {
	// Guards against long streams that a stop cuts off since most of their route are short, and against refusals of those that would have ended.
	for (const mix of Object.keys(mixes)) {
		it(`cut off no stream where the past of the route shows how long it may take: ${mix}`, () => {
			const counts = {resumable: playStop(mix, resumable), once: playStop(mix, stream)};
			expect([counts.resumable.cutOff, counts.once.cutOff]).to.deep.equal([0, 0]);
			expect(counts).toMatchSnapshot();
		});
	}
});

describe('RouteDurations', () => {
	// Guards against an expectation that old requests, or those of another route, determine.
	it('knows a high quantile of the latest durations of each route', () => {
		const durations = new RouteDurations();
		for (let ms = 1; ms <= 1000; ms++) {
			durations.record('a', unsized(ms % 200));
		}

		durations.record('b', unsized(5));
		expect([durations.getObserved('a'), durations.getObserved('b'), durations.getObserved('unknown')]).toMatchSnapshot();
	});

	// Guards against a record that grows with each route that a configuration ever had.
	it('forgets the routes that were not used for the longest time', () => {
		const durations = new RouteDurations();
		for (let route = 0; route < 2000; route++) {
			durations.record(`r${route}`, unsized(1));
			durations.record('used', unsized(1));
		}

		expect(['r0', 'r1500', 'used'].map(route => durations.getObserved(route).count)).to.deep.equal([0, 1, 1 + 127]);
	});
});
