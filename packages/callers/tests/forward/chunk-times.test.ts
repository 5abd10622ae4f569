import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {ChunkTimes} from '../../src/forward/index.js';

describe('ChunkTimes', () => {
	// Guards against log lines that do not show whether a late answer started late or paused after its start.
	it('measures the time to the first chunk and the longest pause after it', async () => {
		const clock = new ManualClock();
		const times = new ChunkTimes(clock, clock.now());
		const before = {first: times.getFirstMs(), pause: times.getLongestPauseMs()};
		for (const pauseMs of [400, 20, 180, 30]) {
			await clock.run(pauseMs);
			times.recordChunk();
		}

		expect({before, after: {first: times.getFirstMs(), pause: times.getLongestPauseMs()}}).toMatchSnapshot();
	});
});
