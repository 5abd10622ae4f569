import {
	createRandom, ManualClock, type Priority, type Verdict,
} from '@egretrill/common';
import {expect} from 'chai';
import {type Result} from 'true-myth';
import {FairQueue, type Slot} from '../src/index.js';
import {StartTimeQueue} from '../src/start-time-queue.js';
import {advance} from './support/share-fleet.js';

const SEED = 31;

type Outcome = {readonly name: string; readonly result: string; readonly atMs: number};

/** Runs requests through a queue and records the order in which they get a slot or are refused. */
class QueueRun {
	readonly clock = new ManualClock();
	readonly outcomes: Outcome[] = [];

	constructor(private readonly holdMs = 10) {}

	async request(queue: FairQueue, name: string, opts: {priority?: Priority; weight?: number; deadlineMs?: number; signal?: AbortSignal} = {}): Promise<Result<Slot, Verdict>> {
		const result = await queue.acquire({
			customer: name, weight: 1, priority: 'interactive', cost: 100, deadlineMs: this.clock.now() + 10_000, ...opts,
		});
		this.outcomes.push({name, result: result.isOk ? 'slot' : `${result.error.status} ${result.error.code} ${result.error.run}`, atMs: this.clock.now()});
		if (result.isOk) {
			await this.clock.sleep(this.holdMs);
			result.value.release();
		}

		return result;
	}
}

/** Fraction of each customer's requests that get a slot within 1 s while all customers send at random times. */
async function measureSuccessRatios(requestsPerSecond: Readonly<Record<string, number>>): Promise<Readonly<Record<string, number>>> {
	// 8 slots held for 76 ms each serve 105 requests/s, so each of five customers that send 20/s stays within its share.
	const run = new QueueRun(76);
	const queue = new FairQueue({clock: run.clock, slots: 8});
	const random = createRandom(SEED);
	const sent: Record<string, number> = {};
	for (let ms = 0; ms < 20_000; ms += 2) {
		for (const [name, rate] of Object.entries(requestsPerSecond)) {
			if (random() < rate * 0.002) {
				sent[name] = (sent[name] ?? 0) + 1;
				void run.request(queue, name, {deadlineMs: run.clock.now() + 1000});
			}
		}

		await advance(run.clock, 2);
	}

	await advance(run.clock, 1100);
	return Object.fromEntries(Object.entries(sent).map(([name, count]) => [name, run.outcomes.filter(outcome => outcome.name === name && outcome.result === 'slot').length / count]));
}

describe('fair queue', () => {
	it(`changes the success rate of the others by at most 1 percentage point when one customer sends five times its rate at full load, seed ${SEED}`, async () => {
		const others = {
			a: 20, b: 20, c: 20, d: 20,
		};
		const baseline = await measureSuccessRatios({...others, noisy: 20});
		const overloaded = await measureSuccessRatios({...others, noisy: 100});
		for (const name of Object.keys(others)) {
			expect(Math.abs(baseline[name]! - overloaded[name]!)).to.be.at.most(0.01);
		}
	});

	it('serves by weight, interactive requests first, and reserves one slot in 8 for batch requests so that they never starve', async () => {
		const run = new QueueRun();
		const queue = new FairQueue({clock: run.clock, slots: 0});
		for (let i = 0; i < 12; i++) {
			void run.request(queue, 'light');
			void run.request(queue, 'heavy', {weight: 3});
			void run.request(queue, 'batch', {priority: 'batch', deadlineMs: 600_000});
		}

		queue.setSlots(1);
		await advance(run.clock, 200);
		queue.setSlots(8);
		await advance(run.clock, 100);
		expect(run.outcomes.map(outcome => `${outcome.atMs} ${outcome.name}`)).toMatchSnapshot();
	});

	it('does not renew the credit of a customer whose queue is briefly empty, which would let it exceed its share indefinitely', () => {
		const queue = new StartTimeQueue();
		for (let i = 0; i < 100; i++) {
			queue.push({customer: 'backlog', weight: 3, cost: 100});
		}

		let pulsed = 0;
		let waiting = 0;
		for (let i = 0; i < 80; i++) {
			// One request per two dispatches is twice the customer's share of a quarter.
			if (i % 2 === 0 && waiting === 0) {
				queue.push({customer: 'pulsed', weight: 1, cost: 100});
				waiting += 1;
			}

			if (queue.shift()?.customer === 'pulsed') {
				waiting -= 1;
				pulsed += 1;
			}
		}

		// A quarter of the 80 dispatches, plus the credit of 4 requests and the one in progress.
		expect(pulsed).to.be.within(16, 25);
	});

	it('refuses with the actual reason when full, late or cancelled, and drops requests of the customer that fills the queue', async () => {
		const run = new QueueRun();
		const queue = new FairQueue({clock: run.clock, slots: 1, maxLength: 3});
		const cancel = new AbortController();
		for (let i = 0; i < 5; i++) {
			void run.request(queue, 'greedy', {deadlineMs: 15});
		}

		void run.request(queue, 'modest', {signal: cancel.signal});
		await advance(run.clock, 4);
		cancel.abort();
		await advance(run.clock, 30);
		expect(run.outcomes).toMatchSnapshot();
		expect(queue.length).to.equal(0);
	});
});
