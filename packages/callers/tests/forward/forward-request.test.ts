import {expect} from 'chai';
import {countDemand, playRequest} from './support/forward-world.js';

const written = {accepted: true, code: 'ECONNRESET', reason: 'reset'};
const unwritten = {accepted: false, code: 'ECONNREFUSED', reason: 'refused'};
const stream = {isStream: true, isResumable: true, maxAttempts: 2};
const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

describe('forwardRequest', () => {
	// Guards against an order that runs twice, and against a refusal that says "not run" though it may have run.
	it('never repeats a once-only request that may have run', async () => {
		expect([
			await playRequest({answers: [{failure: written}]}),
			await playRequest({answers: [{chunks: ['half'], isCut: true}]}),
			await playRequest({answers: [{isSilent: true}]}),
			await playRequest({answers: [{attemptId: 'another'}]}),
		]).toMatchSnapshot();
	});

	// Guards against a lost order although another target could have taken it.
	it('sends a request that certainly did not run to another target', async () => {
		expect([
			await playRequest({answers: [{failure: unwritten}, {chunks: ['ok']}]}),
			await playRequest({answers: [{status: 503, isNotExecuted: true}, {chunks: ['ok']}]}),
			await playRequest({answers: [{status: 421}, {status: 503, isNotExecuted: true}]}),
			await playRequest({targets: []}),
		]).toMatchSnapshot();
	});

	// Guards against refusals in a zone that is cut off, because the budget for repeats was spent on targets that nothing reached.
	it('tries further targets without the retry budget while none was reached', async () => {
		const unreached = Array.from({length: 4}, () => ({failure: unwritten}));
		expect(await playRequest({targets: ['t1', 't2', 't3', 't4', 't5'], answers: [...unreached, {chunks: ['ok']}]})).toMatchSnapshot();
	});

	// Guards against callers beyond a rate who all come back at the same moment; the times themselves are tested with ReturnTimes.
	it('tells a caller beyond its rate when to return', async () => {
		expect(await playRequest({route: {isOpen: false}, headers: ['key', 'k'], ratePerSecond: 0.1})).toMatchSnapshot();
	});

	// Guards against copies that are loaded for requests beyond a customer's rate, which no copy may serve.
	it('counts no demand beyond a rate', async () => {
		const keyed = {route: {isOpen: false}, headers: ['key', 'k']};
		expect([await countDemand(keyed), await countDemand({...keyed, ratePerSecond: 0.1})]).to.deep.equal([1, 0]);
	});

	// Guards against a failed lookup although a second target would have answered.
	it('repeats an idempotent request up to its attempts', async () => {
		const route = {repeat: 'idempotent', maxAttempts: 2} as const;
		expect([
			await playRequest({route, answers: [{failure: written}, {chunks: ['ok']}]}),
			await playRequest({route, answers: [{status: 500}, {chunks: ['ok']}]}),
			await playRequest({route, answers: [{status: 500}, {status: 500, chunks: ['failed']}]}),
			await playRequest({route: {...route, maxAttempts: 1}, answers: [{failure: written}]}),
		]).toMatchSnapshot();
	});

	// Guards against a success that no target has signed or that answers another request.
	it('passes on no answer that is not the target\'s whole one', async () => {
		expect([
			await playRequest({answers: [{isUnsigned: true, chunks: ['forged']}]}),
			await playRequest({answers: [{status: 404, isUnsigned: true, chunks: ['not found']}]}),
			await playRequest({answers: [{status: 422, chunks: ['invalid']}]}),
			await playRequest({answers: [{status: 503, chunks: ['busy']}]}),
		]).toMatchSnapshot();
	});

	// Guards against missing or repeated events in a stream that goes on at another target.
	it('continues a resumable stream behind its last whole event', async () => {
		expect([
			await playRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1), event(2), 'id: 3\nda'], isCut: true}, {isEventStream: true, chunks: [event(2), event(3)]}]}),
			await playRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1)], isSilent: true}, {isEventStream: true, chunks: [event(2)]}]}),
		]).toMatchSnapshot();
	});

	// Guards against a broken stream that looks complete.
	it('closes the connection of a stream that cannot go on', async () => {
		expect([
			await playRequest({route: {...stream, isResumable: false}, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}]}),
			await playRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}, {status: 503, isNotExecuted: true}]}),
			await playRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1), 'id: 2\n']}, {isEventStream: true, chunks: ['id: 2\n']}]}),
		]).toMatchSnapshot();
	});

	// Guards against work without a key, for a dropped route or before the configuration is known.
	it('refuses what the configuration does not allow', async () => {
		expect([
			await playRequest({isUnconfigured: true}),
			await playRequest({route: {pathPrefix: '/other/'}}),
			await playRequest({route: {isOpen: false}}),
			await playRequest({route: {isOpen: false}, headers: ['key', 'k'], answers: [{chunks: ['ok']}]}),
		]).toMatchSnapshot();
	});

	// Guards against work that goes on for a caller who has left, and against a request without a final answer at its timeout.
	it('ends with the caller and with the time of the route', async () => {
		expect([
			await playRequest({answers: [{isSilent: true}], leavesMs: 300}),
			await playRequest({route: {timeoutMs: 800}, answers: [{isSilent: true}]}),
			await playRequest({headers: ['time', '400'], targets: []}),
		]).toMatchSnapshot();
	});
});
