import {
	createCodec, createRandom, type Customer, ManualClock, type Rate,
} from '@egretrill/common';
import {type Result} from 'true-myth';
import {
	BucketOwner, getLargestExcess, ShareAnswer, ShareHolder, ShareRequest, ShareTransport, type SpendEvent,
} from '@egretrill/callers';
import {
	createArrivals, HOSTS, NOISY_CUSTOMER, rates, RUN_MS, type Arrival, type LoadShape,
} from './rates-load.js';
import {createShareHosts} from './share-hosts.js';

const DEADLINE_MS = 10_000;
/** The owner grants nothing during the first share lifetime and the buckets start empty, so earlier requests do not show the steady state. */
const WARM_UP_MS = 10_000;

const loadShapes: readonly LoadShape[] = [
	{title: 'even', noisyFactor: 1},
	{title: 'skewed', noisyFactor: 1, getBusyHost: () => 0},
	{title: 'shifting', noisyFactor: 1, getBusyHost: atMs => Math.floor(atMs / 5000) % HOSTS},
	{title: 'skewed-one-customer-at-ten-times-its-rate', noisyFactor: 10, getBusyHost: () => 0},
];

/** Result of one arrival; the wait is undefined if the request was refused. */
type Outcome = {readonly arrival: Arrival; readonly waitMs: number | undefined};
type Spend = {readonly customer: string; readonly atMs: number; readonly tokens: number};

async function runShares(seed: number, arrivals: readonly Arrival[]) {
	const clock = new ManualClock();
	const hosts = createShareHosts(clock, rates, HOSTS, seed);
	const outcomes: Outcome[] = [];
	const spends: Spend[] = [];
	const serve = async (arrival: Arrival): Promise<void> => {
		const {customer, reservedTokens: tokens} = arrival;
		const result = await hosts[arrival.host]!.holder.acquire({
			customer, tokens, requests: 1, deadlineMs: arrival.atMs + DEADLINE_MS,
		});
		outcomes.push({arrival, waitMs: result.isOk ? clock.now() - arrival.atMs : undefined});
		if (result.isOk) {
			await clock.sleep(arrival.queuedMs);
			if (result.value.start()) {
				spends.push({customer, atMs: clock.now(), tokens: arrival.usedTokens});
				await clock.sleep(arrival.runMs);
				result.value.settle(arrival.usedTokens);
			}
		}
	};

	for (const arrival of arrivals) {
		await clock.runTo(arrival.atMs);
		void serve(arrival);
	}

	await clock.runTo(RUN_MS);
	const traffic = hosts.map(({transport}) => ({messages: transport.messages, bytes: transport.bytes}));
	await clock.runTo(RUN_MS + DEADLINE_MS);
	await Promise.all(hosts.map(async ({holder}) => holder.stop()));
	return {outcomes, spends, traffic};
}

/** Baseline: each host has a fixed eighth of every rate and burst, and requests wait in order of arrival up to the deadline. */
function runSlices(arrivals: readonly Arrival[]) {
	const slices = new Map<string, {tokens: number; requests: number; atMs: number}>();
	const outcomes: Outcome[] = [];
	const spends: Spend[] = [];
	for (const arrival of arrivals) {
		const {customer, atMs} = arrival;
		const rate = rates.get(customer)!;
		const key = `${customer} ${arrival.host}`;
		const slice = slices.get(key) ?? {tokens: rate.burstTokens / HOSTS, requests: rate.burstRequests / HOSTS, atMs: 0};
		// A negative level is the demand of requests that are already waiting.
		const seconds = (atMs - slice.atMs) / 1000;
		const tokens = Math.min(rate.burstTokens / HOSTS, slice.tokens + (rate.tokensPerSecond / HOSTS * seconds)) - arrival.reservedTokens;
		const requests = Math.min(rate.burstRequests / HOSTS, slice.requests + (rate.requestsPerSecond / HOSTS * seconds)) - 1;
		const waitMs = 1000 * HOSTS * Math.max(0, -tokens / rate.tokensPerSecond, -requests / rate.requestsPerSecond);
		if (waitMs > DEADLINE_MS) {
			outcomes.push({arrival, waitMs: undefined});
			continue;
		}

		slices.set(key, {tokens, requests, atMs});
		outcomes.push({arrival, waitMs});
		spends.push({customer, atMs: atMs + waitMs, tokens: arrival.usedTokens});
	}

	return {outcomes, spends};
}

