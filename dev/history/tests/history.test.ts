import {expect} from 'chai';
import {checkHistory, recordHistory} from '../src/index.js';
import {ZONES} from '../src/recorder/constants.js';
import {planFaults} from '../src/recorder/plan-faults.js';

const SEED = 40;
const SECONDS = 8;

// Guards against promises that hold one by one but not while callers, operators and faults meet.
describe('a recorded history of real daemons', () => {
	it('breaks no promise with one short seed', async function () {
		// The run itself ends when its faults are repaired; the limit is for a machine that is ten times slower.
		this.timeout(300_000);
		const {history, plan} = await recordHistory({seed: SEED, seconds: SECONDS});
		const results = checkHistory(history);
		expect({
			plan: plan.map(({faultKind, subject, atMs}) => `${atMs} ms ${faultKind} ${subject}`),
			findings: Object.fromEntries(results.map(({promise, findings}) => [promise, findings])),
			hasAnswers: (results.find(({promise}) => promise === 'P7')?.counted ?? 0) > 0,
		}).toMatchSnapshot();
	});

	// Guards against faults that differ from run to run under one seed.
	it('gets the same fault plan from the same seed, and each kind of fault from some seed', () => {
		const scope = {hosts: ['host-1', 'host-2', 'host-3'], zones: ZONES, targets: ['engine-1']};
		const plans = [1, 2, 3, 4, 5].map(seed => planFaults(seed, 20_000, scope));
		expect(plans).to.deep.equal([1, 2, 3, 4, 5].map(seed => planFaults(seed, 20_000, scope)));
		expect([...new Set(plans.flat().map(({faultKind}) => faultKind))].toSorted()).toMatchSnapshot();
	});
});
