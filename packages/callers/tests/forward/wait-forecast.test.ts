import {ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {
	decideWait, getWaitLimits, type TargetSlot, type SlotResult, type SlotRequirements, SlotQueue, SlotRate, SlotSource, RetrySchedule, type WaitLimits, type WaitReason, type WaitState,
} from '../../src/forward/index.js';

const limits: WaitLimits = {unplannedMs: 1500, plannedMs: 2500, saturatedMs: 400};

function decide(reason: WaitReason, waitedMs: number, forecastMs?: number): unknown {
	return decideWait({reason, waitedMs, forecastMs}, limits);
}

const requirements: SlotRequirements = {
	service: 's', model: 'm', parts: [], tried: new Set(),
};

/** Targets with a fixed number of slots, where each request takes the same time. */
class BusySlots extends SlotSource {
	private running = 0;

	constructor(private readonly clock: ManualClock, private readonly slots: number, private readonly workMs: number) {
		super();
	}

	override findSlot(): SlotResult {
		if (this.running >= this.slots) {
			return {kind: 'full'};
		}

		this.running += 1;
		const slot: TargetSlot = {
			targetId: 't', address: '127.0.0.1:1', zone: 'a', startedAtMs: 1, wasCold: false, isLeaving: () => false, outstanding: 0, recordLoad: () => undefined, recordStream: () => undefined, reportSilence: () => undefined, recordActivity: () => undefined, reportLeaving: () => undefined, reportPause: () => undefined, release: () => undefined,
		};
		void this.work();
		return {kind: 'slot', slot};
	}

	override requestLoad(): void {
		throw new Error('No load must be requested: the model is loaded.');
	}

	override getPauseLeftMs(): undefined {
		return undefined;
	}

	override getTimeUntilReadyMs(): undefined {
		return undefined;
	}

	private async work(): Promise<void> {
		await this.clock.sleep(this.workMs);
		this.running -= 1;
	}
}

type BurstCounts = {served: number; inTime: number; refused: number; heldMs: number};

/** Simulates callers that arrive at a constant rate and counts their outcomes. */
async function simulateBurst({perSecond, seconds, latencyMs}: {perSecond: number; seconds: number; latencyMs: number}): Promise<BurstCounts> {
	const clock = new ManualClock();
	const queue = new SlotQueue(clock, new BusySlots(clock, 10, 200));
	const counts: BurstCounts = {
		served: 0, inTime: 0, refused: 0, heldMs: 0,
	};
	const call = async (): Promise<void> => {
		const startedMs = clock.now();
		const acquired = await queue.acquire(requirements, 1, {unplannedMs: 1500, plannedMs: 1500, saturatedMs: latencyMs}, new AbortController().signal);
		const waitedMs = clock.now() - startedMs;
		if (acquired.isOk) {
			counts.served += 1;
			counts.inTime += Number(waitedMs <= latencyMs);
		} else {
			counts.refused += 1;
			counts.heldMs += waitedMs;
		}
	};

	const calls: Array<Promise<void>> = [];
	for (let sent = 0; sent < perSecond * seconds; sent++) {
		calls.push(call());
		await clock.run(1000 / perSecond);
		queue.dispatch();
	}

	for (let step = 0; step < 200; step++) {
		await clock.run(10);
		queue.dispatch();
	}

	await Promise.all(calls);
	return counts;
}

describe('decideWait', () => {
	// Guards against callers that wait for a slot that cannot be available in time, and against refusals of callers that could be served.
	it('keeps a request waiting only while its slot is expected within the limit', () => {
		expect({
			loadEndsInTime: decide('none', 100, 2000),
			loadEndsTooLate: decide('none', 0, 4000),
			nobodyLoads: decide('none', 100),
			nobodyLoadsAfterAWhile: decide('none', 700),
			adapterOnItsWay: decide('adapter-missing', 900),
			placeSoon: decide('full', 100, 200),
			placeTooLate: decide('full', 100, 900),
			placeUnknown: decide('full', 100),
			placeUnknownTooLong: decide('full', 400),
		}).toMatchSnapshot();
	});
});

describe('decideWait with the limits of a route', () => {
	// Guards against requests that are held for longer than an eighth of their target latency without any forecast, and against forecasts that err a little and end in a refusal after a wait.
	it('ends a wait without a forecast early and leaves room for errors of a forecast', () => {
		const decideFor = (targetLatencyMs: number, state: Omit<WaitState, 'forecastMs'> & {readonly forecastMs?: number}): unknown => decideWait({forecastMs: undefined, isShortage: true, ...state}, getWaitLimits({isStream: true, targetLatencyMs}, 10_000));
		expect({
			urgentUnknown: decideFor(252, {reason: 'full', waitedMs: 0}),
			patientUnknown: decideFor(5000, {reason: 'full', waitedMs: 0}),
			onlyCold: decideFor(252, {reason: 'full', waitedMs: 0, isCold: true}),
			firstForModel: decideFor(252, {reason: 'none', waitedMs: 0}),
			againForModel: decideFor(252, {reason: 'none', waitedMs: 40, wasRefusedBefore: true}),
			newNearLimit: decideFor(252, {
				reason: 'full', waitedMs: 0, forecastMs: 150, isNew: true,
			}),
			heldNearLimit: decideFor(252, {reason: 'full', waitedMs: 50, forecastMs: 150}),
			loadBeyondLimit: decideFor(252, {
				reason: 'none', waitedMs: 0, forecastMs: 1200, isNew: true,
			}),
		}).toMatchSnapshot();
	});
});

describe('SlotRate', () => {
	// Guards against a forecast that stays the same after slots have stopped becoming free.
	it('estimates the wait from recently assigned slots', async () => {
		const clock = new ManualClock();
		const rate = new SlotRate(clock);
		const early = rate.getWaitMs('m', 0);
		for (let i = 0; i < 200; i++) {
			rate.recordSlot('m');
			await clock.run(20);
		}

		const steady = [rate.getWaitMs('m', 0), rate.getWaitMs('m', 9)].map(waitMs => waitMs && Math.round(waitMs));
		await clock.run(6000);
		expect({early, steady, afterStall: rate.getWaitMs('m', 0)}).toMatchSnapshot();
	});
});

describe('RetrySchedule', () => {
	// Guards against refused callers that all retry at the same time and are refused again.
	it('spaces the retries of callers, up to a maximum delay', () => {
		const clock = new ManualClock();
		const schedule = new RetrySchedule(clock);
		const told = Array.from({length: 5}, () => schedule.getRetryAfterMs('m', 300, 100));
		const others = schedule.getRetryAfterMs('n', 300);
		const latest = Array.from({length: 100}, () => schedule.getRetryAfterMs('m', 300, 100)).at(-1);
		clock.advance(10_000);
		expect({
			told, others, latest, later: schedule.getRetryAfterMs('m', 300, 100),
		}).toMatchSnapshot();
	});
});

describe('SlotQueue under a burst', () => {
	// Guards against a queue in which all callers wait until it is too late for each of them. The load is twice the capacity of the targets.
	it('serves as many requests as the targets can handle, nearly all in time, and refuses the others at once', async () => {
		const counts = await simulateBurst({perSecond: 100, seconds: 10, latencyMs: 400});
		expect(counts.served, 'served').to.be.within(480, 520);
		expect(counts.inTime / counts.served, 'served in time').to.be.above(0.95);
		expect(counts.heldMs / counts.refused, 'mean time to a refusal').to.be.below(100);
	});

	// Guards against refusals of a load within the capacity of the targets.
	it('refuses nothing within the capacity of the targets', async () => {
		const tally = await simulateBurst({perSecond: 40, seconds: 10, latencyMs: 400});
		expect(tally).to.deep.equal({
			served: 400, inTime: 400, refused: 0, heldMs: 0,
		});
	});
});
