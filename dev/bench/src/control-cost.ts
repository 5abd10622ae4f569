import {setTimeout as delay} from 'node:timers/promises';
import type {ProcessUsage} from '@egretrill/testkit';
import {startBenchEngine, startBenchFleet, BENCH_ZONES} from './fleet-setup.js';

const SIZES = [8, 24, 72] as const;
const STABILISATION_MS = 5000;
const WINDOW_MS = 10_000;
const TARGET = {corePercent: 1.5, residentMb: 64, kilobytesPerSecond: 3};

async function measure(hostCount: number): Promise<Record<string, number>> {
	const fleet = await startBenchFleet(hostCount);
	const engines = await Promise.all(BENCH_ZONES.map(async zone => startBenchEngine(fleet, zone)));
	await delay(STABILISATION_MS);
	const before = await Promise.all(fleet.hosts.map(async host => host.getUsage()));
	await delay(WINDOW_MS);
	const after = await Promise.all(fleet.hosts.map(async host => host.getUsage()));
	const getMean = (getValue: (usage: ProcessUsage) => number): number => [...after.map(usage => getValue(usage)), ...before.map(usage => -getValue(usage))]
		.reduce((sum, value) => sum + value, 0) / hostCount;
	const cpu = after.map((usage, i) => ((usage.cpuSeconds - (before[i]?.cpuSeconds ?? 0)) / (WINDOW_MS / 1000)) * 100);
	await Promise.all(engines.map(async engine => engine.stop()));
	await fleet.stop();
	return {
		hosts: hostCount,
		meanCorePercent: cpu.reduce((sum, value) => sum + value, 0) / hostCount,
		maxCorePercent: Math.max(...cpu),
		meanResidentMb: after.reduce((sum, usage) => sum + usage.residentMb, 0) / hostCount,
		// The loopback interface also carries the traffic of other programs, so the bytes are counted by the hosts themselves, without TCP headers.
		writtenKilobytesPerSecond: getMean(usage => usage.writtenBytes) / 1024 / (WINDOW_MS / 1000),
		readKilobytesPerSecond: getMean(usage => usage.readBytes) / 1024 / (WINDOW_MS / 1000),
	};
}

/** Measures processor time, memory and control traffic of an idle host at increasing fleet sizes. */
export async function runControlCostBench(_opts: {seed: number}): Promise<Record<string, unknown>> {
	const sizes: Array<Record<string, number>> = [];
	for (const size of SIZES) {
		sizes.push(await measure(size));
	}

	return {sizes, target: TARGET};
}
