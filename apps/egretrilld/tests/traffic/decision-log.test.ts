import {expect} from 'chai';
import {AggregatedLine} from '../../src/traffic/index.js';
import type {Line} from './support/log-lines.js';
import {
	createId, DecisionLogFixture, overloaded, overRate,
} from './support/decision-log-fixture.js';

/** The platform keeps 180 kB of the output of each process, of which a minute may take this much so that 70 s are kept. */
const MINUTE_BYTES = 180_000 * 60 / 70;

function getFolded(lines: readonly Line[]): readonly AggregatedLine[] {
	return lines.filter(({msg}) => msg === 'Requests of a second.').map(line => AggregatedLine.parse(line));
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

describe('decision lines of an entry host', () => {
	it('hold each answered request of a second in one line and each failure in its own', async () => {
		const world = new DecisionLogFixture();
		world.answer(createId(1));
		world.answer(createId(2), {
			targetId: 'i-c00dd269c1', bodyEnd: 'connection', status: 404, waitMs: 31.6,
		});
		world.answer(createId(3), {
			bodyEnd: 'chunks', bodyBytes: 5120, tookMs: 2043, firstMs: 95.2, longestPauseMs: 61, configVersion: 17,
		});
		world.answer(createId(4), {bodyEnd: undefined, bodyBytes: undefined});
		world.answer(createId(5), {waitMs: 2750, tookMs: 4367});
		world.miss(createId(6), 'i-c00dd269c1', 'The target failed with 500.');
		world.answer(createId(6), {attempts: 2});
		world.breakOff(createId(7));
		world.refuse(createId(8));
		await world.clock.run(1000);
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against output that reaches back 15 s under load, so that the lines of a wrong answer are gone.
	it('keep a minute of output at 50 requests a second with a tenth failing, and lose no id and no facts of an answered one', async () => {
		const world = new DecisionLogFixture();
		const answered = await world.play(60, 50);
		await world.stop();
		const text = await world.getText();
		expect(answered.filter(id => !new RegExp(`${id} [lk]\\d+ `).test(text))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against a peak of load that takes the ids of answered requests and not only their facts.
	it('lose no id of an answered request at 100 requests a second with a tenth failing', async () => {
		const world = new DecisionLogFixture();
		const answered = await world.play(60, 100);
		await world.stop();
		const text = await world.getText();
		expect(answered.filter(id => !text.includes(id))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against a storm that writes without a bound, and against requests that no line counts.
	it('count the answered requests whose ids do not fit', async () => {
		const world = new DecisionLogFixture();
		const ids = await world.play(60, 250);
		await world.stop();
		const text = await world.getText();
		const lines = getFolded(await world.getLines());
		const leftOut = sum(lines.map(line => line.leftOut ?? 0));
		expect(sum(lines.map(({answered = 0}) => answered))).to.equal(ids.length);
		expect(ids.filter(id => !text.includes(id)).length).to.equal(leftOut);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against answered requests of the last second that are in no line when the host stops.
	it('are all written at the stop', async () => {
		const world = new DecisionLogFixture();
		world.answer(createId(1));
		await world.stop();
		world.answer(createId(2));
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against a refusal that repeats until the bound leaves no room for others, so that their requests are in no line.
	it('hold the ids of equal refusals and of equal failures of one target in one line', async () => {
		const world = new DecisionLogFixture();
		for (let i = 0; i < 5; i++) {
			world.refuse(createId(i));
			world.refuse(createId(10 + i), overRate);
			world.miss(createId(20 + i), 'i-c00dd269c1', 'No connection within 250 ms.');
			world.breakOff(createId(30 + i));
		}

		world.refuse(createId(40), overloaded, 'tipu150b88');
		await world.clock.run(1000);
		world.refuse(createId(41));
		await world.clock.run(1000);
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against failures that no line names or counts in a storm, and against answered requests that give way to them.
	it('name or count all failures of a storm and each answered request beside it', async () => {
		const world = new DecisionLogFixture();
		const storm: string[] = [];
		const answered: string[] = [];
		for (let i = 0; i < 6000; i++) {
			storm.push(createId(i));
			world.refuse(createId(i), i % 2 === 0 ? overloaded : overRate, `model-${i % 7}`);
			if (i % 10 === 0) {
				answered.push(createId(10_000 + i));
				world.answer(createId(10_000 + i), {waitMs: 2750, tookMs: 4367});
			}

			await world.clock.run(5);
		}

		await world.stop();
		const text = await world.getText();
		const texts = getFolded(await world.getLines()).flatMap(({failures = {}}) => Object.values(failures));
		const leftOut = sum(texts.map(ids => Number(/\+(?<more>\d+)$/.exec(ids)?.groups?.more ?? 0)));
		expect(storm.filter(id => !text.includes(id)).length).to.equal(leftOut);
		expect(answered.filter(id => !text.includes(id))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES / 2);
	});

	// Guards against failures of the last second that are in no line when the host stops.
	it('hold the failures that end at the stop and after it', async () => {
		const world = new DecisionLogFixture();
		for (const i of [1, 2, 3]) {
			world.refuse(createId(i));
		}

		await world.stop();
		world.refuse(createId(4));
		world.refuse(createId(5));
		const text = await world.getText();
		expect(text.match(/b63f0724\d+/g)).toMatchSnapshot();
	});

	// Guards against an id chosen by a caller that breaks an entry apart, and against names that use up the room of others.
	it('keep an entry whole whatever its id', async () => {
		const world = new DecisionLogFixture();
		world.answer(String.raw`a b","c\,d`);
		world.answer('e'.repeat(10_000));
		world.refuse('f'.repeat(10_000), overloaded, 'g'.repeat(10_000));
		await world.clock.run(1000);
		expect(await world.getLines()).toMatchSnapshot();
	});
});
