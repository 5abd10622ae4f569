import {expect} from 'chai';
import fc from 'fast-check';
import {type FakeAnswer, runScenario, type ScenarioResult} from './support/forward-scenario.js';

const SEED = 11;
const RUNS = 1000;
const LAST_ID = 5;
const MAX_ATTEMPTS = 3;

/** Times around the one after which a stream is offered to another target, and pauses of a sound engine. */
const pause = fc.constantFrom(0, 200, 999, 1000, 1001, 1600, 3000);

const wholeStream: fc.Arbitrary<FakeAnswer> = fc.record({
	isEventStream: fc.constant(true),
	lastId: fc.constant(LAST_ID),
	headDelayMs: pause,
	pausesMs: fc.dictionary(fc.constantFrom('0', '1', '2', '3'), pause),
});

const partOfStream: fc.Arbitrary<FakeAnswer> = fc.tuple(wholeStream, fc.integer({min: 1, max: LAST_ID}), fc.boolean())
	.map(([stream, lastId, isCut]) => ({...stream, lastId, ...(isCut ? {isCut} : {isSilent: true})}));

const refusal = fc.constantFrom<FakeAnswer>(
	{status: 503, isNotExecuted: true},
	{failure: {accepted: false, code: 'ECONNREFUSED', reason: 'refused'}},
	{failure: {accepted: true, code: 'ECONNRESET', reason: 'reset'}},
	{status: 500},
	{isEventStream: true, attemptId: 'another', lastId: LAST_ID},
	{chunks: ['no events']},
);

/** Time for which the caller accepts no data after each event. */
const writeMs = fc.constantFrom(undefined, undefined, 50, 1200, 2500);

function listAnswers(...kinds: ReadonlyArray<fc.Arbitrary<FakeAnswer>>): fc.Arbitrary<FakeAnswer[]> {
	return fc.array(fc.oneof(...kinds), {minLength: 4, maxLength: 4});
}

async function run(answers: readonly FakeAnswer[], caller: {readonly writeMs?: number; readonly disconnectsAfterMs?: number}, timeoutMs: number): Promise<ScenarioResult> {
	return runScenario({
		answers, ...caller, targets: ['t1', 't2', 't3', 't4'], route: {
			isStream: true, isResumable: true, maxAttempts: MAX_ATTEMPTS, timeoutMs,
		},
	});
}

function getIds({exchange}: ScenarioResult): readonly number[] {
	return exchange.received.flatMap(text => [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups?.id)));
}

function countUpTo(last: number): readonly number[] {
	return Array.from({length: last}, (_, index) => index + 1);
}

/** Names of the targets whose slots were released. */
function getReleased({slots}: ScenarioResult): readonly string[] {
	return slots.ends.filter(end => !end.endsWith(' silent')).map(end => end.split(' ')[0] ?? '').toSorted();
}

/** Names of the targets to which the request was sent. */
function getSent({sender}: ScenarioResult): readonly string[] {
	return sender.sent.filter(line => !line.endsWith(' cancelled')).map(line => line.split(' ')[0] ?? '').toSorted();
}

/** Checks that each answer was closed before the head of the next one arrived, or at that moment. */
function checkOneAtATime({sender: {answerTimes}}: ScenarioResult): void {
	for (const [index, {openedMs}] of answerTimes.entries()) {
		for (const {closedMs} of answerTimes.slice(0, index)) {
			expect(closedMs).to.be.at.most(openedMs);
		}
	}
}

describe('a resumable stream over targets that pause, refuse, break off or fall silent, seed 11', () => {
	// Guards against lost, doubled or disordered events, slots that stay taken, attempts over the limit, and two answers that are open at the same time.
	it('reaches its caller in order, from one target at a time', async () => {
		const disconnectsAfterMs = fc.constantFrom(undefined, undefined, 500, 1100, 1500, 4000);
		await fc.assert(fc.asyncProperty(listAnswers(wholeStream, partOfStream, refusal), fc.record({writeMs, disconnectsAfterMs}), async (answers, caller) => {
			const result = await run(answers, caller, 9000);
			const ids = getIds(result);
			expect(ids).to.deep.equal(countUpTo(ids.length));
			if (ids.length > 0 && result.exchange.received.at(-1) === 'end') {
				expect(ids.length).to.equal(LAST_ID);
			}

			expect(getReleased(result)).to.deep.equal(getSent(result));
			expect(result.observer.attempts.length).to.equal(getSent(result).length);
			expect(result.observer.ends[0]?.attempts).to.be.at.most(MAX_ATTEMPTS);
			checkOneAtATime(result);
		}), {numRuns: RUNS, seed: SEED});
	}).timeout(60_000);

	// Guards against an answer that breaks off although each engine that began it would have sent it to its end.
	it('is whole when no target breaks off', async () => {
		await fc.assert(fc.asyncProperty(listAnswers(wholeStream, wholeStream, refusal), fc.record({writeMs}), async (answers, caller) => {
			const result = await run(answers, caller, 100_000);
			const ids = getIds(result);
			if (ids.length > 0) {
				expect(ids).to.deep.equal(countUpTo(LAST_ID));
				expect(result.exchange.received.at(-1)).to.equal('end');
			}
		}), {numRuns: RUNS, seed: SEED});
	}).timeout(60_000);
});
