import {ManualClock} from '@egretrill/common';
import {TargetTable} from '@egretrill/engines';
import {expect} from 'chai';
import {TargetSlotSource} from '../../src/traffic/index.js';

/** Slot source of a host whose leader answers each request after a delay. */
class SlotSourceFixture {
	readonly clock = new ManualClock();
	requestCount = 0;
	private readonly slotSource: TargetSlotSource;

	constructor(answerMs: number) {
		const targets = new TargetTable({
			clock: this.clock, random: () => 0, zone: 'z', getColdRate: () => 0, getBatchSlots: () => undefined,
		});
		this.slotSource = new TargetSlotSource({
			clock: this.clock,
			targets,
			requestColdSend() {
				// No target is cold.
			},
			requestAdapter: async () => {
				this.requestCount += 1;
				await this.clock.sleep(answerMs);
				return undefined;
			},
		});
	}

	/** Retries a waiting request every 10 ms for a second; returns the number of requests to the leader. */
	async countRequests(adapter?: string): Promise<number> {
		for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 10) {
			this.slotSource.requestLoad({
				service: 's', model: 'm', ...(adapter !== undefined && {adapter}), parts: [], tried: new Set(),
			});
			await this.clock.run(10);
		}

		return this.requestCount;
	}
}

describe('TargetSlotSource', () => {
	// Guards against a leader that receives 20 requests a second from each host for each loading model, although it loads models by the waiting requests reported in polls.
	it('requests adapters from the leader, but no models', async () => {
		expect({model: await new SlotSourceFixture(5).countRequests(), adapter: await new SlotSourceFixture(5).countRequests('a')}).toMatchSnapshot();
	});

	// Guards against calls that accumulate at the leader for an adapter whose engine is busy, and against an adapter that is not requested again after a lost call.
	it('repeats requests at a low rate while the leader has not answered', async () => {
		expect({soon: await new SlotSourceFixture(5).countRequests('a'), late: await new SlotSourceFixture(900).countRequests('a')}).toMatchSnapshot();
	});
});
