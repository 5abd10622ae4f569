import type {RateAnswer} from '@egretrill/callers';
import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {BorrowBatcher} from '../../src/traffic/index.js';

/** Plays a host with 40 requests a second before a leader that answers after a time; returns the loans of each call. */
async function play(answerMs: number): Promise<unknown> {
	const clock = new ManualClock();
	const calls: number[] = [];
	let mostAtOnce = 0;
	let atOnce = 0;
	const batches = new BorrowBatcher(async loans => {
		calls.push(loans.length);
		atOnce += 1;
		mostAtOnce = Math.max(mostAtOnce, atOnce);
		await clock.sleep(answerMs);
		atOnce -= 1;
		return loans.map(({cost}): RateAnswer => ({isGranted: cost % 2 === 0, retryAfterMs: cost}));
	});
	const answers: Array<Promise<RateAnswer | undefined>> = [];
	for (let cost = 0; cost < 40; cost++) {
		answers.push(batches.borrow({customer: 'c', cost}));
		await clock.run(25);
	}

	await clock.run(2 * answerMs);
	const settled = await Promise.all(answers);
	const isOwnAnswer = settled.every((answer, cost) => answer?.retryAfterMs === cost && answer.isGranted === (cost % 2 === 0));
	return {
		calls: calls.length, most: Math.max(...calls), mostAtOnce, isOwnAnswer,
	};
}

describe('BorrowBatcher', () => {
	// Guards against a busy leader that gets the more calls at once the longer it takes for each.
	it('asks with one call at a time, which carries all that wait', async () => {
		expect({quick: await play(3), busy: await play(200)}).toMatchSnapshot();
	});

	// Guards against requests that wait for ever once a leader could not be reached.
	it('goes on after a call without an answer', async () => {
		const replies: Array<readonly RateAnswer[] | undefined> = [undefined, [{isGranted: true, retryAfterMs: 0}]];
		const batches = new BorrowBatcher(async () => replies.shift());
		const loan = {customer: 'c', cost: 1};
		expect([await batches.borrow(loan), await batches.borrow(loan)]).toMatchSnapshot();
	});

	// Guards against requests that wait for ever, and a host that ends, because one call failed unexpectedly.
	it('tells a failure to those who wait, and asks again for the next', async () => {
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
