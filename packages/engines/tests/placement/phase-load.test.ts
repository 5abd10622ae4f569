import {expect} from 'chai';
import {measurePhases, smoothPhases} from '../../src/placement/index.js';

type Role = 'prefill' | 'decode' | 'mixed';

function createTarget(role: Role, running: number, prefilling?: number, waiting = 0) {
	return {
		role, load: {
			running, waiting, limit: 10, kvUsedRatio: 0, ...(prefilling !== undefined && {prefilling}),
		},
	};
}

describe('phase load', () => {
	it('shares mixed targets between the phases and measures nothing for engines that do not report phases', () => {
		expect({
			silent: measurePhases([createTarget('mixed', 5)]),
			idle: measurePhases([createTarget('mixed', 0, 0)]),
			mixed: measurePhases([createTarget('mixed', 10, 2)]),
			prefillShort: measurePhases([createTarget('prefill', 10, 10, 5), createTarget('decode', 3, 0)]),
			mixedHelps: measurePhases([createTarget('prefill', 10, 10, 5), createTarget('decode', 3, 0), createTarget('mixed', 0, 0)]),
			noneDecodes: measurePhases([createTarget('prefill', 4, 2)]),
		}).toMatchSnapshot();
	});

	it('follows a lasting change but not a burst', () => {
		const [idle, full] = [{prefillUtilisation: 0, decodeUtilisation: 0}, {prefillUtilisation: 1, decodeUtilisation: 1}];
		expect(smoothPhases(idle, full, 1000)?.prefillUtilisation).to.be.below(0.1);
		expect(smoothPhases(idle, full, 60_000)?.prefillUtilisation).to.be.above(0.99);
	});
});
