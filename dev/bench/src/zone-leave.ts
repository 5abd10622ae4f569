import {setTimeout as delay} from 'node:timers/promises';
import {type Fleet, setZoneState} from '@egretrill/testkit';
import {BENCH_ZONES, startBenchEngine, startBenchFleet} from './fleet-setup.js';
import {streamOnce, type StreamTimes} from './stream-client.js';

const HOSTS = 6;
const PHASE_MS = 5000;
const ARRIVAL_INTERVAL_MS = 20;
const TOKENS = 10;
const IN_TIME_MS = 500;

type Sample = StreamTimes & {readonly atMs: number};

async function measureRequest(address: string, atMs: number): Promise<Sample> {
	return {...await streamOnce(address, TOKENS), atMs};
}

/** Sends requests at a fixed interval to the hosts in turn until the signal aborts. */
async function sendLoad(fleet: Fleet, startedMs: number, signal: AbortSignal): Promise<readonly Sample[]> {
	const pending: Array<Promise<Sample>> = [];
	for (let i = 0; !signal.aborted; i++) {
		const host = fleet.getHost(i % HOSTS);
		const atMs = performance.now() - startedMs;
		pending.push(measureRequest(host.addresses.callers, atMs));
		await delay(ARRIVAL_INTERVAL_MS);
	}

	return Promise.all(pending);
}

/** Returns, for each second, the share of requests that were answered completely and in time. */
function getInTimeShareBySecond(samples: readonly Sample[]): readonly number[] {
	const seconds = Math.ceil(Math.max(...samples.map(({atMs}) => atMs)) / 1000);
	return Array.from({length: seconds}, (_, second) => {
		const inSecond = samples.filter(({atMs}) => Math.floor(atMs / 1000) === second);
		const inTime = inSecond.filter(({isWhole, firstMs}) => isWhole && firstMs <= IN_TIME_MS);
		return inSecond.length === 0 ? 1 : Number((inTime.length / inSecond.length).toFixed(3));
	});
}

/** Measures the service while operators take a zone out of service and return it, and after all targets of another zone fail together. */
export async function runZoneLeaveBench(_opts: {seed: number}): Promise<Record<string, unknown>> {
	const fleet = await startBenchFleet(HOSTS);
	const engines = await Promise.all(BENCH_ZONES.map(async zone => startBenchEngine(fleet, zone, {slots: 32})));
	for (let i = 0; i < 100; i++) {
		await streamOnce(fleet.getHost(i % HOSTS).addresses.callers, 1);
	}

	const stop = new AbortController();
	const startedMs = performance.now();
	const load = sendLoad(fleet, startedMs, stop.signal);
	await delay(PHASE_MS);
	await setZoneState(fleet.getHost(0), 'zone-b', 'taken-out');
	await delay(PHASE_MS);
	await setZoneState(fleet.getHost(0), 'zone-b', 'in-service');
	await delay(PHASE_MS);
	const failedAtMs = performance.now() - startedMs;
	await engines[2]?.stop();
	await delay(PHASE_MS);
	stop.abort();
	const samples = await load;
	await Promise.all(engines.slice(0, 2).map(async engine => engine.stop()));
	await fleet.stop();
	const beforeFailure = samples.filter(({atMs}) => atMs < failedAtMs - 1000);
	return {
		hosts: HOSTS,
		requests: samples.length,
		plannedFailures: beforeFailure.filter(({isWhole}) => !isWhole).length,
		failuresAfterCut: samples.filter(({atMs, isWhole}) => atMs >= failedAtMs - 1000 && !isWhole).length,
		inTimeShareBySecond: getInTimeShareBySecond(samples),
		phases: {
			takenOutAtS: 5, returnedAtS: 10, targetsLostAtS: 15,
		},
		target: {plannedFailures: 0},
	};
}
