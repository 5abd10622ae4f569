import {expect} from 'chai';
import {checkHistory, recordHistory} from '../src/index.js';
import {ZONES} from '../src/recorder/constants.js';
import {planFaults} from '../src/recorder/plan-faults.js';

const SEED = 40;
const SECONDS = 8;

// Guards against promises that hold in isolation but not when callers, operators and faults overlap.
describe('a recorded history of real daemons', () => {
	it('breaks no promise with one short seed', async function () {
		// The run ends once its faults are repaired; the timeout allows for a machine that is ten times slower.
		this.timeout(300_000);
		const {history, plan} = await recordHistory({seed: SEED, seconds: SECONDS});
		const results = checkHistory(history);
		expect({
			plan: plan.map(({faultKind, subject, atMs}) => `${atMs} ms ${faultKind} ${subject}`),
			findings: Object.fromEntries(results.map(({promise, findings}) => [promise, findings])),
			hasAnswers: (results.find(({promise}) => promise === 'P7')?.counted ?? 0) > 0,
		}).toMatchSnapshot();
	});

	// Guards against a fault plan that differs between runs with the same seed.
	it('creates the same fault plan from the same seed, and every kind of fault over five seeds', () => {
		const scope = {hosts: ['host-1', 'host-2', 'host-3'], zones: ZONES, targets: ['engine-1']};
		const plans = [1, 2, 3, 4, 5].map(seed => planFaults(seed, 20_000, scope));
		expect(plans).to.deep.equal([1, 2, 3, 4, 5].map(seed => planFaults(seed, 20_000, scope)));
		expect([...new Set(plans.flat().map(({faultKind}) => faultKind))].toSorted()).toMatchSnapshot();
	});
});
