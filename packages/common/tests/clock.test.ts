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
});
