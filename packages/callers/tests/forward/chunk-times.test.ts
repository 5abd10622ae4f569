import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {ChunkTimes} from '../../src/forward/index.js';

describe('PieceTimes', () => {
	// Guards against decision lines that do not tell whether a late answer was late from the start or paused on the way.
	it('tells the time to the first piece and the longest pause after it', async () => {
		const clock = new ManualClock();
		const times = new ChunkTimes(clock, clock.now());
		const before = {first: times.getFirstMs(), pause: times.getLongestPauseMs()};
		for (const gapMs of [400, 20, 180, 30]) {
			await clock.run(gapMs);
			times.recordChunk();
		}

		expect({before, after: {first: times.getFirstMs(), pause: times.getLongestPauseMs()}}).toMatchSnapshot();
	});
});
