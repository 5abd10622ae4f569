import {Metrics} from '@egretrill/balancer';
import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {ColdSendRequests} from '../../src/traffic/index.js';

const CALL_MS = 5;
const INTERVAL_MS = 300;

/** Lets two requests look for cold targets every 20 ms for a second; returns the calls to a leader that bears so many sends to each. */
async function play(bearable: number): Promise<{readonly calls: readonly string[]; readonly granted: number}> {
	const clock = new ManualClock();
	const calls: string[] = [];
	const granted: string[] = [];
	const requests = new ColdSendRequests({
		clock,
		metrics: new Metrics(),
		getIntervalMs: () => INTERVAL_MS,
		async requestSends(wants) {
			calls.push(`${clock.now()}: ${wants.map(({targetId}) => targetId).join(' ')}`);
			await clock.sleep(CALL_MS);
			return wants.map(({targetId}) => targetId).filter(id => granted.filter(other => other === id).length < bearable);
		},
		onGrant(targetId) {
			granted.push(targetId);
		},
	});
	while (clock.now() < 1000) {
		for (const targetId of ['t1', 't2']) {
			void requests.request({targetId, perSecond: 20});
		}

		await clock.run(20);
	}

	return {calls, granted: granted.length};
}

describe('ColdSendRequests', () => {
	// Guards against a leader that each host calls for each waiting request and each cold target, again and again while it grants nothing.
	it('carry all wants in one call at a time, and pause after one that was not granted', async () => {
		expect({full: await play(0), some: await play(2)}).toMatchSnapshot();
	});
});
