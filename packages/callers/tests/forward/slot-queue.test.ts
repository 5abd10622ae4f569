import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	getWaitLimits, type TargetSlot, type SlotResult, type SlotRequirements, SlotQueue, SlotSource, type WaitLimits,
} from '../../src/forward/index.js';

class FakeSource extends SlotSource {
	free = 0;
	pauseLeftMs: number | undefined;
	missing = new Set<string>();
	readonly readyMs = new Map<string, number>();
	readonly requestedLoads: string[] = [];

	override findSlot({model}: SlotRequirements): SlotResult {
		if (model !== undefined && this.missing.has(model)) {
			return {kind: 'none'};
		}

		if (this.pauseLeftMs !== undefined) {
			return {kind: 'paused'};
		}

		if (this.free === 0) {
			return {kind: 'full'};
		}

		this.free -= 1;
		const slot: TargetSlot = {
			targetId: 't1', address: '127.0.0.1:1', zone: 'a', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: 0, recordLoad: () => undefined, recordStream: () => undefined, reportSilence: () => undefined, recordActivity: () => undefined, reportLeaving: () => undefined, reportPause: () => undefined, release: () => undefined,
		};
		return {kind: 'slot', slot};
	}

	override getPauseLeftMs(): number | undefined {
		return this.pauseLeftMs;
	}

	override getTimeUntilReadyMs({model}: SlotRequirements): number | undefined {
		return this.readyMs.get(model ?? '');
	}

	override requestLoad({model}: SlotRequirements): void {
		this.requestedLoads.push(model ?? '');
	}
}

function createRequirements(model: string): SlotRequirements {
	return {
		service: 's', model, parts: [], tried: new Set(),
	};
}

function createLimits(limitMs: number, changes: Partial<WaitLimits> = {}): WaitLimits {
	return {
		unplannedMs: limitMs, plannedMs: limitMs, saturatedMs: limitMs, ...changes,
	};
}

