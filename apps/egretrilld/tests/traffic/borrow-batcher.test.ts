import type {RateDecision} from '@egretrill/callers';
import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {BorrowBatcher} from '../../src/traffic/index.js';

/** Runs 40 loans in a second against a leader that answers after a delay; returns counts of the calls and their loans. */
async function runLoans(answerMs: number): Promise<unknown> {
	const clock = new ManualClock();
	const calls: number[] = [];
	let mostAtOnce = 0;
	let concurrent = 0;
	const batches = new BorrowBatcher(async loans => {
		calls.push(loans.length);
		concurrent += 1;
		mostAtOnce = Math.max(mostAtOnce, concurrent);
		await clock.sleep(answerMs);
		concurrent -= 1;
		return loans.map(({cost}): RateDecision => ({isGranted: cost % 2 === 0, retryAfterMs: cost}));
	});
	const answers: Array<Promise<RateDecision | undefined>> = [];
	for (let cost = 0; cost < 40; cost++) {
		answers.push(batches.borrow({customer: 'c', cost}));
		await clock.run(25);
	}

	await clock.run(2 * answerMs);
	const resolved = await Promise.all(answers);
	const isOwnAnswer = resolved.every((answer, cost) => answer?.retryAfterMs === cost && answer.isGranted === (cost % 2 === 0));
	return {
		calls: calls.length, most: Math.max(...calls), mostAtOnce, isOwnAnswer,
	};
}

describe('BorrowBatcher', () => {
	// Guards against a slow leader that receives more concurrent calls the longer each of them takes.
	it('sends one call at a time, which carries all pending loans', async () => {
		expect({quick: await runLoans(3), busy: await runLoans(200)}).toMatchSnapshot();
	});

	// Guards against requests that wait forever after the leader could not be reached.
	it('continues after a call without an answer', async () => {
		const replies: Array<readonly RateDecision[] | undefined> = [undefined, [{isGranted: true, retryAfterMs: 0}]];
		const batches = new BorrowBatcher(async () => replies.shift());
		const loan = {customer: 'c', cost: 1};
		expect([await batches.borrow(loan), await batches.borrow(loan)]).toMatchSnapshot();
	});

	// Guards against requests that wait forever and a process that crashes because one call failed unexpectedly.
	it('rejects the loans of a failed call and sends later loans', async () => {
		let calls = 0;
		const batches = new BorrowBatcher(async () => {
			calls += 1;
			if (calls === 1) {
				throw new Error('no connection');
			}

			return [{isGranted: true, retryAfterMs: 0}];
		});
		const loan = {customer: 'c', cost: 1};
		const outcomes = await Promise.allSettled([batches.borrow(loan)]);
		expect([outcomes, await batches.borrow(loan)]).toMatchSnapshot();
	});
});
