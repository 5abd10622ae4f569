import {expect} from 'chai';
import {AnswersLine} from '../../src/traffic/index.js';
import {createId, LogWorld} from './support/log-world.js';

/** The platform keeps 180 kB of the output of each process, of which a minute may take this much so that 70 s are kept. */
const MINUTE_BYTES = 180_000 * 60 / 70;

describe('decision lines of an entry host', () => {
	it('hold each answered request of a second in one line and each failure in its own', async () => {
		const world = new LogWorld();
		world.answer(createId(1));
		world.answer(createId(2), {
			targetId: 'i-c00dd269c1', bodyEnd: 'connection', status: 404, waitMs: 31.6,
		});
		world.answer(createId(3), {
			bodyEnd: 'chunks', bodyBytes: 5120, tookMs: 2043, firstMs: 95.2, longestPauseMs: 61, configVersion: 17,
		});
		world.answer(createId(4), {bodyEnd: undefined, bodyBytes: undefined});
		world.answer(createId(5), {waitMs: 2750, tookMs: 4367});
		world.miss(createId(6));
		world.answer(createId(6), {attempts: 2});
		world.breakOff(createId(7));
		world.refuse(createId(8));
		await world.clock.run(1000);
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against output that reaches back 15 s under load, so that the lines of a wrong answer are gone.
	it('keep a minute of output at 50 requests a second with a tenth failing, and lose no id of an answered one', async () => {
		const world = new LogWorld();
		const answered = await world.play(60, 50);
		await world.stop();
		const text = await world.getText();
		expect(answered.filter(id => !text.includes(id))).to.deep.equal([]);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against a storm that writes without a bound, and against requests that no line counts.
	it('count the answered requests whose ids do not fit', async () => {
		const world = new LogWorld();
		const answered = await world.play(60, 250);
		await world.stop();
		const text = await world.getText();
		const all = await world.getLines();
		const lines = all.filter(({msg}) => msg === 'Requests were answered.').map(line => AnswersLine.parse(line));
		const leftOut = lines.reduce((sum, line) => sum + (line.leftOut ?? 0), 0);
		expect(lines.reduce((sum, line) => sum + line.count, 0)).to.equal(answered.length);
		expect(answered.filter(id => !text.includes(id)).length).to.equal(leftOut);
		expect(text.length).to.be.below(MINUTE_BYTES);
	});

	// Guards against answered requests of the last second that are in no line when the host stops.
	it('are all written at the stop', async () => {
		const world = new LogWorld();
		world.answer(createId(1));
		await world.stop();
		world.answer(createId(2));
		expect(await world.getLines()).toMatchSnapshot();
	});

	// Guards against an id chosen by a caller that breaks an entry apart or fills the line.
	it('keep an entry whole whatever its id', async () => {
		const world = new LogWorld();
		world.answer(String.raw`a b","c\,d`);
		world.answer('e'.repeat(10_000));
		await world.clock.run(1000);
		expect(await world.getLines()).toMatchSnapshot();
	});
});
