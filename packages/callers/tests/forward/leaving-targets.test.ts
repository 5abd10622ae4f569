import {expect} from 'chai';
import {type FakeAnswer, runScenario, type ScenarioOptions} from './support/forward-scenario.js';

const route = {
	isStream: true, isResumable: true, maxAttempts: 3, timeoutMs: 12_000,
};
/** A stream of eight events, one every 400 ms, which go on after the last event that the caller has. */
const stream: FakeAnswer = {isEventStream: true, lastId: 8, pausesMs: Object.fromEntries(Array.from({length: 8}, (_, index) => [String(index), 400]))};

async function run(opts: ScenarioOptions): Promise<unknown> {
	const {exchange, slots, observer} = await runScenario({
		route, answers: [stream, stream], targets: ['t1', 't2'], history: [3000, 3200, 3400, 3200, 3000, 3200, 3100, 3200], ...opts,
	});
	return {
		ids: exchange.received.flatMap(text => [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id))),
		ends: slots.ends,
		attempts: observer.attempts.map(({slot, outcome, reason}) => [slot.targetId, outcome, reason]),
	};
}

describe('streams at a leaving target', () => {
	// Guards against a stream that is lost with its target although another one had room.
	it('go on at another target if they are not expected to end in time', async () => {
		expect(await run({leaving: {t1: {fromMs: 900, untilMs: 2000}}})).toMatchSnapshot();
	});

	// Guards against prompts that are read again without need.
	it('stay if they are expected to end in time', async () => {
		expect(await run({leaving: {t1: {fromMs: 900, untilMs: 30_000}}})).toMatchSnapshot();
	});

	// Guards against a stream that is cut off because no other target has room.
	it('stay while no other target has a free slot', async () => {
		expect(await run({leaving: {t1: {fromMs: 900, untilMs: 2000}}, freeAfterMs: {t2: 60_000}})).toMatchSnapshot();
	});

	// Guards against a stream that another target begins anew.
	it('stay if they cannot be resumed', async () => {
		expect(await run({route: {...route, isResumable: false}, leaving: {t1: {fromMs: 900, untilMs: 2000}}})).toMatchSnapshot();
	});
});