describe('SlotQueue', () => {
	// Guards against urgent requests that wait behind a burst of less urgent ones while all targets are full.
	it('assigns slots by priority, then in order of arrival', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		const queue = new SlotQueue(clock, source);
		const order: string[] = [];
		const acquire = async (name: string, priority: number): Promise<void> => {
			const result = await queue.acquire(createRequirements('m'), priority, createLimits(1000), new AbortController().signal);
			order.push(result.isOk ? name : `${name} refused`);
		};

		const requests = [acquire('late 1', 5), acquire('late 2', 5), acquire('urgent', 0), acquire('middle', 2)];
		for (const _request of requests) {
			source.free = 1;
			queue.dispatch();
			await clock.run(1);
		}

		await Promise.all(requests);
		expect(order).toMatchSnapshot();
	});

	// Guards against a running request that takes another slot while requests of its priority or more urgent ones wait for it.
	it('gives a running request only a slot that no other waits for', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		const queue = new SlotQueue(clock, source);
		const take = (priority: number): boolean => queue.takeFree(createRequirements('m'), priority) !== undefined;
		const taken = [take(1)];
		const waiting = queue.acquire(createRequirements('m'), 1, createLimits(1000), new AbortController().signal);
		source.free = 2;
		taken.push(take(1), take(0));
		queue.dispatch();
		await waiting;
		source.free = 1;
		taken.push(take(1));
		expect(taken).to.deep.equal([false, false, true, true]);
	});

	// Guards against a new request that overtakes requests waiting for the same model.
	it('does not assign a new request the slot that another waits for', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		const queue = new SlotQueue(clock, source);
		const first = queue.acquire(createRequirements('m'), 1, createLimits(1000), new AbortController().signal);
		source.free = 1;
		const second = queue.acquire(createRequirements('m'), 1, createLimits(50), new AbortController().signal);
		queue.dispatch();
		const placed = await first;
		await clock.run(60);
		const refused = await second;
		expect({first: placed.isOk, second: refused.isErr && refused.error}).toMatchSnapshot();
	});

	// Guards against callers that wait for a model until they disconnect although no load was requested.
	it('requests the load of a missing model and returns a retry time if it is not loaded', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		source.missing.add('rare');
		const queue = new SlotQueue(clock, source);
		const pending = queue.acquire(createRequirements('rare'), 1, createLimits(200), new AbortController().signal);
		const waiting = [...queue.getWaitingByModel()];
		await clock.run(250);
		const refused = await pending;
		expect({
			wanted: source.requestedLoads, waiting, refusal: refused.isErr && refused.error, left: queue.getLength(),
		}).toMatchSnapshot();
	});

	// Guards against slots that are assigned to callers that have disconnected.
	it('removes a request whose caller disconnects', async () => {
		const source = new FakeSource();
		const queue = new SlotQueue(new ManualClock(), source);
		const caller = new AbortController();
		const pending = queue.acquire(createRequirements('m'), 1, createLimits(1000), caller.signal);
		caller.abort();
		const result = await pending;
		source.free = 1;
		queue.dispatch();
		expect({refusal: result.isErr && result.error.code, free: source.free, waiting: queue.getLength()}).toMatchSnapshot();
	});

	// Guards against callers that wait for a model whose load finishes after they have disconnected.
	it('refuses at once when a model finishes loading too late, and counts the caller as waiting until its retry', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		source.missing.add('slow').add('soon');
		source.readyMs.set('slow', 4000).set('soon', 800);
		const queue = new SlotQueue(clock, source);
		const refused = await queue.acquire(createRequirements('slow'), 1, createLimits(1500), new AbortController().signal);
		const waits = queue.acquire(createRequirements('soon'), 1, createLimits(1500), new AbortController().signal);
		const waiting = [...queue.getWaitingByModel()];
		await clock.run(800);
		source.missing.delete('soon');
		source.free = 1;
		queue.dispatch();
		const served = await waits;
		await clock.run(4000);
		expect({
			refusal: refused.isErr && refused.error, waiting, isServed: served.isOk, waitingLater: [...queue.getWaitingByModel()],
		}).toMatchSnapshot();
	});

	// Guards against time per request that grows with the number of waiting requests: keys are built once per request, not once per waiting request.
	it('reads the requirements equally often for a new request whether few or many requests wait', () => {
		const count = (waiting: number): {readonly joining: number; readonly trying: number} => {
			let reads = 0;
			const createCounted = (model: string): SlotRequirements => new Proxy(createRequirements(model), {
				get(target, name: keyof SlotRequirements) {
					reads += 1;
					return target[name];
				},
			});
			const queue = new SlotQueue(new ManualClock(), new FakeSource());
			const {signal} = new AbortController();
			for (let i = 0; i < waiting; i++) {
				void queue.acquire(createCounted('m'), 1, createLimits(1000), signal);
			}

			reads = 0;
			void queue.acquire(createCounted('m'), 1, createLimits(1000), signal);
			const joining = reads;
			reads = 0;
			queue.dispatch();
			return {joining, trying: reads};
		};

		expect({of8: count(8), of80: count(80)}).toMatchSnapshot();
	});

	// Guards against requests that wait for targets which take none for longer than the caller does, and against callers that all return at once when the pause ends.
	it('refuses requests at once during a long pause of all targets, with returns that are spread, and waits for the end of a short one', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		const queue = new SlotQueue(clock, source);
		const acquire = async (): Promise<string> => {
			const result = await queue.acquire(createRequirements('m'), 0, createLimits(400), new AbortController().signal);
			return result.isOk ? `served after ${clock.now()} ms` : `${result.error.code}, return after ${result.error.retryAfterMs} ms`;
		};

		source.pauseLeftMs = 6000;
		const refused = await Promise.all([acquire(), acquire(), acquire()]);
		source.pauseLeftMs = 300;
		const waiting = acquire();
		await clock.run(300);
		source.pauseLeftMs = undefined;
		source.free = 1;
		queue.dispatch();
		expect({
			refused, waited: await waiting, backlog: queue.getWaitingByModel(), requestedLoads: source.requestedLoads,
		}).toMatchSnapshot();
	});
});

describe('SlotQueue where the leader knows of no shortage', () => {
	// Guards against refusals after some ms while a plain target is full in a short burst, and after an eighth of the target latency while a missing model is about to be planned.
	it('waits as long as without figures', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		source.missing.add('rare');
		const queue = new SlotQueue(clock, source);
		const waitedMs = async (model: string): Promise<number | 'served'> => {
			const result = await queue.acquire(createRequirements(model), 0, getWaitLimits({isStream: false, targetLatencyMs: 124}, 1000), new AbortController().signal);
			return result.isOk ? 'served' : clock.now();
		};

		queue.createReport();
		queue.applyFigures([]);
		const waits = [waitedMs('m'), waitedMs('m'), waitedMs('rare')];
		await clock.run(30);
		source.free = 1;
		queue.dispatch();
		await clock.run(970);
		expect(await Promise.all(waits)).to.deep.equal(['served', 250, 500]);
	});
});

describe('refused callers that are expected back', () => {
	// Guards against copies of models that are loaded for callers which have returned long ago, or cannot return.
	it('count until a third of their time, and not at all if they are told a later time than they have', async () => {
		const clock = new ManualClock();
		const source = new FakeSource();
		source.missing.add('rare');
		source.readyMs.set('rare', 6000);
		const queue = new SlotQueue(clock, source);
		const refuse = async (endsMs: number): Promise<number | undefined> => {
			await queue.acquire(createRequirements('rare'), 1, {...createLimits(100), endsMs}, new AbortController().signal);
			return queue.getWaitingByModel()[0]?.waiting;
		};

		const counts = [await refuse(3000), await refuse(9000)];
		await clock.run(4000);
		expect([...counts, queue.getWaitingByModel().length]).to.deep.equal([undefined, 1, 0]);
	});
});
