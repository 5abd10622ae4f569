import {createRandom, type Rate} from '@egretrill/common';

export const HOSTS = 8;
export const RUN_MS = 60_000;

/** One request of an arrival sequence, which is the same for all compared systems. */
export type Arrival = {
	readonly atMs: number;
	readonly host: number;
	readonly customer: string;
	readonly reservedTokens: number;
	readonly usedTokens: number;
	readonly queuedMs: number;
	readonly runMs: number;
};

export type LoadShape = {
	readonly title: string;
	/** Host that receives 90 % of the requests at a given time; undefined if all hosts receive the same number. */
	readonly getBusyHost?: (atMs: number) => number;
	/** Load of the noisy customer as a multiple of the usual load. */
	readonly noisyFactor: number;
};

const large: Rate = {
	tokensPerSecond: 12_000, burstTokens: 36_000, requestsPerSecond: 50, burstRequests: 150,
};
const small: Rate = {
	tokensPerSecond: 1500, burstTokens: 4500, requestsPerSecond: 6, burstRequests: 18,
};

/** Five customers, two of them large. */
export const rates: ReadonlyMap<string, Rate> = new Map([['large-1', large], ['large-2', large], ['small-1', small], ['small-2', small], ['small-3', small]]);

export const NOISY_CUSTOMER = 'small-1';

/** Tokens reserved for a request: 100 to 380, 240 on average. */
const MEAN_TOKENS = 240;

/** Creates bursty arrivals: each customer alternates every 2 s between 40 % and 120 % of its rate. */
export function createArrivals(seed: number, shape: LoadShape): readonly Arrival[] {
	const random = createRandom(seed);
	const arrivals: Arrival[] = [];
	for (const [customer, rate] of rates) {
		const phaseMs = random() * 4000;
		const factor = customer === NOISY_CUSTOMER ? shape.noisyFactor : 1;
		const perMs = factor * Math.min(rate.requestsPerSecond, rate.tokensPerSecond / MEAN_TOKENS) / 1000;
		// Thinning: arrivals are generated at the highest intensity and accepted in proportion to the current one.
		for (let atMs = 0; atMs < RUN_MS; atMs -= Math.log(1 - random()) / (1.2 * perMs)) {
			const intensity = (atMs + phaseMs) % 4000 < 2000 ? 1.2 : 0.4;
			if (random() * 1.2 > intensity) {
				continue;
			}

			const isSkewed = shape.getBusyHost !== undefined && random() < 0.9;
			const reservedTokens = MEAN_TOKENS - 140 + Math.floor(random() * 281);
			arrivals.push({
				atMs,
				customer,
				host: isSkewed ? shape.getBusyHost(atMs) : Math.floor(random() * HOSTS),
				reservedTokens,
				usedTokens: Math.ceil(reservedTokens * (0.3 + (0.7 * random()))),
				queuedMs: 40 * random(),
				runMs: 300 + (5700 * (random() ** 2)),
			});
		}
	}

	return arrivals.toSorted((a, b) => a.atMs - b.atMs);
}