/** Returns the arrivals that a single central bucket, which charges the tokens actually used, would admit without delay. */
function getWithinRate(arrivals: readonly Arrival[]): ReadonlySet<Arrival> {
	const buckets = new Map([...rates].map(([customer, rate]) => [customer, {tokens: rate.burstTokens, requests: rate.burstRequests, atMs: 0}]));
	return new Set(arrivals.filter(arrival => {
		const rate = rates.get(arrival.customer)!;
		const bucket = buckets.get(arrival.customer)!;
		const seconds = (arrival.atMs - bucket.atMs) / 1000;
		bucket.tokens = Math.min(rate.burstTokens, bucket.tokens + (rate.tokensPerSecond * seconds));
		bucket.requests = Math.min(rate.burstRequests, bucket.requests + (rate.requestsPerSecond * seconds));
		bucket.atMs = arrival.atMs;
		if (bucket.tokens < arrival.usedTokens || bucket.requests < 1) {
			return false;
		}

		bucket.tokens -= arrival.usedTokens;
		bucket.requests -= 1;
		return true;
	}));
}

function getExcess(spends: readonly Spend[]): number {
	const excesses = [...rates].map(([customer, rate]: [string, Rate]) => {
		const ownSpends = spends.filter(spend => spend.customer === customer);
		const tokens: readonly SpendEvent[] = ownSpends.map(({atMs, tokens}) => ({atMs, amount: tokens}));
		const requests: readonly SpendEvent[] = ownSpends.map(({atMs}) => ({atMs, amount: 1}));
		return Math.max(
			getLargestExcess(tokens, {burst: rate.burstTokens, perSecond: rate.tokensPerSecond}),
			getLargestExcess(requests, {burst: rate.burstRequests, perSecond: rate.requestsPerSecond}),
		);
	});
	return round(Math.max(0, ...excesses));
}

function summarise(outcomes: readonly Outcome[], spends: readonly Spend[], withinRate: ReadonlySet<Arrival>, noisyCustomer: string | undefined) {
	const afterWarmUp = outcomes.filter(({arrival}) => arrival.atMs >= WARM_UP_MS);
	const counted = afterWarmUp.filter(({arrival}) => arrival.customer !== noisyCustomer && withinRate.has(arrival));
	const noisy = afterWarmUp.filter(({arrival}) => arrival.customer === noisyCustomer);
	const refused = counted.filter(({waitMs}) => waitMs === undefined);
	const waits = counted.flatMap(({waitMs}) => waitMs === undefined ? [] : [waitMs]).toSorted((a, b) => a - b);
	const getQuantile = (q: number): number => round(waits[Math.floor(q * (waits.length - 1))] ?? 0);
	return {
		requestsWithinRate: counted.length,
		refusedWithinRatePer1000: round(1000 * refused.length / counted.length),
		largestExcess: getExcess(spends),
		...(noisyCustomer && {
			noisyAdmitted: noisy.filter(({waitMs}) => waitMs !== undefined).length,
			noisyAdmittedByCentralBucket: noisy.filter(({arrival}) => withinRate.has(arrival)).length,
		}),
		waitMs: {p50: getQuantile(0.5), p95: getQuantile(0.95), p99: getQuantile(0.99)},
	};
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Compares shares granted on demand with fixed slices, for the same arrivals at eight hosts. */
export async function runRatesBench(opts: {seed: number}): Promise<Record<string, unknown>> {
	const results: Record<string, unknown> = {seed: opts.seed, hosts: HOSTS, customers: rates.size};
	for (const shape of loadShapes) {
		const arrivals = createArrivals(opts.seed, shape);
		const withinRate = getWithinRate(arrivals);
		const noisyCustomer = shape.noisyFactor > 1 ? NOISY_CUSTOMER : undefined;
		const shares = await runShares(opts.seed, arrivals);
		const slices = runSlices(arrivals);
		const getPerSecond = (values: readonly number[]) => ({
			mean: round(values.reduce((a, b) => a + b, 0) / values.length / (RUN_MS / 1000)),
			busiest: round(Math.max(...values) / (RUN_MS / 1000)),
		});
		results[shape.title] = {
			shares: {
				...summarise(shares.outcomes, shares.spends, withinRate, noisyCustomer),
				messagesPerSecondPerHost: getPerSecond(shares.traffic.map(({messages}) => messages)),
				bytesPerSecondPerHost: getPerSecond(shares.traffic.map(({bytes}) => bytes)),
			},
			fixedSlices: summarise(slices.outcomes, slices.spends, withinRate, noisyCustomer),
		};
	}

	return results;
}
