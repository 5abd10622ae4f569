import process from 'node:process';
import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {RetryBudget} from '../../src/index.js';
import {
	getTimeUntilSwitchMs, maySwitch, Silence, type SwitchState,
} from '../../src/forward/index.js';
import {
	type FakeAnswer, listAttempts, runRequest, runScenario, type ScenarioOptions,
} from './support/forward-scenario.js';

const route = {
	isStream: true, isResumable: true, maxAttempts: 3, timeoutMs: 8000,
};
const event = (id: number, data = 'a'): string => `id: ${id}\ndata: ${data}\n\n`;
const events = (...chunks: readonly string[]): Pick<FakeAnswer, 'isEventStream' | 'chunks'> => ({isEventStream: true, chunks});
/** An answer that pauses for 1.6 s after its first event. */
const pausing: FakeAnswer = {...events(event(1), event(2)), pausesMs: {1: 1600}};
const resumed: FakeAnswer = events(event(2, 'b'));
const unreachable: FakeAnswer = {failure: {accepted: false, code: 'ECONNREFUSED', reason: 'refused'}};

const allowed: SwitchState = {
	attempts: 1, maxAttempts: 2, hasRetry: true, timeLeftMs: 1000, lastEventId: 1,
};

/** Outcome of one request, its slots and its attempts. */
async function run(opts: ScenarioOptions): Promise<unknown> {
	return {...await runRequest({route, ...opts}) as Record<string, unknown>, attempts: await listAttempts({route, ...opts})};
}

describe('Silence', () => {
	// Guards against a stream that counts as silent because its caller reads slowly.
	it('does not include the time in which the caller accepts no data', () => {
		const clock = new ManualClock();
		const silence = new Silence(clock);
		const durations: number[] = [];
		const advance = (ms: number): void => {
			clock.advance(ms);
			durations.push(silence.getDurationMs());
		};

		advance(300);
		silence.recordEvent();
		silence.suspend();
		advance(5000);
		silence.resume();
		advance(700);
		silence.recordEvent();
		advance(100);
		expect(durations).to.deep.equal([300, 0, 700, 100]);
	});

	// Guards against a request at another target that goes on after the first one has completed an event.
	it('aborts the signal at the next event only', () => {
		const silence = new Silence(new ManualClock());
		const first = silence.getNextEventSignal();
		silence.recordEvent();
		const second = silence.getNextEventSignal();
		expect([first.aborted, second.aborted]).to.deep.equal([true, false]);
	});
});

