import {createLogger, createRandom, ManualClock} from '@egretrill/common';
import {credentials} from '@grpc/grpc-js';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {ConfigFollower, InForceReports, PeerClient} from '../src/index.js';

const ONE_WAY_DELAY_MS = 20;
const HOLD_MS = 500;
const PARENT_AGE_MS = 100;

/** A parent that holds each poll; requests and answers have the same network delay. */
class LongPollParent extends PeerClient {
	constructor(private readonly pollClock: ManualClock) {
		super('parent', credentials.createInsecure(), pollClock);
	}

	override async call(): Promise<Result<never, never>> {
		await this.pollClock.sleep(ONE_WAY_DELAY_MS + HOLD_MS + ONE_WAY_DELAY_MS);
		return Result.ok({version: 0, ageMs: PARENT_AGE_MS, heldMs: HOLD_MS} as never);
	}
}

describe('configuration follower', () => {
	// Guards against key leases that count from the receipt of the answer, and against leases shortened by the time for which a poll is held.
	it('measures the age of its configuration from when the parent created the answer, or earlier', async () => {
		const clock = new ManualClock();
		const stop = new AbortController();
		const parent = new LongPollParent(clock);
		const follower = new ConfigFollower({
			hostId: 'a', fleet: 'test', clock, random: createRandom(1), logger: createLogger('test', 'fatal'), reports: new InForceReports(), joinCrashes: () => false, getParents: () => [parent],
		});
		const running = follower.run(stop.signal);
		clock.advance(ONE_WAY_DELAY_MS + HOLD_MS + ONE_WAY_DELAY_MS);
		await new Promise(setImmediate);
		const ageMs = follower.getAgeMs();
		stop.abort();
		clock.advance(ONE_WAY_DELAY_MS + HOLD_MS + ONE_WAY_DELAY_MS);
		await running;
		expect(ageMs).to.be.within(PARENT_AGE_MS + ONE_WAY_DELAY_MS, PARENT_AGE_MS + (2 * ONE_WAY_DELAY_MS) + (HOLD_MS / 10));
	});
});
