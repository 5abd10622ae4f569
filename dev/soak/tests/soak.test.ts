import {expect} from 'chai';
import {createReport, runSoak} from '../src/index.js';

const SECONDS = 25;
/** Seeds that once showed a violation, with its cause. The processes run in real time, so that a seed repeats its steps but not each moment. */
const seeds: Readonly<Record<string, number>> = {
	'a long stream that a stopping host took and cut off': 112,
	'a stream that fell silent and was cut off by the stop': 121,
};

describe('a fleet on the platform under planned work', () => {
	for (const [name, seed] of Object.entries(seeds)) {
		// Guards against requests that are lost, run twice or refused after they have run, while hosts stop, start, reload and change their configuration at the same time.
		it(`keeps what callers were promised: ${name}, seed ${seed}`, async () => {
			const result = await runSoak({
				seed, seconds: SECONDS, entries: 4, callers: 200,
			});
			const {violations} = createReport(result);
			const kinds = new Set(result.steps.map(({kind}) => kind));
			expect({violations: violations.map(({rule, detail}) => `${rule}: ${detail}`), hasStopped: kinds.has('stop'), hasStarted: kinds.has('start')}).to.deep.equal({violations: [], hasStopped: true, hasStarted: true});
		}).timeout(120_000);
	}
});
