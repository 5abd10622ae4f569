import {expect} from 'chai';
import {
	countDemand, listBegun, runFailingRequest, runRequest,
} from './support/forward-scenario.js';

const failedAfterSend = {accepted: true, code: 'ECONNRESET', reason: 'reset'};
const failedBeforeSend = {accepted: false, code: 'ECONNREFUSED', reason: 'refused'};
const stream = {isStream: true, isResumable: true, maxAttempts: 2};
const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

describe('forwardRequest', () => {
	// Guards against a once-only request that runs twice, and against a "not run" refusal of a request that may have run.
	it('never retries a once-only request that may have run', async () => {
		expect([
			await runRequest({answers: [{failure: failedAfterSend}]}),
			await runRequest({answers: [{chunks: ['half'], isCut: true}]}),
			await runRequest({answers: [{isSilent: true}]}),
			await runRequest({answers: [{attemptId: 'another'}]}),
		]).toMatchSnapshot();
	});

	// Guards against the loss of a request that another target could have served.
	it('sends a request that certainly did not run to another target', async () => {
		expect([
			await runRequest({answers: [{failure: failedBeforeSend}, {chunks: ['ok']}]}),
			await runRequest({answers: [{status: 503, isNotExecuted: true}, {chunks: ['ok']}]}),
			await runRequest({answers: [{status: 421}, {status: 503, isNotExecuted: true}]}),
			await runRequest({targets: []}),
		]).toMatchSnapshot();
	});

	// Guards against refusals in a zone that is cut off because the retry budget was used up by unreachable targets.
	it('tries further targets without using the retry budget while none was reached', async () => {
		const unreached = Array.from({length: 4}, () => ({failure: failedBeforeSend}));
		expect(await runRequest({targets: ['t1', 't2', 't3', 't4', 't5'], answers: [...unreached, {chunks: ['ok']}]})).toMatchSnapshot();
	});

	// Guards against sound targets that rank last because this host ran out of file descriptors or ports.
	it('holds no shortage of its own against a target', async () => {
		const failure = {accepted: false, code: 'EMFILE', reason: 'too many open files'};
		expect(await runRequest({answers: [{failure}, {chunks: ['ok']}]})).toMatchSnapshot();
	});

	// Guards against simultaneous retries of callers over a rate; the retry times themselves are tested with RetrySchedule.
	it('gives a caller over its rate a retry time', async () => {
		expect(await runRequest({route: {isOpen: false}, headers: ['key', 'k'], ratePerSecond: 0.1})).toMatchSnapshot();
	});

	// Guards against loading copies for requests over a customer's rate, which no copy may serve.
	it('counts no demand for requests over a rate', async () => {
		const keyed = {route: {isOpen: false}, headers: ['key', 'k']};
		expect([await countDemand(keyed), await countDemand({...keyed, ratePerSecond: 0.1})]).to.deep.equal([1, 0]);
	});

	// Guards against a request that is billed again at the host where its caller resumes the stream.
	it('counts a request as begun once, and not again when its caller resumes it', async () => {
		const opts = {
			route: {...stream, isOpen: false}, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}, {isEventStream: true, lastId: 4}],
		};
		const begun = await listBegun({...opts, headers: ['key', 'k']});
		const resumed = await listBegun({...opts, headers: ['key', 'k', 'last', '2']});
		expect({begun, resumed}).to.deep.equal({begun: ['c'], resumed: []});
	});

	// Guards against the failure of an idempotent request that a second target would have answered.
	it('retries an idempotent request up to its maximum attempts', async () => {
		const route = {repeat: 'idempotent', maxAttempts: 2} as const;
		expect([
			await runRequest({route, answers: [{failure: failedAfterSend}, {chunks: ['ok']}]}),
			await runRequest({route, answers: [{status: 500}, {chunks: ['ok']}]}),
			await runRequest({route, answers: [{status: 500}, {status: 500, chunks: ['failed']}]}),
			await runRequest({route: {...route, maxAttempts: 1}, answers: [{failure: failedAfterSend}]}),
		]).toMatchSnapshot();
	});

	// Guards against relaying an answer that is not signed by a target or that belongs to another request.
	it('relays only complete answers of the target to this request', async () => {
		expect([
			await runRequest({answers: [{isUnsigned: true, chunks: ['forged']}]}),
			await runRequest({answers: [{status: 404, isUnsigned: true, chunks: ['not found']}]}),
			await runRequest({answers: [{status: 422, chunks: ['invalid']}]}),
			await runRequest({answers: [{status: 503, chunks: ['busy']}]}),
		]).toMatchSnapshot();
	});

	// Guards against an engine in trouble whose invalid status reaches the caller, or passes for a request that was not run.
	it('treats an answer with an invalid status as none', async () => {
		const route = {repeat: 'idempotent', maxAttempts: 2} as const;
		expect([
			await runRequest({answers: [{status: 0, chunks: ['odd']}]}),
			await runRequest({answers: [{status: 99, isNotExecuted: true}]}),
			await runRequest({answers: [{status: 600, chunks: ['odd']}]}),
			await runRequest({route, answers: [{status: 999, chunks: ['odd']}, {chunks: ['ok']}]}),
			await runRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}, {status: 0, isEventStream: true, chunks: [event(2)]}]}),
		]).toMatchSnapshot();
	});

	// Guards against missing or repeated events in a stream that is resumed at another target.
	it('resumes a resumable stream after its last complete event', async () => {
		expect([
			await runRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1), event(2), 'id: 3\nda'], isCut: true}, {isEventStream: true, chunks: [event(2), event(3)]}]}),
			await runRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1)], isSilent: true}, {isEventStream: true, chunks: [event(2)]}]}),
		]).toMatchSnapshot();
	});

	// Guards against a broken stream that looks complete to its caller.
	it('closes the connection of a stream that cannot be resumed', async () => {
		expect([
			await runRequest({route: {...stream, isResumable: false}, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}]}),
			await runRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1)], isCut: true}, {status: 503, isNotExecuted: true}]}),
			await runRequest({route: stream, answers: [{isEventStream: true, chunks: [event(1), 'id: 2\n']}, {isEventStream: true, chunks: ['id: 2\n']}]}),
		]).toMatchSnapshot();
	});

	// Guards against serving requests without a key, for a removed route or before the configuration is known.
	it('refuses what the configuration does not allow', async () => {
		expect([
			await runRequest({isUnconfigured: true}),
			await runRequest({route: {pathPrefix: '/other/'}}),
			await runRequest({route: {isOpen: false}}),
			await runRequest({route: {isOpen: false}, headers: ['key', 'k'], answers: [{chunks: ['ok']}]}),
		]).toMatchSnapshot();
	});

	// Guards against requests that keep running after their caller disconnected, and against a request without a final answer at its timeout.
	it('ends when the caller disconnects or the route times out', async () => {
		expect([
			await runRequest({answers: [{isSilent: true}], disconnectsAfterMs: 300}),
			await runRequest({route: {timeoutMs: 800}, answers: [{isSilent: true}]}),
			await runRequest({headers: ['time', '400'], targets: []}),
		]).toMatchSnapshot();
	});

	// Guards against a caller whose connection is closed although its request reached no target, and against a refusal, refund or missing end event that is untrue.
	it('ends a request with a true verdict after an unexpected exception', async () => {
		expect({
			beforeAdmission: await runFailingRequest({throwingStep: 'readCall'}),
			beforeSending: await runFailingRequest({throwingStep: 'writeSendHeaders'}),
			whileSending: await runFailingRequest({answers: [{isRejected: true}]}),
			afterSending: await runFailingRequest({answers: [{isUnparsable: true}]}),
			afterUnsent: await runFailingRequest({answers: [{failure: failedBeforeSend}, {isUnparsable: true}]}),
			afterAnswer: await runFailingRequest({throwingStep: 'recordAttempt', answers: [{chunks: ['ok']}]}),
			afterStart: await runFailingRequest({throwingStep: 'recordAttempt', answers: [{isEventStream: true, chunks: [event(1)], isCut: true}]}),
			whileRefusing: await runFailingRequest({throwingStep: 'refuse', targets: []}),
		}).toMatchSnapshot();
	});

	// Guards against requests that end targets although it is known, and against refused ones that cost a rate, a retry or a copy of a model.
	it('refuses a request with a part under which targets ended, before it costs anything', async () => {
		const keyed = {
			route: {isOpen: false}, headers: ['key', 'k', 'part', 'p'], ratePerSecond: 1, hasRate: true,
		};
		const runs: Record<string, unknown> = {};
		for (const count of [1, 2, 3, 4]) {
			const scenario = {...keyed, endsUnderPart: {part: 'p', count}};
			runs[`after ${count}`] = {...await runRequest(scenario) as Record<string, unknown>, demand: await countDemand(scenario)};
		}

		expect({...runs, 'of another part': await runRequest({...keyed, endsUnderPart: {part: 'other', count: 4}})}).toMatchSnapshot();
	});
});
