import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {startBenchEngine, startBenchFleet, BENCH_ZONES} from './fleet-setup.js';

const SIZES = [8, 24, 72] as const;
const SETTLE_MS = 5000;
const WINDOW_MS = 10_000;
const TARGET = {corePercent: 1.5, residentMb: 64, kilobytesPerSecond: 3};

/** Bytes that the loopback interface has carried; all hosts share it. */
async function getLoopbackBytes(): Promise<number> {
	const text = await readFile('/proc/net/dev', 'utf8');
	const fields = /lo:\s*(?<bytes>\d+)/v.exec(text);
	return Number(fields?.groups?.bytes ?? 0);
}

async function measure(hostCount: number): Promise<Record<string, number>> {
	const fleet = await startBenchFleet(hostCount);
	const engines = await Promise.all(BENCH_ZONES.map(async zone => startBenchEngine(fleet, zone)));
	await delay(SETTLE_MS);
	const before = await Promise.all(fleet.hosts.map(async host => host.getUsage()));
	const bytesBefore = await getLoopbackBytes();
	await delay(WINDOW_MS);
	const after = await Promise.all(fleet.hosts.map(async host => host.getUsage()));
	const bytes = await getLoopbackBytes() - bytesBefore;
	const cpu = after.map((usage, i) => ((usage.cpuSeconds - (before[i]?.cpuSeconds ?? 0)) / (WINDOW_MS / 1000)) * 100);
	await Promise.all(engines.map(async engine => engine.stop()));
	await fleet.stop();
	return {
		hosts: hostCount,
		meanCorePercent: cpu.reduce((sum, value) => sum + value, 0) / hostCount,
		maxCorePercent: Math.max(...cpu),
		meanResidentMb: after.reduce((sum, usage) => sum + usage.residentMb, 0) / hostCount,
		kilobytesPerSecondPerHost: bytes / 1024 / (WINDOW_MS / 1000) / hostCount,
	};
}

/** Processor time, memory and traffic of control work for one idle host, at growing fleet sizes. */
export async function runControlCostBench(_opts: {seed: number}): Promise<Record<string, unknown>> {
	const sizes: Array<Record<string, number>> = [];
	for (const size of SIZES) {
		sizes.push(await measure(size));
	}

	return {sizes, target: TARGET};
}
