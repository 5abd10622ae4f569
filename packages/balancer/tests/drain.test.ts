import {ManualClock, VerdictError} from '@egretrill/common';
import {expect} from 'chai';
import {Drain} from '../src/index.js';

function createDrain() {
	const clock = new ManualClock();
	return {clock, drain: new Drain({clock, deadlineMs: 30_000})};
}

// Continuations of a woken task run as microtasks, so one macrotask lets them all finish.
async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('draining a host', () => {
	it('turns unready at once and still serves connections that the balancer sends during its wait', async () => {
		const {clock, drain} = createDrain();
		const done = drain.start('SIGTERM');
		const reason = drain.getUnreadyReason();
		const end = drain.startWork('request');
		clock.advance(1000);
		await settle();
		let refusal: unknown;
		try {
			drain.startWork('request');
		} catch (err: unknown) {
			refusal = err instanceof VerdictError ? err.verdict : err;
		}

		end();
		expect({reason, refusal, report: await done}).toMatchSnapshot();
	});

	it('waits for begun work, also when its end is called twice, so that no request is interrupted or miscounted', async () => {
		const {clock, drain} = createDrain();
		const ends = [drain.startWork('request'), drain.startWork('stream')];
		const done = drain.start('SIGTERM');
		clock.advance(1000);
		await settle();
		ends[0]?.();
		ends[0]?.();
		await settle();
		expect(drain.getWorkCount()).to.equal(1);
		clock.advance(5000);
		ends[1]?.();
		expect(await done).toMatchSnapshot();
	});

	it('reports what was left at the deadline with exit code 1, so that a stuck stream cannot hold the process', async () => {
		const {clock, drain} = createDrain();
		drain.startWork('stream');
		drain.startWork('stream');
		drain.startWork('order');
		const done = drain.start('SIGTERM');
		clock.advance(1000);
		await settle();
		clock.advance(29_000);
		expect(await done).toMatchSnapshot();
	});

	for (const [phase, waitedMs] of [['the wait for the balancer', 0], ['the wait for work', 1000]] as const) {
		it(`ends on a second signal during ${phase} and reports what was left`, async () => {
			const {clock, drain} = createDrain();
			drain.startWork('request');
			const done = drain.start('SIGTERM');
			clock.advance(waitedMs);
			await settle();
			const second = drain.start('SIGINT');
			const report = await done;
			expect(await second).to.equal(report);
			expect(report).toMatchSnapshot();
		});
	}
});
