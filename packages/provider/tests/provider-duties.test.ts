import {createRandom, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	type CallOutcome, type DueCall, Duty, ProviderDuties,
} from '../src/index.js';
import {CountingDutyObserver} from './support/recording-provider.js';

/** A duty with a backlog that never ends, whose calls all have the same outcome. */
class BacklogDuty extends Duty {
	constructor(private readonly duty: DueCall['duty'], private readonly calls: string[], private readonly outcome: CallOutcome) {
		super();
	}

	override async update(): Promise<void> {
		// Its calls are always due.
	}

	override getDueCall(): DueCall {
		return {
			duty: this.duty,
			send: async () => {
				this.calls.push(this.duty);
				return this.outcome;
			},
			async record() {
				// The backlog stays.
			},
		};
	}
}

async function run(usageOutcome: CallOutcome, ms: number): Promise<string[]> {
	const clock = new ManualClock();
	const calls: string[] = [];
	const ended = new AbortController();
	void new ProviderDuties({
		clock, random: createRandom(3), observer: new CountingDutyObserver(), firstCallAtMs: 0, callsPerSecond: 2, mayCall: () => true,
		duties: [new BacklogDuty('usage', calls, usageOutcome), new BacklogDuty('engines', calls, 'accepted')],
	}).run(ended.signal);
	await clock.run(ms);
	ended.abort();
	return calls;
}

describe('provider duties', () => {
	// Guards against a duty with a backlog, or whose calls fail, that keeps the other one from calling at all.
	it('lets the duties take turns', async () => {
		expect({backlog: await run('accepted', 3000), failing: await run('unknown', 6000)}).toMatchSnapshot();
	});
});
