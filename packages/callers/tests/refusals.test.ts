import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	CrashGate, CrashTracker, getFingerprint, getRequestKey, RetryBudget,
} from '../src/index.js';

describe('refusal of requests that ended targets', () => {
	it('counts distinct target starts only, so that one crash reported by several hosts blocks nothing', () => {
		const clock = new ManualClock();
		const tracker = new CrashTracker(clock, 'test', 2);
		const gate = new CrashGate(clock, tracker);
		const key = getRequestKey(getFingerprint(['atlas', '/v1/chat/completions'], new TextEncoder().encode('{"model":"m"}')), 13);
		const steps: unknown[] = [];
		for (const startId of ['start-1', 'start-1', 'start-2']) {
			tracker.recordEnd([key], startId);
			steps.push(gate.getRefusal([key]) ?? 'admitted');
		}

		clock.advance(600_000);
		steps.push(tracker.getVerdict(key.key));
		clock.advance(1000);
		steps.push(tracker.getVerdict(key.key), tracker.listBlocked());
		expect(steps).toMatchSnapshot();
	});

	it('keeps fields apart, so that no customer can block the request of another', () => {
		const body = new TextEncoder().encode('x');
		expect(getFingerprint(['a', 'b/c'], body)).to.not.equal(getFingerprint(['ab', '/c'], body));
	});
});

describe('retry budget', () => {
	it('allows 10 % of the requests of the last 10 s plus 10, so that retries cannot multiply an overload', () => {
		const clock = new ManualClock();
		const budget = new RetryBudget(clock);
		const countRetries = (): number => {
			let retries = 0;
			while (budget.tryConsumeRetry()) {
				retries += 1;
			}

			return retries;
		};

		const allowed = [countRetries()];
		for (let i = 0; i < 200; i++) {
			budget.countRequest();
		}

		allowed.push(countRetries());
		clock.advance(5000);
		allowed.push(countRetries());
		clock.advance(5100);
		allowed.push(countRetries());
		expect(allowed).to.deep.equal([10, 20, 0, 10]);
	});
});
