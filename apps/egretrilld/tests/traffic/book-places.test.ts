import {ManualClock} from '@egretrill/common';
import {TargetBook} from '@egretrill/engines';
import {expect} from 'chai';
import {TargetSlotSource} from '../../src/traffic/index.js';

/** Places of a host whose leader answers each question after a while. */
class AskingWorld {
	readonly clock = new ManualClock();
	asked = 0;
	private readonly places: TargetSlotSource;

	constructor(answerMs: number) {
		const targets = new TargetBook({
			clock: this.clock, zone: 'z', getColdRate: () => 0, getBatchSlots: () => undefined,
		});
		this.places = new TargetSlotSource({
			clock: this.clock,
			targets,
			requestAdapter: async () => {
				this.asked += 1;
				await this.clock.sleep(answerMs);
				return undefined;
			},
		});
	}

	/** Tries a waiting request every 10 ms for a second; returns how often the leader was asked. */
	async play(adapter?: string): Promise<number> {
		for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 10) {
			this.places.want({
				service: 's', model: 'm', ...(adapter !== undefined && {adapter}), parts: [], tried: new Set(),
			});
			await this.clock.run(10);
		}

		return this.asked;
	}
}

describe('TargetSlotSource', () => {
	// Guards against a leader that answers each host of a fleet 20 times a second for each model that is on its way, although it loads models by what the polls tell.
	it('asks the leader for adapters, and not for models', async () => {
		expect({model: await new AskingWorld(5).play(), adapter: await new AskingWorld(5).play('a')}).toMatchSnapshot();
	});

	// Guards against a pile of calls at the leader for an adapter whose engine is busy, and against a request that is forgotten with a lost call.
	it('asks seldom while the leader has not answered', async () => {
		expect({soon: await new AskingWorld(5).play('a'), late: await new AskingWorld(900).play('a')}).toMatchSnapshot();
	});
});
