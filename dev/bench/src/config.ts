import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@egretrill/common';
import {
	applyDocument, type Fleet, getConfig, waitFor,
} from '@egretrill/testkit';
import {startBenchFleet} from './fleet-setup.js';
import {getPercentiles} from './percentiles.js';

const HOSTS = 8;
const CHANGES = 300;
const TARGET_P99_MS = 1000;

/** Measures the time from the submission of a change until every live host serves its version. */
async function measureChange(fleet: Fleet, change: number, skipped: ReadonlySet<number>): Promise<number> {
	const live = fleet.hosts.filter((_, i) => !skipped.has(i));
	const operator = live[change % live.length] ?? fleet.getHost(0);
	const startedMs = performance.now();
	const version = await waitFor('an accepted change', async () => {
		const current = await getConfig(operator);
		const document = {...current.document, customers: current.document.customers.map(customer => ({...customer, weight: 1 + (change % 10)}))};
		const answer = await applyDocument(operator, document, current.version, `bench-${change}-${current.version}`);
		return answer.status === 200 ? answer.body.version as number : undefined;
	}, 30_000);
	await Promise.all(live.map(async host => waitFor('the version in force', async () => {
		const current = await getConfig(host);
		return current.version >= version || undefined;
	}, 30_000)));
	return performance.now() - startedMs;
}

/** Measures the time until a change is in force at all hosts, with a stable leader and after a kill of the leader. */
export async function runConfigBench({seed}: {seed: number}): Promise<Record<string, unknown>> {
	const random = createRandom(seed);
	const fleet = await startBenchFleet(HOSTS);
	const undisturbedMs: number[] = [];
	for (let change = 0; change < CHANGES; change++) {
		undisturbedMs.push(await measureChange(fleet, change, new Set()));
		await delay(random() * 5);
	}

	const leader = fleet.hosts.findIndex(host => host.log.some(line => line.msg === 'This host leads.'));
	const killedHost = Math.max(0, leader);
	await fleet.getHost(killedHost).kill();
	const afterKillMs = await measureChange(fleet, CHANGES, new Set([killedHost]));
	await fleet.stop();
	return {
		hosts: HOSTS, changes: CHANGES, inForceMs: getPercentiles(undisturbedMs), firstChangeAfterLeaderKillMs: Math.round(afterKillMs), target: {p99Ms: TARGET_P99_MS},
	};
}
