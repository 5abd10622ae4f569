import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
	createLogger, LoopMeter, LoopWatch, ManualClock,
} from '../src/index.js';

class RecordingMeter extends LoopMeter {
	readonly delaysMs: number[] = [];
	readonly planDurationsMs: number[] = [];

	override recordDelay(lateMs: number): void {
		this.delaysMs.push(lateMs);
	}

	override recordPlan(tookMs: number): void {
		this.planDurationsMs.push(tookMs);
	}
}

/** A watch on a manual clock: `advance` simulates a blocked event loop, since no timer fires during its step. */
class LoopWatchFixture {
	readonly clock = new ManualClock();
	readonly meter = new RecordingMeter();
	readonly controller = new AbortController();
	readonly watch: LoopWatch;
	readonly running: Promise<void>;
	private text = '';

	constructor() {
		const sink = new PassThrough();
		sink.on('data', (bytes: Uint8Array) => {
			this.text += String(bytes);
		});
		this.watch = new LoopWatch(this.clock, createLogger('test', 'info', sink), this.meter);
		this.running = this.watch.run(this.controller.signal);
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
	// Guards against a leader that is blocked until its lease expires, without a log line that gives the cause.
	it('logs once a second how late timers fired and how long planning took', async () => {
		const fixture = new LoopWatchFixture();
		await fixture.clock.run(3000);
		fixture.watch.recordPlan(20);
		await fixture.clock.run(1000);
		const linesBeforeDelay = await fixture.getLines();
		fixture.watch.recordPlan(880);
		fixture.clock.advance(900);
		await fixture.clock.run(300);
		fixture.watch.recordPlan(30);
		fixture.clock.advance(250);
		await fixture.clock.run(2000);
		expect([linesBeforeDelay, await fixture.getLines(), Math.max(...fixture.meter.delaysMs), fixture.meter.planDurationsMs]).toMatchSnapshot();
	});

	// Guards against a delay right before a host stops that is not logged.
	it('logs its last measurements when it ends', async () => {
		const fixture = new LoopWatchFixture();
		fixture.clock.advance(700);
		await fixture.clock.run(10);
		fixture.clock.advance(400);
		fixture.controller.abort();
		await fixture.running;
		expect(await fixture.getLines()).toMatchSnapshot();
	});
});
