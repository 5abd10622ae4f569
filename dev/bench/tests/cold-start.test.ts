import {expect} from 'chai';
import {runColdStartBench} from '../src/cold-start.js';

describe('cold-start bench', () => {
	it('keeps the load of a restarted target within what it sustains when the zone owner runs the ramp, including a change of the owner', async () => {
		for (const seed of [1, 2, 3]) {
			const {zoneOwner} = await runColdStartBench({seed});
			expect(zoneOwner, `seed ${seed}`).to.include({failedOnColdTarget: 0, gaveUp: 0, highestLoadOverSustained: 1});
		}
	});
});
