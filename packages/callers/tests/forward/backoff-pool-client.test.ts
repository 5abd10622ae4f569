import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {BackoffPoolClient, type RateDecision, RatePoolClient} from '../../src/forward/index.js';

/** The owner's pool, which has something for one request every `refillMs`. */
class CountingOwner extends RatePoolClient {
	readonly askedMs: number[] = [];
	private emptyUntilMs = 0;

	constructor(private readonly clock: ManualClock, private readonly refillMs: number) {
		super();
	}

	override async borrow(): Promise<RateDecision> {
		const nowMs = this.clock.now();
		this.askedMs.push(nowMs);
		if (nowMs < this.emptyUntilMs) {
			return {isGranted: false, retryAfterMs: this.emptyUntilMs - nowMs};
		}

		this.emptyUntilMs = nowMs + this.refillMs;
		return {isGranted: true, retryAfterMs: 0};
	}
}

async function play(refillMs: number): Promise<unknown> {
	const clock = new ManualClock();
	const owner = new CountingOwner(clock, refillMs);
	const lender = new BackoffPoolClient(clock, owner);
	let granted = 0;
	for (let i = 0; i < 500; i++) {
		const answer = await lender.borrow('c', 100);
		granted += answer?.isGranted ? 1 : 0;
		await clock.run(2);
	}

	return {asked: owner.askedMs.length, granted};
}

describe('PausedLender', () => {
	// Guards against an owner of rates that is asked for each request of a customer far beyond its rate, at every host.
	it('asks the owner again when its pool has something, and not for each request', async () => {
		expect({often: await play(50), seldom: await play(5000)}).toMatchSnapshot();
	});
});
