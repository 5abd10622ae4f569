import {createRandom, ManualClock, type Rate} from '@egretrill/common';
import {FairQueue} from '@egretrill/callers';
import {createShareHosts} from './share-hosts.js';

const HOSTS = 8;
const SLOTS_PER_HOST = 8;
/** Long enough that random variation changes a small customer's result by well under a percentage point. */
const RUN_MS = 240_000;
/** The bucket owner starts blocked, so requests are counted only after this time. */
const WARM_UP_MS = 10_000;
/** A request is in time when its work starts soon enough for a first token within 0.5 s. */
const IN_TIME_MS = 500;
/** Engine time per token of cost; a request takes 0.2 to 0.76 s. */
const MS_PER_TOKEN = 2;
const MEAN_TOKENS = 240;
const NOISY_FACTOR = 5;
/** Mean load of a customer as a share of its rate; random arrivals at the full rate would let the queue grow without bound. */
const USED_RATIO = 0.9;

/** Five customers, two of them large: each one's share of the sum of all rates, which is also its weight in the queue. */
const weights: Readonly<Record<string, number>> = {
	'large-1': 0.36, 'large-2': 0.36, 'small-1': 0.1, 'small-2': 0.1, noisy: 0.08,
};

type Arrival = {readonly atMs: number; readonly host: number; readonly customer: string; readonly cost: number};
type AdmissionSetup = {readonly hasRates: boolean; readonly isFair: boolean};

function getRequestsPerSecond(load: number, customer: string): number {
	return 1000 * load * weights[customer]! * HOSTS * SLOTS_PER_HOST / (MEAN_TOKENS * MS_PER_TOKEN);
}

function getRates(load: number): ReadonlyMap<string, Rate> {
	return new Map(Object.keys(weights).map(customer => {
		const requestsPerSecond = getRequestsPerSecond(load, customer);
		const tokensPerSecond = requestsPerSecond * MEAN_TOKENS;
		return [customer, {
			requestsPerSecond, burstRequests: 3 * requestsPerSecond, tokensPerSecond, burstTokens: 3 * tokensPerSecond,
		}];
	}));
}

/** Each customer has its own random source, so that the other customers send the same requests with and without the noisy one. */
function createArrivals(seed: number, load: number, noisyFactor: number): readonly Arrival[] {
	return Object.keys(weights).flatMap((customer, i) => {
		const random = createRandom(seed + i);
		const perMs = USED_RATIO * getRequestsPerSecond(load, customer) * (customer === 'noisy' ? noisyFactor : 1) / 1000;
		const arrivals: Arrival[] = [];
		for (let atMs = -Math.log(1 - random()) / perMs; atMs < RUN_MS; atMs -= Math.log(1 - random()) / perMs) {
			arrivals.push({
				atMs, customer, host: Math.floor(random() * HOSTS), cost: MEAN_TOKENS - 140 + Math.floor(random() * 281),
			});
		}

		return arrivals;
	}).toSorted((a, b) => a.atMs - b.atMs);
}

/** Returns the percentage of each customer's requests that were in time; without fairness all requests share one flow, which makes the queue first in, first out. */
async function getInTimePercentages(seed: number, load: number, noisyFactor: number, setup: AdmissionSetup): Promise<Readonly<Record<string, number>>> {
	const clock = new ManualClock();
	const arrivals = createArrivals(seed, load, noisyFactor);
	const queues = Array.from({length: HOSTS}, () => new FairQueue({clock, slots: SLOTS_PER_HOST}));
	const holders = createShareHosts(clock, getRates(load), HOSTS, seed).map(({holder}) => holder);
	const inTime = new Map<string, number>();
	const serve = async ({atMs, host, customer, cost}: Arrival): Promise<void> => {
		const deadlineMs = atMs + IN_TIME_MS;
		const reservation = setup.hasRates
			? await holders[host]!.acquire({
				customer, tokens: cost, requests: 1, deadlineMs,
			})
			: undefined;
		if (reservation?.isErr) {
			return;
		}

		const result = await queues[host]!.acquire({
			customer: setup.isFair ? customer : 'all', weight: setup.isFair ? weights[customer]! : 1, priority: 'interactive', cost, deadlineMs,
		});
		if (result.isErr) {
			reservation?.value.cancel();
			return;
		}

		inTime.set(customer, (inTime.get(customer) ?? 0) + (atMs >= WARM_UP_MS ? 1 : 0));
		reservation?.value.start();
		await clock.sleep(cost * MS_PER_TOKEN);
		result.value.release();
		reservation?.value.settle(cost);
	};

	for (const arrival of arrivals) {
		await clock.runTo(arrival.atMs);
		void serve(arrival);
	}

	await clock.runTo(RUN_MS + (10 * IN_TIME_MS));
	await Promise.all(holders.map(async holder => holder.stop()));
	return Object.fromEntries(Object.keys(weights).map(customer => {
		const sent = arrivals.filter(arrival => arrival.customer === customer && arrival.atMs >= WARM_UP_MS).length;
		return [customer, round(100 * (inTime.get(customer) ?? 0) / sent)];
	}));
}

async function compare(seed: number, load: number, setup: AdmissionSetup) {
	const without = await getInTimePercentages(seed, load, 1, setup);
	const withNoisy = await getInTimePercentages(seed, load, NOISY_FACTOR, setup);
	const differences = Object.keys(weights).filter(customer => customer !== 'noisy').map(customer => Math.abs(without[customer]! - withNoisy[customer]!));
	return {inTimePercent: {without, withNoisy}, largestMovePoints: round(Math.max(...differences))};
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Compares rate limits with fair queues, fair queues alone and first-in, first-out queues while one customer sends five times its rate. */
export async function runFairnessBench(opts: {seed: number}): Promise<Record<string, unknown>> {
	const results: Record<string, unknown> = {seed: opts.seed, hosts: HOSTS, slotsPerHost: SLOTS_PER_HOST};
	// The load is the sum of all rates divided by the capacity of the engines.
	for (const load of [0.9, 1]) {
		results[`load-${load}`] = {
			ratesAndFairQueue: await compare(opts.seed, load, {hasRates: true, isFair: true}),
			fairQueueAlone: await compare(opts.seed, load, {hasRates: false, isFair: true}),
			firstInFirstOut: await compare(opts.seed, load, {hasRates: false, isFair: false}),
		};
	}

	return results;
}
