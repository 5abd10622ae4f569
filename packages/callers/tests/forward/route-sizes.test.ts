import type {TrafficRoute} from '@egretrill/common';
import {expect} from 'chai';
import {RouteSizes} from '../../src/forward/index.js';
import {StreamPace} from '../../src/forward/streams/stream-pace.js';
import {observeTargets} from './support/forward-scenario.js';

const route: TrafficRoute = {
	name: 'chat', hostName: 'a', pathPrefix: '/', repeat: 'once', isStream: true, isResumable: true, isOpen: true, timeoutMs: 10_000, targetLatencyMs: 253, priority: 1, maxAttempts: 2, services: [],
};

describe('RouteSizes', () => {
	// Guards against requests without an estimate that are expected to generate all that they allow, and against an estimate above what a request allows.
	it('expects the estimate of the caller, else the mean of the route, and never more than is allowed', () => {
		const sizes = new RouteSizes();
		const getExpected = (): unknown => [{expectedTokensOut: 90, tokensOut: 500}, {tokensOut: 500}, {expectedTokensOut: 900, tokensOut: 180}, {}].map(call => sizes.getExpected(route, {tokensIn: 100, ...call}).outputEvents?.toFixed(1));
		const before = getExpected();
		for (let i = 0; i < 20; i += 1) {
			sizes.recordStream('chat', {tokensOut: 500, expectedTokensOut: i % 2 === 0 ? 180 : 360}, 30);
		}

		expect({before, after: getExpected()}).toMatchSnapshot();
	});

	// Guards against a plain answer that is expected to take no time.
	it('expects the time of earlier answers that are no streams', () => {
		const sizes = new RouteSizes();
		const plain: TrafficRoute = {
			...route, name: 'balance', isStream: false, repeat: 'idempotent',
		};
		sizes.recordAnswer('balance', 40);
		expect(sizes.getExpected(plain, {})).toMatchSnapshot();
	});
});

describe('a forwarded request', () => {
	const chunks = [1, 2, 3].map(id => `id: ${id}\ndata: x\n\n`);
	const stream = {
		isEventStream: true, chunks, pausesMs: {1: 45, 2: 90}, load: {running: 3, waiting: 0, slowdown: 2.5},
	};

	// Guards against observations of streams that broke off, and against a target whose load is not recorded.
	it('tells the load of its target, and the pace of a complete stream', async () => {
		const options = {route: {isStream: true, isResumable: true}, targets: ['t1']};
		expect({
			complete: await observeTargets({...options, answers: [stream]}),
			broken: await observeTargets({...options, answers: [{...stream, isCut: true}]}),
		}).toMatchSnapshot();
	});
});

describe('StreamPace', () => {
	// Guards against a host that reads several events at once and takes their target for slow.
	it('counts events by their ids', () => {
		const [numbered, unnumbered] = [new StreamPace(), new StreamPace()];
		for (const [atMs, id] of [[100, 1], [190, 3], [235, 4]] as const) {
			numbered.recordChunk(atMs, id);
			unnumbered.recordChunk(atMs, undefined);
		}

		expect([numbered, unnumbered, new StreamPace()].map(({events, durationMs}) => [events, durationMs])).to.deep.equal([[3, 135], [2, 135], [0, 0]]);
	});
});
