import {expect} from 'chai';
import {
	LoadBudget, type LoadKind, type LoadUrgency, MODEL_PERMIT_TTL_MS,
} from '../src/index.js';

const limits = {loadsPerSecond: 2, concurrentLoads: 9, concurrentAdapterLoads: 70};

function createBudget(isSuccessor = false): LoadBudget {
	return new LoadBudget({
		limits, nowMs: 0, isSuccessor, epoch: 1,
	});
}

function request(budget: LoadBudget, requestId: string, nowMs: number, opts: {readonly urgency?: LoadUrgency; readonly kind?: LoadKind} = {}): string {
	const answer = budget.requestPermit({
		requestId, holder: 'host', kind: 'model', urgency: 'urgent', ...opts,
	}, nowMs);
	return `${nowMs} ms ${requestId}: ${answer.granted ? `permit ${answer.permitId}` : `${answer.reason}, again in ${answer.retryAfterMs.toFixed(0)} ms`}`;
}

describe('load budget', () => {
	it('grants no burst when 50 hosts request permits at once, and stays under both limits', () => {
		const budget = createBudget();
		const grantedAtMs: number[] = [];
		const granted = new Set<string>();
		let most = 0;
		for (let nowMs = 0; nowMs < 20_000; nowMs += 20) {
			for (let host = 0; host < 50; host++) {
				const id = `h${host}`;
				if (!granted.has(id) && request(budget, id, nowMs).includes('permit')) {
					granted.add(id);
					grantedAtMs.push(nowMs);
				}
			}

			most = Math.max(most, budget.countHeld('model', nowMs));
		}

		expect({most, grantedAtMs}).toMatchSnapshot();
		expect(most).to.be.at.most(limits.concurrentLoads);
		expect(grantedAtMs.every((atMs, i) => i === 0 || atMs - grantedAtMs[i - 1]! >= 500)).to.equal(true);
	});

	it('grants urgent loads before speculative ones that were requested earlier', () => {
		const budget = createBudget();
		expect([
			request(budget, 'first', 0),
			request(budget, 'guess', 10, {urgency: 'speculative'}),
			request(budget, 'needed', 20),
			request(budget, 'guess', 500, {urgency: 'speculative'}),
			request(budget, 'needed', 510),
			request(budget, 'guess', 1010, {urgency: 'speculative'}),
		]).toMatchSnapshot();
	});

	it('returns the same permit for a repeated request and frees permits by release and by expiry', () => {
		const budget = createBudget();
		const lines = [request(budget, 'a', 0), request(budget, 'a', 100), request(budget, 'b', 500)];
		budget.releasePermit('1-1');
		budget.releasePermit('1-1');
		expect([...lines, `held ${budget.countHeld('model', 600)}`, `held ${budget.countHeld('model', 600 + (MODEL_PERMIT_TTL_MS * 1.1))}`]).toMatchSnapshot();
	});

	it('limits concurrent adapter loads, separately from model loads', () => {
		const budget = createBudget();
		const answers = Array.from({length: 80}, (_, i) => request(budget, `x${i}`, 0, {kind: 'adapter'}));
		expect(answers.filter(line => line.includes('permit'))).to.have.length(70);
		expect(answers.at(-1)).toMatchSnapshot();
	});

	it('drops a queued request that is no longer repeated, so that it does not block the queue', () => {
		const budget = createBudget();
		expect([request(budget, 'first', 0), request(budget, 'gone', 100), request(budget, 'next', 600), request(budget, 'next', 1600), request(budget, 'next', 2200)]).toMatchSnapshot();
	});

	it('grants nothing as successor until the permits of the previous owner have expired', () => {
		const budget = createBudget(true);
		expect([0, 5000, 10_000, 10_100].map(nowMs => request(budget, 'a', nowMs))).toMatchSnapshot();
	});
});
