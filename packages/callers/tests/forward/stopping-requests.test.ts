import {expect} from 'chai';
import {
	listAttempts, observeDuration, runStoppedRequest, type ScenarioOptions,
} from './support/forward-scenario.js';

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;
const failedAfterSend = {accepted: true, code: 'ECONNRESET', reason: 'reset'};
const resumable = {isStream: true, isResumable: true, timeoutMs: 20_000};
/** Durations of enough requests that took about a second. */
const history = Array.from({length: 30}, () => 1000);

const rows: Readonly<Record<string, ScenarioOptions>> = {
	'a request that waits in the queue when the stop begins': {
		targets: ['t1'], freeAfterMs: {t1: 300}, stop: {afterMs: 100, durationMs: 500}, route: {timeoutMs: 10_000},
	},
	'a request that waits in the queue and is expected to end': {
		targets: ['t1'], freeAfterMs: {t1: 100}, stop: {afterMs: 100, durationMs: 5000}, history, answers: [{headDelayMs: 1000, chunks: ['ok']}],
	},
	'a request in flight that ends in time': {
		stop: {afterMs: 100, durationMs: 2000}, answers: [{headDelayMs: 1500, chunks: ['ok']}],
	},
	'a request in flight that does not end in time': {
		stop: {afterMs: 100, durationMs: 500}, answers: [{headDelayMs: 1500, chunks: ['ok']}],
	},
	'a second attempt that is expected to end': {
		route: {repeat: 'idempotent'}, history, stop: {afterMs: 100, durationMs: 5000}, answers: [{headDelayMs: 300, failure: failedAfterSend}, {chunks: ['ok']}],
	},
	'a second attempt that is not expected to end': {
		route: {repeat: 'idempotent'}, history, stop: {afterMs: 100, durationMs: 1200}, answers: [{headDelayMs: 300, failure: failedAfterSend}, {chunks: ['ok']}],
	},
	'a second attempt after one that did not run': {
		history, stop: {afterMs: 100, durationMs: 1200}, answers: [{headDelayMs: 300, failure: {...failedAfterSend, accepted: false}}, {chunks: ['ok']}],
	},
	'the rest of a stream that is expected to end': {
		route: resumable, history, stop: {afterMs: 100, durationMs: 5000}, answers: [{
			isEventStream: true, chunks: [event(1), event(2)], pausesMs: {1: 300}, isCut: true,
		}, {isEventStream: true, chunks: [event(3)]}],
	},
	'the rest of a stream that is not expected to end': {
		route: resumable, history, stop: {afterMs: 100, durationMs: 700}, answers: [{
			isEventStream: true, chunks: [event(1), event(2)], pausesMs: {1: 300}, isCut: true,
		}, {isEventStream: true, chunks: [event(3)]}],
	},
	'a silent stream that goes on at another target': {
		route: resumable, history, stop: {afterMs: 100, durationMs: 5000}, answers: [{isEventStream: true, chunks: [event(1)], isSilent: true}, {isEventStream: true, chunks: [event(2)]}],
	},
	'a silent stream that would not end at another target': {
		route: resumable, history, stop: {afterMs: 100, durationMs: 1400}, answers: [{isEventStream: true, chunks: [event(1), event(2)], pausesMs: {1: 1300}}, {isEventStream: true, chunks: [event(2)]}],
	},
};

describe('forwardRequest during a planned stop', () => {
	// Guards against an attempt that the end of the stop cuts off, and against a refusal that says "not run" of a request that may have run.
	for (const [name, opts] of Object.entries(rows)) {
		it(`answers truly: ${name}`, async () => {
			expect(await runStoppedRequest(opts)).toMatchSnapshot();
		});
	}
});

const pausing = {isEventStream: true, chunks: [event(1), event(2)], pausesMs: {1: 3000}};
/** Requests that this host ends before their target does, and one that its target ends. */
const ends: Readonly<Record<string, ScenarioOptions>> = {
	'the stop': {route: {isStream: true, timeoutMs: 10_000}, stop: {afterMs: 100, durationMs: 500}, answers: [pausing]},
	'a stop in which its second attempt was expected to end': {
		route: {repeat: 'idempotent', timeoutMs: 10_000}, history, stop: {afterMs: 100, durationMs: 5000}, answers: [{headDelayMs: 300, failure: failedAfterSend}, {headDelayMs: 9000, chunks: ['ok']}],
	},
	'its time limit': {route: {isStream: true, timeoutMs: 1000}, answers: [pausing]},
	'its caller': {route: {isStream: true}, disconnectsAfterMs: 500, answers: [pausing]},
	'its target': {route: {isStream: true}, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}]},
};

describe('the log of a request without a whole answer', () => {
	// Guards against an end by this host that is told as one by the target, so that nobody looks for its cause here.
	it('names who ended it, and what a stop had expected of it', async () => {
		const told: Record<string, unknown> = {};
		for (const [end, opts] of Object.entries(ends)) {
			const {stopEstimate} = await runStoppedRequest(opts) as {stopEstimate?: unknown};
			told[end] = {attempts: await listAttempts(opts), ...(stopEstimate !== undefined && {stopEstimate})};
		}

		expect(told).toMatchSnapshot();
	});
});

describe('the observed durations of a route', () => {
	// Guards against targets that fail fast and make a stopping host pass on requests that it has to cut off.
	it('are those of answers without a server error', async () => {
		const headDelayMs = 300;
		expect([
			await observeDuration({answers: [{headDelayMs, chunks: ['ok']}]}),
			await observeDuration({answers: [{headDelayMs, status: 404, chunks: ['unknown']}]}),
			await observeDuration({answers: [{headDelayMs, status: 500, chunks: ['failed']}]}),
			await observeDuration({answers: [{headDelayMs, chunks: ['part'], isCut: true}]}),
		]).to.deep.equal([1, 1, 0, 0].map(count => ({count, highMs: count * headDelayMs, longestMs: count * headDelayMs})));
	});
});
