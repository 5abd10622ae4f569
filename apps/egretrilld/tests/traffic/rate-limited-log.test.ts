import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {RateLimitedLog} from '../../src/traffic/rate-limited-log.js';
import {LogCapture} from './support/log-capture.js';

describe('RateLimitedLog', () => {
	// Guards against a log that other processes fill: an odd writer may send thousands of invalid entries a second, each with long texts.
	it('writes short lines at a limited rate and counts the others', async () => {
		const clock = new ManualClock();
		const capture = new LogCapture('control');
		const log = new RateLimitedLog(clock, capture.logger, 'A registration describes no usable target.');
		for (let i = 0; i < 1000; i++) {
			log.warn({targetId: 'i'.repeat(10_000)}, {skipped: 2});
		}

		await clock.run(10_000);
		log.warn({targetId: 'i-2'}, {skipped: 1});
		const lines = await capture.getLines();
		expect(lines.map(({targetId, ...fields}) => ({...fields, length: String(targetId).length}))).toMatchSnapshot();
	});
});
