import {ManualClock, VerdictError} from '@egretrill/common';
import {expect} from 'chai';
import {Drain} from '../src/index.js';

function createDrain() {
	const clock = new ManualClock();
	return {clock, drain: new Drain({clock, deadlineMs: 30_000})};
}

// The continuations of a woken task are microtasks, so all of them have run before the next macrotask.
async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('Drain', () => {
	it('is unready at once and still accepts work during the wait for the balancer', async () => {
		const {clock, drain} = createDrain();
		const done = drain.start('SIGTERM');
		const reason = drain.getUnreadyReason();
		const endWork = drain.startWork('request');
		clock.advance(1000);
		await flushPromises();
		let refusal: unknown;
		try {
			drain.startWork('request');
		} catch (err: unknown) {
			refusal = err instanceof VerdictError ? err.verdict : err;
		}

		endWork();
		expect({reason, refusal, report: await done}).toMatchSnapshot();
	});

	it('waits for started work, also if its end is reported twice, so that no request is interrupted or miscounted', async () => {
		const {clock, drain} = createDrain();
		const endCallbacks = [drain.startWork('request'), drain.startWork('stream')];
		const done = drain.start('SIGTERM');
		clock.advance(1000);
		await flushPromises();
		endCallbacks[0]?.();
		endCallbacks[0]?.();
		await flushPromises();
		expect(drain.getWorkCount()).to.equal(1);
		clock.advance(5000);
		endCallbacks[1]?.();
		expect(await done).toMatchSnapshot();
	});

	it('reports unfinished work at the deadline with exit code 1, so that a stuck stream cannot keep the process running', async () => {
		const {clock, drain} = createDrain();
		drain.startWork('stream');
		drain.startWork('stream');
		drain.startWork('order');
		const done = drain.start('SIGTERM');
		clock.advance(1000);
		await flushPromises();
		clock.advance(29_000);
		expect(await done).toMatchSnapshot();
	});

	for (const [phase, waitedMs] of [['the wait for the balancer', 0], ['the wait for work', 1000]] as const) {
		it(`ends on a second signal during ${phase} and reports unfinished work`, async () => {
			const {clock, drain} = createDrain();
			drain.startWork('request');
			const done = drain.start('SIGTERM');
			clock.advance(waitedMs);
			await flushPromises();
			const second = drain.start('SIGINT');
			const report = await done;
			expect(await second).to.equal(report);
			expect(report).toMatchSnapshot();
		});
	}
});
