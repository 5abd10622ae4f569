import {Metrics} from '@egretrill/balancer';
import {createLogger, LoopWatch, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {LoopMetrics} from '../../src/traffic/loop-metrics.js';

describe('LoopMetrics', () => {
	// Guards against a process whose metrics do not show that its timers fire late.
	it('exports timer delays and planning durations', async () => {
		const clock = new ManualClock();
		const metrics = new Metrics(clock);
		const stopper = new AbortController();
		const watch = new LoopWatch(clock, createLogger('test', 'fatal'), new LoopMetrics(metrics));
		const running = watch.run(stopper.signal);
		await clock.run(500);
		clock.advance(850);
		watch.recordPlan(720);
		await clock.run(100);
		stopper.abort();
		await running;
		expect(metrics.format().split('\n').filter(line => /timer_late|plan_ms/.test(line))).toMatchSnapshot();
	});
});
