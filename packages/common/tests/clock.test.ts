import {getEventListeners} from 'node:events';
import {expect} from 'chai';
import {ManualClock} from '../src/index.js';

describe('the clock of tests', () => {
	// Guards against long tests that slow down because each sleep leaves a listener or a sleeper behind.
	it('keeps nothing of a sleep that ended or was aborted', async () => {
		const clock = new ManualClock();
		const controller = new AbortController();
		const {signal} = controller;
		const ended = clock.sleep(10, signal);
		clock.advance(10);
		await ended;
		const afterEnd = getEventListeners(signal, 'abort').length;
		const aborted = clock.sleep(10, signal);
		const during = getEventListeners(signal, 'abort').length;
		controller.abort();
		await aborted;
		await clock.sleep(10, signal);
		expect({afterEnd, during, afterAbort: getEventListeners(signal, 'abort').length}).toMatchSnapshot();
	});

	// Guards against simulations that skip a task or run it at the time of another, and against a run that ends early.
	it('runs each task at its own time, and in order of sleeping where times are equal', async () => {
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

	// Guards against results of seeded tests that change because sleepers are woken by time instead of by order.
	it('wakes all that are due after one step at the same time, in order of sleeping', async () => {
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
