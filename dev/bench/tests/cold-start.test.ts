import {expect} from 'chai';
import {runColdStartBench} from '../src/cold-start.js';

describe('cold-start run', () => {
	it('never loads a fresh target beyond what it sustains when the zone owner ramps it, also over a change of owner', async () => {
		for (const seed of [1, 2, 3]) {
			const {zoneOwner} = await runColdStartBench({seed});
			expect(zoneOwner, `seed ${seed}`).to.include({failedOnColdTarget: 0, gaveUp: 0, highestLoadOverSustained: 1});
		}
	});
});
