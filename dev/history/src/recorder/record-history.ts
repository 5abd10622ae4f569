import {setTimeout as delay} from 'node:timers/promises';
import {type DaemonProcess, type LogLine, waitFor} from '@egretrill/testkit';
import type {History} from '../types.js';
import {
	type Caller, type CallerContext, DraftCaller, OrderCaller, OverRateCaller, ServiceCaller,
} from './callers.js';
import {SAMPLE_INTERVAL_MS, ZONES} from './constants.js';
import {runFaults} from './faults.js';
import {FleetUnderTest} from './fleet-under-test.js';
import {Journal} from './journal.js';
import {
	ApplyOperator, KeyOperator, type Operator, readConfig, ZoneOperator,
} from './operators.js';
import {createRandomSource} from './pick.js';
import {planFaults, type PlannedFault} from './plan-faults.js';
import {createTestConfig} from './test-config.js';

export type RecordOptions = {readonly seed: number; readonly seconds: number};

/** A recorded run, with the logs of its daemons for the analysis of findings. */
export type Recording = {readonly history: History; readonly plan: readonly PlannedFault[]; readonly logs: ReadonlyMap<string, readonly LogLine[]>};

type TaskContext = {readonly fleet: FleetUnderTest; readonly journal: Journal; readonly signal: AbortSignal};

function createCallers(createContext: () => CallerContext): readonly Caller[] {
	return [
		...Array.from({length: 6}, () => new ServiceCaller(createContext(), 60)),
		...Array.from({length: 6}, () => new DraftCaller(createContext(), 60)),
		...['yard', 'port'].flatMap(customer => [1, 2].map(lane => new OrderCaller(createContext(), 100, customer, lane))),
		new OverRateCaller(createContext(), 25),
	];
}

function createOperators(createContext: () => CallerContext): readonly Operator[] {
	return [new ApplyOperator(createContext()), new ApplyOperator(createContext()), new ZoneOperator(createContext()), new KeyOperator(createContext())];
}

/** Samples the configuration version of one host at a fixed interval. */
async function sampleVersions({journal, signal}: TaskContext, host: DaemonProcess): Promise<void> {
	while (!signal.aborted) {
		await sampleVersion(journal, host);
		await delay(SAMPLE_INTERVAL_MS);
	}
}

async function sampleVersion(journal: Journal, host: DaemonProcess): Promise<number | undefined> {
	const config = await readConfig(host);
	if (config) {
		journal.record({
			kind: 'version-seen', host: host.peer.id, version: config.version, digest: config.digest,
		});
	}

	return config?.version;
}

/** Waits until all hosts serve the same version; if they do not, the last samples are recorded and the check of P12 reports it. */
async function waitForOneVersion({fleet: {fleet}, journal}: TaskContext): Promise<void> {
	try {
		await waitFor('one version at all hosts', async () => {
			const versions = await Promise.all(fleet.hosts.map(async host => sampleVersion(journal, host)));
			return new Set(versions).size === 1 && versions[0] !== undefined;
		});
	} catch {
		await Promise.all(fleet.hosts.map(async host => sampleVersion(journal, host)));
	}
}

async function runTasks(context: TaskContext, stop: AbortController, {seed, seconds}: RecordOptions, plan: readonly PlannedFault[]): Promise<void> {
	// Each task has its own random source, so that its choices do not depend on the order in which answers arrive.
	let taskCount = 0;
	const createContext = (): CallerContext => {
		taskCount += 1;
		return {...context, random: createRandomSource((seed * 1000) + taskCount)};
	};

	const running = [
		...createCallers(createContext).map(async caller => caller.run()),
		...createOperators(createContext).map(async operator => operator.run()),
		...context.fleet.fleet.hosts.map(async host => sampleVersions(context, host)),
	];
	await Promise.all([runFaults(context, plan), delay(seconds * 1000)]);
	stop.abort();
	await Promise.all(running);
}

/** Runs callers, operators and faults against a fleet of daemons and returns the recorded events. */
export async function recordHistory(opts: RecordOptions): Promise<Recording> {
	const fleet = await FleetUnderTest.start();
	const stop = new AbortController();
	const context = {fleet, journal: new Journal(), signal: stop.signal};
	const hosts = fleet.fleet.hosts.map(({peer}) => ({id: peer.id, zone: peer.zone}));
	const plan = planFaults(opts.seed, opts.seconds * 1000, {hosts: hosts.map(({id}) => id), zones: ZONES, targets: fleet.targetIds});
	try {
		await runTasks(context, stop, opts, plan);
		await waitForOneVersion(context);
	} finally {
		stop.abort();
		await fleet.stop();
	}

	const events = [...context.journal.events, ...fleet.getTargetEvents()].toSorted((a, b) => a.atMs - b.atMs);
	return {
		plan,
		history: {
			seed: opts.seed, document: createTestConfig(), hosts, events,
		},
		logs: new Map(fleet.fleet.hosts.map(({peer, log}) => [peer.id, log])),
	};
}