describe('the switch of a silent stream', () => {
	// Guards against more attempts than the route allows, and against a request that another target cannot continue.
	it('is allowed within the limits of the request only', () => {
		expect([
			maySwitch(allowed),
			maySwitch({...allowed, attempts: 2}),
			maySwitch({...allowed, hasRetry: false}),
			maySwitch({...allowed, timeLeftMs: 5}),
			maySwitch({...allowed, lastEventId: undefined}),
		]).to.deep.equal([true, false, false, false, false]);
		expect([0, 999, 1000].map(silentMs => getTimeUntilSwitchMs(silentMs) <= 0)).to.deep.equal([false, false, true]);
	});

	// Guards against an answer that ends because of a pause although no other target goes on with it.
	it('leaves the answer of the silent target alone until another one answers', async () => {
		expect({
			'no other target': await run({targets: ['t1'], answers: [pausing]}),
			'no retry left': await run({retryReserve: 0, answers: [pausing]}),
			'another refuses, a third answers': await run({answers: [pausing, {status: 503, isNotExecuted: true}, resumed]}),
			'another is free later': await run({targets: ['t1', 't2'], freeAfterMs: {t2: 1250}, answers: [pausing, resumed]}),
			'another answers too late': await run({answers: [pausing, {...resumed, headDelayMs: 900}]}),
			'another answers in time': await run({answers: [pausing, {...resumed, headDelayMs: 300}]}),
			'events without ids': await run({answers: [{...events('data: a\n\n', 'data: b\n\n'), pausesMs: {1: 1600}}]}),
		}).toMatchSnapshot();
	});

	// Guards against a stream that waits for a second pause to end although an attempt is left, and against more attempts than allowed.
	it('is tried again after the next silence', async () => {
		const twice = {...events(event(1), event(2), event(3), event(4)), pausesMs: {1: 1600, 2: 1600, 3: 1600}};
		expect(await run({answers: [twice, {headDelayMs: 5000}, {headDelayMs: 5000}]})).toMatchSnapshot();
	});

	// Guards against an end of the request while another target may still answer, and against one that is awaited after the answer is complete.
	it('follows the end of the first answer', async () => {
		const late = {...resumed, headDelayMs: 900};
		expect({
			'cut earlier': await run({answers: [{...events(event(1), ''), pausesMs: {1: 1200}, isCut: true}, late]}),
			'complete earlier': await run({answers: [{...events(event(1), ''), pausesMs: {1: 1200}}, late]}),
		}).toMatchSnapshot();
	});

	// Guards against a switch while the caller accepts no data.
	it('is not tried while the caller reads nothing', async () => {
		expect(await run({writeMs: 3000, answers: [events(event(1), event(2)), resumed]})).toMatchSnapshot();
	});

	// Guards against requests that go on after the caller has left or the time is over.
	it('ends with the request', async () => {
		const silent = {...events(event(1)), isSilent: true};
		const pending = {...resumed, headDelayMs: 6000};
		expect({
			'the caller leaves': await run({disconnectsAfterMs: 1300, answers: [silent, pending]}),
			'the time is over': await run({route: {...route, timeoutMs: 1300}, answers: [silent, pending]}),
		}).toMatchSnapshot();
	});

	// Guards against an answer that ends because of an unexpected exception at another target, and against an unhandled rejection, which ends the process.
	it('outlasts an unexpected exception', async () => {
		let unhandled = 0;
		const onUnhandled = (): void => {
			unhandled += 1;
		};

		process.on('unhandledRejection', onUnhandled);
		const unparsable: FakeAnswer = {isUnparsable: true};
		const cut: FakeAnswer = {...events(event(1), ''), pausesMs: {1: 1200}, isCut: true};
		const results = {
			'at another target': await runScenario({route, answers: [pausing, unparsable]}),
			'at the first target, while another is asked': await runScenario({route, throwingStep: 'recordAttempt', answers: [cut, {...resumed, headDelayMs: 900}]}),
		};
		process.off('unhandledRejection', onUnhandled);
		const described = Object.entries(results).map(([name, {exchange, sender, slots, error}]) => [name, {
			caller: exchange.received, targets: sender.sent, ends: slots.ends, error: String(error),
		}] as const);
		expect({...Object.fromEntries(described), unhandled}).toMatchSnapshot();
	});

	// Guards against a retry budget that is used up by targets that cannot be reached.
	it('does not use the retry budget at targets that cannot be reached', async () => {
		const answers = [pausing, unreachable, unreachable, unreachable, resumed];
		expect(await run({targets: ['t1', 't2', 't3', 't4', 't5'], retryReserve: 1, answers})).toMatchSnapshot();
	});
});

describe('RetryBudget', () => {
	// Guards against a window with more retries than allowed after retries were returned.
	it('allows a returned retry once more', () => {
		const clock = new ManualClock();
		const budget = new RetryBudget(clock, {ratio: 0, reserve: 2});
		const consumed = [budget.tryConsumeRetry()];
		clock.advance(3000);
		consumed.push(budget.tryConsumeRetry(), budget.tryConsumeRetry());
		clock.advance(200);
		budget.returnRetry();
		consumed.push(budget.tryConsumeRetry(), budget.tryConsumeRetry());
		clock.advance(7000);
		consumed.push(budget.tryConsumeRetry());
		expect(consumed).to.deep.equal([true, true, false, true, false, false]);
	});
});
