import {REQUEST_ID_HEADER, type ConfigDocument} from '@egretrill/common';
import {StandInService} from '@egretrill/stand-ins';
import {
	createLocalConfig, type DaemonProcess, Fleet, getLocalKey, StreamingCall, waitFor,
} from '@egretrill/testkit';
import {expect} from 'chai';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const RATE = 25;
const BURST = 10;
/** Resolution of the times in log lines. */
const CLOCK_STEP_MS = 1;
const CALLERS_PER_HOST = 3;
/** Completed calls per host between two events; if two leaders granted shares at the same time, these calls would exceed the burst. */
const CALLS_AFTER_EVENT = 8;
const CALLS_UNDER_TWO_LEADERS = 16;

function createConfig(): ConfigDocument {
	const config = createLocalConfig(zones, ['yard']);
	return {
		...config,
		// The long key lease lets a cut-off host continue to serve, so that it would use shares granted by a leader without a majority.
		customers: config.customers.map(customer => ({
			...customer, keyLeaseMs: 10_000, rate: {...customer.rate, requestsPerSecond: RATE, burstRequests: BURST},
		})),
	};
}

/** The largest excess over burst + rate * t in any window that starts and ends with an admission. */
function getExcess(timesMs: readonly number[]): number {
	const sorted = timesMs.toSorted((a, b) => a - b);
	// The window from i to k holds k - i + 1 requests. The excess is a sum of a term in i and a term in k, so one pass with the best start suffices.
	let bestStart = Number.NEGATIVE_INFINITY;
	let excess = Number.NEGATIVE_INFINITY;
	for (const [i, atMs] of sorted.entries()) {
		const allowance = RATE * atMs / 1000;
		bestStart = Math.max(bestStart, allowance - i);
		excess = Math.max(excess, i + 1 - allowance + bestStart - BURST);
	}

	return excess - (RATE * CLOCK_STEP_MS / 1000);
}

describe('the rate of a customer while leaders change', () => {
	let fleet: Fleet;
	let registries: readonly StandInService[];

	before(async () => {
		fleet = await Fleet.start({
			fleet: 'local', zones, config: createConfig(), hasLinks: true,
		});
		registries = await Promise.all(zones.map(async zone => new StandInService({
			targetId: `registry-${zone}`, zone, service: 'registry', hosts: [...fleet.getTargetAddresses(zone)],
		}).start()));
	});

	after(async () => {
		await Promise.all(registries.map(async registry => registry.stop()));
		await fleet.stop();
	});

	/** Sends calls without a pause until the signal aborts, so that every token that a host holds is spent. */
	async function sendUntilAborted(host: DaemonProcess, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const call = new StreamingCall(`http://${host.addresses.callers}/registry/mark`, {method: 'GET', headers: {authorization: `Bearer ${getLocalKey('yard')}`}, signal});
			await call.ended;
		}
	}

	function getLeader(logOffsets: readonly number[]): DaemonProcess | undefined {
		return fleet.hosts.find((host, i) => host.log.slice(logOffsets[i]).some(({msg}) => msg === 'This host leads.'));
	}

	async function waitForNextLeader(logOffsets: readonly number[]): Promise<DaemonProcess> {
		return waitFor('the next leader', () => getLeader(logOffsets));
	}

	function getLogLengths(): readonly number[] {
		return fleet.hosts.map(host => host.log.length);
	}

	/** Waits until each host has completed the given number of further calls. */
	async function waitForCalls(hosts: readonly DaemonProcess[], count = CALLS_AFTER_EVENT): Promise<void> {
		const logOffsets = getLogLengths();
		await waitFor('calls at each host', () => hosts.every(host => host.log.slice(logOffsets[fleet.hosts.indexOf(host)])
			.filter(({msg, outcome}) => msg === 'Request ended.' && outcome === 'completed').length >= count) || undefined);
	}

	/** Times at which hosts sent the requests that the targets received. */
	function getAdmissions(): readonly number[] {
		const received = registries.flatMap(registry => registry.received.map(({headers}) => String(headers[REQUEST_ID_HEADER])));
		const sent = new Map(fleet.hosts.flatMap(host => host.log.filter(({msg}) => msg === 'Target chosen.').map(line => [String(line.requestId), Date.parse(String(line.time))] as const)));
		return received.map(id => sent.get(id) ?? Number.NaN);
	}

	// Guards against a share that both a leader without a majority and its successor grant.
	it('admits no more than burst and rate allow in any window, across an isolated and a paused leader', async () => {
		const first = await waitForNextLeader([0, 0, 0]);
		const stopping = new AbortController();
		const calls = Promise.all(fleet.hosts.flatMap(host => Array.from({length: CALLERS_PER_HOST}, async () => sendUntilAborted(host, stopping.signal))));
		await waitForCalls(fleet.hosts);
		let logOffsets = getLogLengths();
		fleet.cutZone(first.peer.zone);
		const second = await waitForNextLeader(logOffsets);
		await waitForCalls(fleet.hosts.filter(host => host !== first), CALLS_UNDER_TWO_LEADERS);
		await fleet.heal();
		await waitForCalls(fleet.hosts);
		logOffsets = getLogLengths();
		second.pause();
		await waitForNextLeader(logOffsets);
		await waitForCalls(fleet.hosts.filter(host => host !== second));
		second.resume();
		await waitForCalls(fleet.hosts);
		stopping.abort();
		await calls;
		const admissions = getAdmissions();
		expect(admissions.every(atMs => Number.isFinite(atMs))).to.equal(true);
		expect(getExcess(admissions)).to.be.at.most(0);
	});
});
