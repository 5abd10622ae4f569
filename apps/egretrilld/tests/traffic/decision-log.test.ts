import {refuseForStop} from '@egretrill/callers';
import {expect} from 'chai';
import {AggregatedLine} from '../../src/traffic/index.js';
import type {Line} from './support/log-capture.js';
import {
	createId, DecisionLogFixture, overloaded, overRate,
} from './support/decision-log-fixture.js';

/** The platform keeps 180 kB of the output of each process; this limit for a minute ensures that they cover 70 s. */
const MINUTE_BYTES = 180_000 * 60 / 70;

function getAggregated(lines: readonly Line[]): readonly AggregatedLine[] {
	return lines.filter(({msg}) => msg === 'Requests of a second.').map(line => AggregatedLine.parse(line));
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

describe('decision lines of an entry host', () => {
	it('hold all answered requests of a second in one line and each failure in a separate one', async () => {
		const fixture = new DecisionLogFixture();
		fixture.answer(createId(1));
		fixture.answer(createId(2), {
			targetId: 'i-c00dd269c1', bodyEnd: 'connection', status: 404, waitMs: 31.6,
		});
		fixture.answer(createId(3), {
			bodyEnd: 'chunks', bodyBytes: 5120, tookMs: 2043, firstMs: 95.2, longestPauseMs: 61, configVersion: 17,
		});
		fixture.answer(createId(4), {bodyEnd: undefined, bodyBytes: undefined});
		fixture.answer(createId(5), {waitMs: 2750, tookMs: 4367});
		fixture.failAttempt(createId(6), 'i-c00dd269c1', 'The target failed with 500.');
		fixture.answer(createId(6), {attempts: 2});
		fixture.breakAnswer(createId(7));
		fixture.refuse(createId(8));
		await fixture.clock.run(1000);
		expect(await fixture.getLines()).toMatchSnapshot();
	});

	// Guards against refusals of a planned stop that look like others, or of which only the first of a second says why.
	it('say of each refusal during a planned stop what time was left and expected', async () => {
		const fixture = new DecisionLogFixture();
		const stopRefusal = {
			checkpoint: 'arrival', stopElapsedMs: 6687.7, stopLeftMs: 812.3, expectedMs: 2400.5, basis: 'observed', observedCount: 128,
		} as const;
		for (let i = 1; i <= 9; i++) {
			fixture.refuse(createId(i), refuseForStop(), undefined, {stopRefusal: {...stopRefusal, stopLeftMs: 812.3 - i}});
		}

		await fixture.clock.run(1000);
		expect(await fixture.getLines()).toMatchSnapshot();
	});

	// Guards against streams that a stop cuts off and of which a busy host's log keeps only the ids, as in the users' record of issue 52.
	it('hold the first and the last decision of each request that the end of a stop cuts off', async () => {
		const fixture = new DecisionLogFixture();
		const stopArrival = {
			checkpoint: 'arrival', stopElapsedMs: 3400, stopLeftMs: 4100, expectedMs: 2000, basis: 'observed-size', observedCount: 128, tokensOut: 950,
		} as const;
		for (let i = 1; i <= 100; i++) {
			fixture.failAttempt(createId(i));
			fixture.answer(createId(i), {
				outcome: 'broken', bodyEnd: undefined, bodyBytes: undefined, wasCutByStop: true, relayedBytes: 1742, longestPauseMs: 1338, stopArrival, stopEstimate: {...stopArrival, checkpoint: 'send', stopLeftMs: 4000 - i},
			});
		}

		await fixture.clock.run(1000);
		const lines = await fixture.getLines();
		const cut = lines.filter(({msg}) => msg === 'The stop of this host cut off a request.');
		expect({
			count: cut.length, first: cut[0], left: lines.at(-1), metrics: fixture.getMetrics('egretrill_stop'),
		}).toMatchSnapshot();
	});

	// Guards against output that covers only 15 s under load, so that the lines about a wrong answer are lost.
	it('keep a minute of output at 50 requests a second with 10 % failures, and omit no id and no details of answered requests', async () => {
		const fixture = new DecisionLogFixture();
		const answered = await fixture.simulate(60, 50);
		await fixture.stop();
		const text = await fixture.getText();
		expect(answered.filter(id => !new RegExp(`${id} [lk]\\d+ `).test(text))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against a load peak at which not only the details but also the ids of answered requests are omitted.
	it('omit no id of an answered request at 100 requests a second with 10 % failures', async () => {
		const fixture = new DecisionLogFixture();
		const answered = await fixture.simulate(60, 100);
		await fixture.stop();
		const text = await fixture.getText();
		expect(answered.filter(id => !text.includes(id))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against unbounded output in a burst of requests, and against requests that no line counts.
	it('count the answered requests whose ids do not fit', async () => {
		const fixture = new DecisionLogFixture();
		const ids = await fixture.simulate(60, 250);
		await fixture.stop();
		const text = await fixture.getText();
		const lines = getAggregated(await fixture.getLines());
		const leftOut = sum(lines.map(line => line.leftOut ?? 0));
		expect(sum(lines.map(({answered = 0}) => answered))).to.equal(ids.length);
		expect(ids.filter(id => !text.includes(id)).length).to.equal(leftOut);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against answered requests of the last second that are missing from the log when the host stops.
	it('are all written when the host stops', async () => {
		const fixture = new DecisionLogFixture();
		fixture.answer(createId(1));
		await fixture.stop();
		fixture.answer(createId(2));
		expect(await fixture.getLines()).toMatchSnapshot();
	});

	// Guards against repeated refusals that exhaust the byte budget, so that other requests are missing from the log.
	it('hold the ids of identical refusals and of identical failures of one target in one line', async () => {
		const fixture = new DecisionLogFixture();
		for (let i = 0; i < 5; i++) {
			fixture.refuse(createId(i));
			fixture.refuse(createId(10 + i), overRate);
			fixture.failAttempt(createId(20 + i), 'i-c00dd269c1', 'No connection within 250 ms.');
			fixture.breakAnswer(createId(30 + i));
		}

		fixture.refuse(createId(40), overloaded, 'tipu150b88');
		await fixture.clock.run(1000);
		fixture.refuse(createId(41));
		await fixture.clock.run(1000);
		expect(await fixture.getLines()).toMatchSnapshot();
	});

	// Guards against failures that no line lists or counts in a burst, and against answered requests that are omitted because of them.
	it('list or count all failures of a burst and list each answered request', async () => {
		const fixture = new DecisionLogFixture();
		const refusedIds: string[] = [];
		const answered: string[] = [];
		for (let i = 0; i < 6000; i++) {
			refusedIds.push(createId(i));
			fixture.refuse(createId(i), i % 2 === 0 ? overloaded : overRate, `model-${i % 7}`);
			if (i % 10 === 0) {
				answered.push(createId(10_000 + i));
				fixture.answer(createId(10_000 + i), {waitMs: 2750, tookMs: 4367});
			}

			await fixture.clock.run(5);
		}

		await fixture.stop();
		const text = await fixture.getText();
		const texts = getAggregated(await fixture.getLines()).flatMap(({failures = {}}) => Object.values(failures));
		const leftOut = sum(texts.map(ids => Number(/\+(?<more>\d+)$/.exec(ids)?.groups?.more ?? 0)));
		expect(refusedIds.filter(id => !text.includes(id)).length).to.equal(leftOut);
		expect(answered.filter(id => !text.includes(id))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES / 2);
	});

	// Guards against failures of the last second that are missing from the log when the host stops.
	it('hold the failures that occur during and after the stop', async () => {
		const fixture = new DecisionLogFixture();
		for (const i of [1, 2, 3]) {
			fixture.refuse(createId(i));
		}

		await fixture.stop();
		fixture.refuse(createId(4));
		fixture.refuse(createId(5));
		const text = await fixture.getText();
		expect(text.match(/b63f0724\d+/g)).toMatchSnapshot();
	});

	// Guards against a caller's id that breaks the format of an entry, and against long names that exhaust the byte budget.
	it('keep an entry intact whatever its id', async () => {
		const fixture = new DecisionLogFixture();
		fixture.answer(String.raw`a b","c\,d`);
		fixture.answer('e'.repeat(10_000));
		fixture.refuse('f'.repeat(10_000), overloaded, 'g'.repeat(10_000));
		await fixture.clock.run(1000);
		expect(await fixture.getLines()).toMatchSnapshot();
	});
});
