import {
	ManualClock, MemoryBudget, TimeMark, type TrafficConfig, type TrafficRoute, TurnQueue,
} from '@egretrill/common';
import {
	CrashGate, CrashTracker, getPartKeys, RetryBudget,
} from '../../../src/index.js';
import {
	type ForwardDependencies, forwardRequest, KeyLease, PlannedStop, RouteDurations, RouteSizes, SlotQueue, RetrySchedule, RouteTable, TargetEnds,
} from '../../../src/forward/index.js';
import {
	type FakeAnswer, type ThrowingStep, FakeDialect, FakeSender, FakeExchange, FakeSlots, EndRecorder, RecordingRates, RefusingProbe, UnavailablePoolClient,
} from './forward-fakes.js';

export type {FakeAnswer} from './forward-fakes.js';

/** When the queue is looked through while a lease on keys may have ended. */
const DISPATCH_AFTER_MS = 300;

const route: TrafficRoute = {
	name: 'r', hostName: 'app.test', pathPrefix: '/', repeat: 'once', isStream: false, isResumable: false, isOpen: true, timeoutMs: 2000, targetLatencyMs: 500, priority: 1, maxAttempts: 2, services: [{service: 's', weight: 1}],
};

const config: TrafficConfig = {
	version: 1,
	routes: [],
	services: [{name: 's', coldRequestsPerSecond: 0}],
	limits: {
		maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
	customers: [{
		name: 'c', keys: ['k'], unit: 'requests', plainTokens: 0, ratePerSecond: 0, burst: 0,
	}],
};

export type ScenarioOptions = {
	readonly route?: Partial<TrafficRoute>;
	readonly answers?: readonly FakeAnswer[];
	readonly targets?: readonly string[];
	readonly headers?: readonly string[];
	/** Times at which full targets get a free slot. */
	readonly freeAfterMs?: Readonly<Record<string, number>>;
	/** Times from which targets are known to leave, and at which they are gone. */
	readonly leaving?: Readonly<Record<string, {readonly fromMs: number; readonly untilMs: number}>>;
	/** Time for which the caller accepts no data after each event. */
	readonly writeMs?: number;
	/** Retries that the service may use. */
	readonly retryReserve?: number;
	/** Time after which the caller disconnects. */
	readonly disconnectsAfterMs?: number;
	readonly isUnconfigured?: boolean;
	/** Rate of the only customer; unlimited if absent. */
	readonly ratePerSecond?: number;
	/** Whether this host may spend the customer's rate. */
	readonly hasRate?: boolean;
	readonly throwingStep?: ThrowingStep;
	/** Ends of targets, a second apart, under the prompt part that the header `part` names. */
	readonly endsUnderPart?: {readonly part: string; readonly count: number};
	/** A planned stop of the host, counted from the arrival of the request. */
	readonly stop?: {readonly afterMs: number; readonly durationMs: number; readonly balancerWaitMs?: number};
	/** Time after the arrival of the request for which keys are valid. */
	readonly keyLeaseMs?: number;
	/** Time after which a configuration without any key is in force. */
	readonly keysWithdrawnAfterMs?: number;
	/** Durations of earlier requests of the route. */
	readonly history?: readonly number[];
};

/** Runs one request of a caller and returns how often it was counted as demand. */
export async function countDemand(opts: ScenarioOptions): Promise<number> {
	const {observer} = await runScenario(opts);
	return observer.arrivals;
}

/** Runs one request of a caller and returns the customers that it was counted for as begun. */
export async function listBegun(opts: ScenarioOptions): Promise<readonly string[]> {
	const {observer} = await runScenario(opts);
	return observer.begun;
}

/** Runs one request of a caller and returns how each attempt ended. */
export async function listAttempts(opts: ScenarioOptions): Promise<readonly string[]> {
	const {observer} = await runScenario(opts);
	return observer.attempts.map(({slot, attempt, outcome, reason}) => `${slot.targetId} as ${attempt}: ${outcome}${reason ? `, ${reason}` : ''}`);
}

/** Runs one request of a caller and returns what the caller and the targets received. */
export async function runRequest(opts: ScenarioOptions): Promise<unknown> {
	const {exchange, sender, slots, observer} = await runScenario(opts);
	const end = observer.ends[0]?.outcome;
	return {
		caller: exchange.received, targets: sender.sent, ends: slots.ends, logged: typeof end === 'object' ? end.code : end,
	};
}

/** Runs one request of a caller and returns what was handed over of its size, and observed of its targets. */
export async function observeTargets(opts: ScenarioOptions): Promise<unknown> {
	const {slots} = await runScenario(opts);
	return slots.observed;
}

/** Runs one request of a caller and returns what this host has observed of the durations of its route. */
export async function observeDuration(opts: ScenarioOptions): Promise<unknown> {
	const {durations} = await runScenario(opts);
	return durations.getObserved(route.name);
}

/** Runs one request of a caller during a planned stop; returns also why the stop ended it. */
export async function runStoppedRequest(opts: ScenarioOptions): Promise<unknown> {
	const {exchange, sender, slots, observer} = await runScenario(opts);
	return {
		caller: exchange.received, targets: sender.sent, ends: slots.ends, stopRefusal: observer.ends[0]?.stopRefusal, ...(observer.ends[0]?.stopEstimate && {stopEstimate: observer.ends[0].stopEstimate}),
	};
}

async function catchError(task: Promise<void>): Promise<unknown> {
	try {
		await task;
		return undefined;
	} catch (err: unknown) {
		return err;
	}
}

/** Runs one request that ends with an unexpected exception; returns also whether the customer's rate was refunded, and the reported exception. */
export async function runFailingRequest(opts: ScenarioOptions): Promise<unknown> {
	const {exchange, sender, slots, observer, rates, error} = await runScenario({
		route: {isOpen: false}, headers: ['key', 'k'], ratePerSecond: 1, hasRate: true, ...opts,
	});
	return {
		caller: exchange.received, targets: sender.sent, ends: slots.ends, logged: observer.ends.map(({outcome, attempts}) => [typeof outcome === 'object' ? outcome.code : outcome, attempts]), isRefunded: rates.wasRefunded, error: String(error),
	};
}

/** What took part in a request of a caller. */
export type ScenarioResult = {
	readonly exchange: FakeExchange;
	readonly sender: FakeSender;
	readonly slots: FakeSlots;
	readonly observer: EndRecorder;
	readonly rates: RecordingRates;
	readonly durations: RouteDurations;
	/** The exception with which the request was reported as failed. */
	readonly error: unknown;
};

/** Runs one request of a caller to its end. */
export async function runScenario(opts: ScenarioOptions): Promise<ScenarioResult> {
	const clock = new ManualClock();
	const customers = config.customers?.map(customer => ({...customer, ratePerSecond: opts.ratePerSecond ?? 0, burst: opts.ratePerSecond ?? 0}));
	const table = new RouteTable({...config, customers, routes: [{...route, ...opts.route}]});
	const emptied = new RouteTable({
		...config, version: 2, customers: [], routes: [{...route, ...opts.route}],
	});
	const withdrawn = {hasHappened: false};
	const sender = new FakeSender([...opts.answers ?? []], clock);
	const observer = new EndRecorder(opts.throwingStep);
	const exchange = new FakeExchange({method: 'POST', url: '/orders', rawHeaders: opts.headers ?? []}, opts.throwingStep, async () => {
		if (opts.writeMs !== undefined) {
			await clock.sleep(opts.writeMs);
		}
	});
	const slots = new FakeSlots(opts.targets ?? ['t1', 't2', 't3'], clock, opts.freeAfterMs ?? {}, opts.leaving);
	const retries = new RetryBudget(clock, {ratio: 0, reserve: opts.retryReserve ?? 3});
	const rates = new RecordingRates(clock);
	rates.setCustomers(customers ?? []);
	if (opts.hasRate) {
		rates.setAllocation('c', {standing: 1, leased: 0, leaseEndsMs: 0});
		await clock.run(2000);
	}

	const queue = new SlotQueue(clock, slots);
	const stop = new PlannedStop(clock);
	const durations = new RouteDurations();
	for (const durationMs of opts.history ?? []) {
		durations.record(route.name, {durationMs, firstMs: 0, size: {}});
	}

	const keyLease = new KeyLease(() => opts.keyLeaseMs);
	keyLease.renew(new TimeMark(clock, () => clock.now()), 0);
	const crashes = new CrashTracker(clock, 'test');
	const deps: ForwardDependencies = {
		clock, memory: new MemoryBudget(clock, Number.POSITIVE_INFINITY), turns: new TurnQueue(), random: () => 0, dialect: new FakeDialect(opts.throwingStep), queue, rates, poolClient: new UnavailablePoolClient(), retrySchedule: new RetrySchedule(clock), sender, observer, getTable: () => opts.isUnconfigured ? undefined : (withdrawn.hasHappened ? emptied : table), stop, keyLease, durations, sizes: new RouteSizes(), crashes, crashGate: new CrashGate(clock, crashes), targetEnds: new TargetEnds({clock, probe: new RefusingProbe(), onEnd: () => undefined}), getRetries: () => retries,
	};
	for (let i = 0; i < (opts.endsUnderPart?.count ?? 0); i++) {
		crashes.recordEnd(getPartKeys([opts.endsUnderPart?.part ?? '', 'own']), `t@${i}`);
		await clock.run(1000);
	}

	const served = catchError(forwardRequest(exchange, deps));
	if (opts.disconnectsAfterMs !== undefined) {
		await clock.run(opts.disconnectsAfterMs);
		exchange.disconnected.abort();
	}

	if (opts.keyLeaseMs !== undefined) {
		await clock.run(DISPATCH_AFTER_MS);
		queue.dispatch();
	}

	if (opts.keysWithdrawnAfterMs !== undefined) {
		await clock.run(opts.keysWithdrawnAfterMs);
		withdrawn.hasHappened = true;
		queue.dispatch();
	}

	if (opts.stop) {
		await clock.run(opts.stop.afterMs);
		stop.begin(opts.stop.durationMs, opts.stop.balancerWaitMs ?? opts.stop.durationMs);
		queue.dispatch();
		await clock.run(opts.stop.durationMs);
		stop.end();
	}

	await clock.run(200_000);
	const error = await served;
	return {
		exchange, sender, slots, observer, rates, durations, error,
	};
}
