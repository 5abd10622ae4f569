import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {BackoffPoolClient, type RateDecision, RatePoolClient} from '../../src/forward/index.js';

/** A pool that covers one request every `refillMs`, with a log of the requests to its owner. */
class CountingPool extends RatePoolClient {
	readonly requestTimesMs: number[] = [];
	private emptyUntilMs = 0;

	constructor(private readonly clock: ManualClock, private readonly refillMs: number) {
		super();
	}

	override giveBack(): void {
		this.emptyUntilMs = 0;
	}

	override async borrow(): Promise<RateDecision> {
		const nowMs = this.clock.now();
		this.requestTimesMs.push(nowMs);
		if (nowMs < this.emptyUntilMs) {
			return {isGranted: false, retryAfterMs: this.emptyUntilMs - nowMs};
		}

		this.emptyUntilMs = nowMs + this.refillMs;
		return {isGranted: true, retryAfterMs: 0};
	}
}

async function simulate(refillMs: number): Promise<unknown> {
	const clock = new ManualClock();
	const owner = new CountingPool(clock, refillMs);
	const client = new BackoffPoolClient(clock, owner);
	let granted = 0;
	for (let i = 0; i < 500; i++) {
		const answer = await client.borrow('c', 100);
		granted += answer?.isGranted ? 1 : 0;
		await clock.run(2);
	}

	return {asked: owner.requestTimesMs.length, granted};
}

describe('BackoffPoolClient', () => {
	// Guards against a request from every host to the rate owner for each request of a customer far over its rate.
	it('requests from the owner again once its pool has refilled, not for each request', async () => {
		expect({often: await simulate(50), seldom: await simulate(5000)}).toMatchSnapshot();
	});

	// Guards against callers who are told to come back long before the pool has refilled.
	it('tells each caller when the pool has refilled', async () => {
		const clock = new ManualClock();
		const client = new BackoffPoolClient(clock, new CountingPool(clock, 5000));
		const retryTimesMs: Array<number | undefined> = [];
		for (const pauseMs of [0, 0, 400, 400]) {
			await clock.run(pauseMs);
			const answer = await client.borrow('c', 100);
			retryTimesMs.push(answer?.isGranted ? undefined : clock.now() + (answer?.retryAfterMs ?? 0));
		}

		expect(retryTimesMs).to.deep.equal([undefined, 5000, 5000, 5000]);
	});
});
