import {createLogger, createRandom, ManualClock} from '@egretrill/common';
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

async function run(ms: number, createDuties: (calls: string[]) => readonly Duty[], observer = new CountingDutyObserver()): Promise<string[]> {
	const clock = new ManualClock();
	const calls: string[] = [];
	const ended = new AbortController();
	const running = new ProviderDuties({
		clock, random: createRandom(3), logger: createLogger('test', 'fatal'), observer, firstCallAtMs: 0, callsPerSecond: 2, mayCall: () => true, duties: createDuties(calls),
	}).run(ended.signal);
	await Promise.race([clock.run(ms), running]);
	ended.abort();
	await running;
	return calls;
}

function listBacklogs(calls: string[], usageOutcome: CallOutcome): readonly Duty[] {
	return [new BacklogDuty('usage', calls, usageOutcome), new BacklogDuty('engines', calls, 'accepted')];
}

/** A duty whose check of the log fails once. */
class FailingDuty extends BacklogDuty {
	private hasFailed = false;

	override async update(): Promise<void> {
		if (!this.hasFailed) {
			this.hasFailed = true;
			throw new Error('unexpected');
		}
	}
}

describe('provider duties', () => {
	// Guards against a duty with a backlog, or whose calls fail, that keeps the other one from calling at all.
	it('lets the duties take turns', async () => {
		expect({backlog: await run(3000, calls => listBacklogs(calls, 'accepted')), failing: await run(6000, calls => listBacklogs(calls, 'unknown'))}).toMatchSnapshot();
	});

	// Guards against duties that end for the rest of a term because of an unexpected fault.
	it('goes on after an exception', async () => {
		expect(await run(1500, calls => [new FailingDuty('usage', calls, 'accepted')])).to.deep.equal(['usage', 'usage']);
	});

	// Guards against an earlier leader whose metrics go on showing reports that wait.
	it('shows no unconfirmed windows after a term', async () => {
		const observer = new CountingDutyObserver();
		await run(500, () => [], observer);
		expect(observer.last).to.deep.equal({kind: 'unconfirmed', windows: 0});
	});
});
