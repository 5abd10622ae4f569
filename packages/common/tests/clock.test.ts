import {getEventListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {ManualClock, MonotonicClock} from '../src/index.js';

describe('ManualClock', () => {
	// Guards against long tests that slow down because listeners or sleepers of earlier sleeps accumulate.
	it('releases the listener of a sleep that ended or was aborted', async () => {
		const clock = new ManualClock();
		const controller = new AbortController();
		const {signal} = controller;
		const endedSleep = clock.sleep(10, signal);
		clock.advance(10);
		await endedSleep;
		const afterEnd = getEventListeners(signal, 'abort').length;
		const abortedSleep = clock.sleep(10, signal);
		const during = getEventListeners(signal, 'abort').length;
		controller.abort();
		await abortedSleep;
		await clock.sleep(10, signal);
		expect({afterEnd, during, afterAbort: getEventListeners(signal, 'abort').length}).toMatchSnapshot();
	});

	// Guards against simulations that skip a task or run it at the due time of another task, and against runs that end early.
	it('runs each task at its due time, and tasks with equal due times in the order of their calls to sleep', async () => {
		const clock = new ManualClock();
		const woken: string[] = [];
		const sleep = async (name: string, ms: number): Promise<void> => {
			await clock.sleep(ms);
			woken.push(`${name} at ${clock.now()}`);
		};

		const sleepTwice = async (): Promise<void> => {
			await sleep('first of two', 4);
			await sleep('second of two', 5);
		};

		void sleep('late', 30);
		void sleep('a', 10);
		void sleep('b', 10);
		void sleepTwice();
		await clock.run(9);
		const afterRun = clock.now();
		const isReached = await clock.runUntil(() => woken.length === 3, 100);
		const isReachedLater = await clock.runUntil(() => woken.length === 9, 10);
		const afterRunUntil = clock.now();
		await clock.runTo(30);
		expect({
			woken, afterRun, isReached, isReachedLater, afterRunUntil, atEnd: clock.now(),
		}).toMatchSnapshot();
	});

	// Guards against changed results of seeded tests if sleepers were woken in the order of their due times instead.
	it('wakes all sleepers that are due after a single step at the same time, in the order of their calls to sleep', async () => {
		const clock = new ManualClock();
		const woken: string[] = [];
		const sleep = async (name: string, ms: number): Promise<void> => {
			await clock.sleep(ms);
			woken.push(`${name} at ${clock.now()}`);
		};

		const sleeps = [sleep('first', 8), sleep('second', 3)];
		clock.advance(10);
		await Promise.all(sleeps);
		expect(woken).toMatchSnapshot();
	});
});

describe('MonotonicClock', () => {
	// Guards against a timeout of more than 24 days that ends each request at once, since Node's timers then fire after 1 ms.
	it('does not wake early from a sleep that is longer than a timer can be', async () => {
		const clock = new MonotonicClock();
		const stopper = new AbortController();
		let wakeups = 0;
		const sleep = async (ms: number): Promise<void> => {
			await clock.sleep(ms, stopper.signal);
			wakeups += 1;
		};

		const sleeps = [2 ** 31, 3e9, Number.POSITIVE_INFINITY].map(async ms => sleep(ms));
		await delay(50);
		const wakeupsBeforeAbort = wakeups;
		stopper.abort();
		await Promise.all(sleeps);
		expect([wakeupsBeforeAbort, wakeups]).to.deep.equal([0, 3]);
	});
});
