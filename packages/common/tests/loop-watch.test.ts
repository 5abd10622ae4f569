import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
	createLogger, LoopMeter, LoopWatch, ManualClock,
} from '../src/index.js';

class MeterRecorder extends LoopMeter {
	readonly lates: number[] = [];
	readonly plans: number[] = [];

	override recordDelay(lateMs: number): void {
		this.lates.push(lateMs);
	}

	override recordPlan(tookMs: number): void {
		this.plans.push(tookMs);
	}
}

/** A watch on a clock that stands for the event loop: a step of the clock is a time in which no timer can fire. */
class WatchWorld {
	readonly clock = new ManualClock();
	readonly meter = new MeterRecorder();
	readonly stopper = new AbortController();
	readonly watch: LoopWatch;
	readonly running: Promise<void>;
	private text = '';

	constructor() {
		const sink = new PassThrough();
		sink.on('data', (bytes: Uint8Array) => {
			this.text += String(bytes);
		});
		this.watch = new LoopWatch(this.clock, createLogger('test', 'info', sink), this.meter);
		this.running = this.watch.run(this.stopper.signal);
	}

	async getLines(): Promise<readonly unknown[]> {
		await nextTurn();
		await nextTurn();
		return this.text.split('\n').filter(line => line !== '').map(line => {
			const {lateMs, planMs, plans, msg} = JSON.parse(line) as Record<string, unknown>;
			return {
				lateMs, planMs, plans, msg,
			};
		});
	}
}

describe('LoopWatch', () => {
	// Guards against a leader that stands still until its lease is lost, without a line that says why.
	it('says once a second how late timers fired and how long plans took', async () => {
		const world = new WatchWorld();
		await world.clock.run(3000);
		world.watch.recordPlan(20);
		await world.clock.run(1000);
		const calm = await world.getLines();
		world.watch.recordPlan(880);
		world.clock.advance(900);
		await world.clock.run(300);
		world.watch.recordPlan(30);
		world.clock.advance(250);
		await world.clock.run(2000);
		expect([calm, await world.getLines(), Math.max(...world.meter.lates), world.meter.plans]).toMatchSnapshot();
	});

	// Guards against a delay right before the stop of a host that no line tells.
	it('says what it has measured when it ends', async () => {
		const world = new WatchWorld();
		world.clock.advance(700);
		await world.clock.run(10);
		world.clock.advance(400);
		world.stopper.abort();
		await world.running;
		expect(await world.getLines()).toMatchSnapshot();
	});
});
