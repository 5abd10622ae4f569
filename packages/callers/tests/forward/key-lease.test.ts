import {expect} from 'chai';
import {runRequest, type ScenarioOptions} from './support/forward-scenario.js';

/** A request that waits for a second without a forecast, an eighth of its target latency. */
const patient: ScenarioOptions = {route: {isOpen: false, timeoutMs: 10_000, targetLatencyMs: 8000}, headers: ['key', 'k'], answers: [{chunks: ['ok']}]};
const keyed: ScenarioOptions = {route: {isOpen: false, timeoutMs: 10_000}, headers: ['key', 'k'], answers: [{chunks: ['ok']}]};

const rows: Readonly<Record<string, ScenarioOptions>> = {
	'a request with a key while the lease is valid': {...keyed, keyLeaseMs: 1000},
	'a request with a key after the lease': {...keyed, keyLeaseMs: 0},
	'a request on an open route after the lease': {...keyed, route: {}, keyLeaseMs: 0},
	'a request whose lease ends while it waits': {
		...patient, keyLeaseMs: 200, targets: ['t1'], freeAfterMs: {t1: 500},
	},
	'a request whose key is withdrawn while it waits': {
		...patient, targets: ['t1'], freeAfterMs: {t1: 500}, keysWithdrawnAfterMs: 300,
	},
	'a stream whose key is withdrawn while it runs': {
		...keyed, route: {...keyed.route, isStream: true}, keyLeaseMs: 200, keysWithdrawnAfterMs: 100, answers: [{isEventStream: true, chunks: ['id: 1\ndata: x\n\n', 'id: 2\ndata: x\n\n'], pausesMs: {1: 500}}],
	},
};

describe('requests with keys', () => {
	// Guards against a withdrawn key that is served by a host out of touch or from its queue, and against streams that end with their key.
	for (const [name, opts] of Object.entries(rows)) {
		it(`are served only while their key is known to be valid: ${name}`, async () => {
			expect(await runRequest(opts)).toMatchSnapshot();
		});
	}
});
