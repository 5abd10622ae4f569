import {expect} from 'chai';
import {type Fleet, playMovingDemand} from './moving-demand.js';

const WAVE_PERIOD_MS = 13_000;
const PLAY_MS = 4 * WAVE_PERIOD_MS;

/** With the largest share of the demand that may be lost or find no copy. */
const fleets: Readonly<Record<string, Fleet & {readonly maxLost: number}>> = {
	'42 engines with 84 models': {
		engineCount: 42, modelCount: 84, modelsPerEngine: 2, slots: 24, speeds: [1, 1, 1.3], maxLost: 0.025,
	},
	'78 engines with 242 models': {
		engineCount: 78, modelCount: 242, modelsPerEngine: 3, slots: 12, speeds: [0.6, 1, 1.6], maxLost: 0.085,
	},
};

describe('planLoads for demand in waves with as many places as models', () => {
	for (const [name, {maxLost, ...fleet}] of Object.entries(fleets)) {
		// Guards against loads in advance that take the second copies of busy models in a trough, which nothing brings back at the next peak.
		it(`keeps additional copies of busy models: ${name}`, () => {
			const report = playMovingDemand({
				durationMs: PLAY_MS, knowsSpeeds: true, fleet, wavePeriodMs: WAVE_PERIOD_MS,
			});
			expect(report.busiestCopies).to.be.at.least(2);
			expect(report.lostShare + report.missingShare).to.be.below(maxLost);
		});
	}
});
