import {runColdStartBench} from './cold-start.js';
import {runConfigBench} from './config.js';
import {runControlCostBench} from './control-cost.js';
import {runDataPathBench} from './data-path.js';
import {runDecisionBench} from './decision.js';
import {runFairnessBench} from './fairness.js';
import {runOverheadBench} from './overhead.js';
import {runPlacementBench} from './placement.js';
import {runPollsBench} from './polls.js';
import {runRatesBench} from './rates.js';
import {runRecoveryBench} from './recovery.js';
import {runRoutingBench} from './routing.js';
import {runZoneLeaveBench} from './zone-leave.js';

export type BenchOptions = {readonly seed: number; readonly models?: number; readonly accelerators?: number};

/** All measurements by the name under which they are run. */
export const benches: Readonly<Record<string, (opts: BenchOptions) => Promise<Record<string, unknown>>>> = {
	'cold-start': runColdStartBench,
	config: runConfigBench,
	'control-cost': runControlCostBench,
	'data-path': runDataPathBench,
	decision: runDecisionBench,
	fairness: runFairnessBench,
	overhead: runOverheadBench,
	placement: runPlacementBench,
	polls: runPollsBench,
	rates: runRatesBench,
	recovery: runRecoveryBench,
	routing: runRoutingBench,
	'zone-leave': runZoneLeaveBench,
};
