import {
	waitFor, applyDocument, getConfig, type Fleet,
} from '@egretrill/testkit';
import {startBenchFleet} from './fleet-setup.js';

const CHANGES = 500;
const TARGET_READY_MS = 1000;

function findLeader(fleet: Fleet): number {
	const terms = fleet.hosts.map(host => Math.max(0, ...host.log.filter(line => line.msg === 'This host leads.').map(line => Number(line.term))));
	return terms.indexOf(Math.max(...terms));
}

async function applyChanges(fleet: Fleet, count: number): Promise<number> {
	const host = fleet.getHost(0);
	let {version, document} = await getConfig(host);
	for (let change = 0; change < count; change++) {
		const next = {...document, customers: document.customers.map(customer => ({...customer, weight: 1 + (change % 7)}))};
		const answer = await applyDocument(host, next, version, `recovery-${change}`);
		if (answer.status !== 200) {
			throw new Error(`A change was not accepted: ${JSON.stringify(answer.body)}`);
		}

		version = answer.body.version as number;
		document = next;
	}

	return version;
}

/** Measures the restart of a host after many changes, and the time until a change is accepted after a kill of the leader. */
export async function runRecoveryBench(_opts: {seed: number}): Promise<Record<string, unknown>> {
	const fleet = await startBenchFleet(3);
	const version = await applyChanges(fleet, CHANGES);
	const follower = (findLeader(fleet) + 1) % 3;
	const restarted = fleet.getHost(follower);
	await restarted.kill();
	const restartedAtMs = performance.now();
	await restarted.start();
	const startedMs = performance.now() - restartedAtMs;
	await restarted.waitUntilReady();
	const readyMs = performance.now() - restartedAtMs;
	const served = await getConfig(restarted);
	const leader = findLeader(fleet);
	await fleet.getHost(leader).kill();
	const leaderKilledMs = performance.now();
	const survivor = fleet.getHost((leader + 1) % 3);
	await waitFor('a change after the loss of the leader', async () => {
		const current = await getConfig(survivor);
		const answer = await applyDocument(survivor, current.document, current.version, `after-loss-${current.version}`);
		return answer.status === 200 || undefined;
	});
	const firstChangeMs = performance.now() - leaderKilledMs;
	await fleet.stop();
	return {
		changes: CHANGES,
		processStartMs: Math.round(startedMs),
		readyAfterProcessStartMs: Math.round(readyMs - startedMs),
		totalMs: Math.round(readyMs),
		servesLatest: served.version >= version,
		firstChangeAfterLeaderLossMs: Math.round(firstChangeMs),
		target: {readyMs: TARGET_READY_MS},
	};
}
