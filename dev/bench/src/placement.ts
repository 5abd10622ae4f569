import {
	DemandPlacement, ForesightPlacement, LoadOnDemandPlacement, type PlacementPolicy, StaticPlacement,
} from '@egretrill/engines';
import {IN_TIME_MS, PlacementRun, type RunResult} from './placement-model.js';
import {
	createTrace, DEMAND_RATIO, type Deployment, deployments, ENGINE_CAPACITY_PER_S, ENGINE_MEMORIES_MB, HOT_RATIO, SHIFT_FACTOR, SHIFT_PERIOD_MS, toDemand, type Trace, TRACE_MS,
} from './placement-trace.js';
import {measurePlanningRound} from './planning-round.js';

/** Time for which an interactive request may wait in the queue, as on the design page. */
const QUEUE_DEADLINE_MS = 10_000;

const DESIGN_MODELS = 610;
const DESIGN_ACCELERATORS = 3100;

export type PlacementBenchOptions = {readonly seed: number; readonly models?: number; readonly accelerators?: number};

function round(value: number, digits = 3): number {
	return Number(value.toFixed(digits));
}

function createPolicies({models, meanDemand, getRates}: Trace): readonly PlacementPolicy[] {
	return [
		new DemandPlacement(),
		new StaticPlacement(meanDemand),
		new LoadOnDemandPlacement(),
		new ForesightPlacement(nowMs => toDemand(models, getRates(nowMs))),
	];
}

/** Time within which a shift of demand is detected, as the tests of the estimator require. */
const SHIFT_DETECTION_MS = 3000;

/** Reference runs that separate the two causes of a result below foresight: the duration of loads, and the delay until a shift of demand is detected. */
function runReferences(deployment: Deployment, trace: Trace, seed: number, setting: Setting): Record<string, number> {
	const {models, getRates} = trace;
	const run = (delayMs: number): number => {
		const policy = new ForesightPlacement(nowMs => toDemand(models, getRates(Math.max(0, nowMs - delayMs))));
		const {inTime, requests} = new PlacementRun(deployment, trace, policy, {...setting, isInstant: false, seed}).run();
		return round(inTime / requests);
	};

	return {ratesKnownWithLoadTimes: run(0), ratesKnownAfter3sWithLoadTimes: run(SHIFT_DETECTION_MS)};
}

type Setting = {readonly engineMemoryMb: number; readonly queueDeadlineMs: number};

function comparePolicies(deployment: Deployment, trace: Trace, seed: number, setting: Setting): Record<string, unknown> {
	const runs = new Map<string, RunResult>(createPolicies(trace).map(policy => [policy.name, new PlacementRun(deployment, trace, policy, {
		...setting, isInstant: policy.name === 'foresight', seed,
	}).run()]));
	const getInTimeShare = (name: string): number => (runs.get(name)?.inTime ?? 0) / (runs.get(name)?.requests ?? 1);
	const getMoves = (name: string): number => runs.get(name)?.moves ?? 0;
	const measured = {
		timesStatic: round(getInTimeShare('demand') / getInTimeShare('static')),
		movesOverLoadOnDemand: round(getMoves('demand') / getMoves('load-on-demand')),
		ofForesight: round(getInTimeShare('demand') / getInTimeShare('foresight')),
	};
	return {
		...setting,
		policies: Object.fromEntries([...runs].map(([name, {requests, inTime, moves, peakMb}]) => [name, {
			requests, inTimeShare: round(inTime / requests), inTimePerAccelerator: round(inTime / deployment.engines, 0), moves, peakEngineMb: peakMb,
		}])),
		references: runReferences(deployment, trace, seed, setting),
		measured,
		// Upper bound of the ratio: a policy that answers every request in time.
		mostTimesStatic: round(1 / getInTimeShare('static')),
		met: {
			timesStatic: measured.timesStatic >= 1.5, movesOverLoadOnDemand: measured.movesOverLoadOnDemand <= 0.5, ofForesight: measured.ofForesight >= 0.9,
		},
	};
}

/** Compares the placement policies at both deployments and measures a planning round at the design size. */
export async function runPlacementBench({seed, models = DESIGN_MODELS, accelerators = DESIGN_ACCELERATORS}: PlacementBenchOptions): Promise<Record<string, unknown>> {
	return {
		seed,
		setting: {
			engineMemoriesMb: ENGINE_MEMORIES_MB,
			modelMb: '14,000 to 22,000 with KV reserve, plus 200 for each of its adapters; adapter loads of 5-10 ms are not modelled',
			engineCapacityPerS: ENGINE_CAPACITY_PER_S,
			demandRatio: DEMAND_RATIO,
			shift: `${HOT_RATIO * 100} % of the models in ${SHIFT_FACTOR}-fold demand, others every ${SHIFT_PERIOD_MS} ms; 1 s bursts of 1.5 and 0.5 times the rate`,
			traceMs: TRACE_MS,
			inTime: `begun within ${IN_TIME_MS} ms`,
			foresight: 'knows the rates of the trace; its loads take no time and no permit',
		},
		goals: {timesStatic: 1.5, movesOverLoadOnDemand: 0.5, ofForesight: 0.9},
		planningRound: measurePlanningRound(models, accelerators, seed),
		deployments: Object.fromEntries(deployments.map(deployment => [deployment.name, compareSettings(deployment, seed)])),
	};
}

function compareSettings(deployment: Deployment, seed: number): Record<string, unknown> {
	const trace = createTrace(deployment, seed);
	// The shorter deadline shows the differences that remain when callers time out as soon as an answer would be late.
	const settings = ENGINE_MEMORIES_MB.flatMap(engineMemoryMb => [QUEUE_DEADLINE_MS, IN_TIME_MS].map(queueDeadlineMs => ({engineMemoryMb, queueDeadlineMs})));
	return {...deployment, runs: settings.map(setting => comparePolicies(deployment, trace, seed, setting))};
}
