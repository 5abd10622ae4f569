import {
	FORGOTTEN_RATE_PER_S, QUICK_DEMAND_MS, SHIFT_SIGMAS, SLOW_DEMAND_MS,
} from './constants.js';
import type {DemandEstimate, DemandReport} from './types.js';

const MS_PER_SECOND = 1000;

type Tally = {
	readonly model: string;
	readonly adapter?: string;
	readonly atMs: number;
	readonly quick: number;
	readonly slow: number;
};

function decay(tally: Tally, nowMs: number): Tally {
	const elapsedMs = nowMs - tally.atMs;
	return {
		...tally,
		atMs: nowMs,
		quick: tally.quick * Math.exp(-elapsedMs / QUICK_DEMAND_MS),
		slow: tally.slow * Math.exp(-elapsedMs / SLOW_DEMAND_MS),
	};
}

/** Counts arrivals of each model and adapter at one host, refused requests included. */
export class DemandEstimator {
	private tallies = new Map<string, Tally>();

	constructor(private readonly startedAtMs: number) {}

	/** Counts one arrival, which is to be called before any decision to refuse it. */
	recordArrival(model: string, adapter: string | undefined, nowMs: number): void {
		this.add(model, undefined, nowMs);
		if (adapter !== undefined) {
			this.add(model, adapter, nowMs);
		}
	}

	/** Returns this host's rates for the zone owner and forgets names that nobody asks for any more. */
	report(nowMs: number): readonly DemandReport[] {
		const decayed = [...this.tallies].map(([key, tally]) => [key, decay(tally, nowMs)] as const);
		const reports = decayed.map(([key, tally]) => ({key, tally, rates: this.getRates(tally, nowMs)}));
		const live = reports.filter(({rates}) => Math.max(rates.quickPerS, rates.slowPerS) >= FORGOTTEN_RATE_PER_S);
		this.tallies = new Map(live.map(({key, tally}) => [key, tally]));
		return live.map(({tally, rates}) => ({model: tally.model, ...(tally.adapter !== undefined && {adapter: tally.adapter}), ...rates}));
	}

	private add(model: string, adapter: string | undefined, nowMs: number): void {
		const key = getDemandKey(model, adapter);
		const tally = decay(this.tallies.get(key) ?? {
			model, adapter, atMs: nowMs, quick: 0, slow: 0,
		}, nowMs);
		this.tallies.set(key, {...tally, quick: tally.quick + 1, slow: tally.slow + 1});
	}

	private getRates({quick, slow}: Tally, nowMs: number): {readonly quickPerS: number; readonly slowPerS: number} {
		return {quickPerS: quick * MS_PER_SECOND / this.getWindowMs(QUICK_DEMAND_MS, nowMs), slowPerS: slow * MS_PER_SECOND / this.getWindowMs(SLOW_DEMAND_MS, nowMs)};
	}

	/** A decayed count covers less than its time constant while the estimator is young. */
	private getWindowMs(constantMs: number, nowMs: number): number {
		const ageMs = Math.max(nowMs - this.startedAtMs, MS_PER_SECOND);
		return constantMs * (1 - Math.exp(-ageMs / constantMs));
	}
}

/** Returns the key under which the demand of a model or adapter is kept. */
export function getDemandKey(model: string, adapter?: string): string {
	return adapter === undefined ? model : `${model}/${adapter}`;
}

/** Sums the hosts' rates and decides for each name whether its demand has shifted. */
export function sumDemand(reports: readonly DemandReport[]): readonly DemandEstimate[] {
	const sums = new Map<string, DemandReport>();
	for (const report of reports) {
		const key = getDemandKey(report.model, report.adapter);
		const sum = sums.get(key);
		sums.set(key, {
			...report,
			quickPerS: report.quickPerS + (sum?.quickPerS ?? 0),
			slowPerS: report.slowPerS + (sum?.slowPerS ?? 0),
		});
	}

	return [...sums.values()].map(sum => estimateDemand(sum));
}

function estimateDemand({quickPerS, slowPerS, ...name}: DemandReport): DemandEstimate {
	// The variance of an exponentially decayed Poisson count gives each rate's standard deviation.
	const quickSigma = Math.sqrt(Math.max(quickPerS, slowPerS) * MS_PER_SECOND / (2 * QUICK_DEMAND_MS));
	const slowSigma = Math.sqrt(slowPerS * MS_PER_SECOND / (2 * SLOW_DEMAND_MS));
	const deviation = Math.abs(quickPerS - slowPerS) / Math.max(Number.EPSILON, SHIFT_SIGMAS * Math.hypot(quickSigma, slowSigma));
	// Switching between the estimates would drop to a stale rate while the slow one still catches up, so they are blended.
	const weight = Math.min(1, deviation ** 2);
	return {
		...name,
		ratePerS: slowPerS + (weight * (quickPerS - slowPerS)),
		sigmaPerS: slowSigma + (weight * (quickSigma - slowSigma)),
		shifted: deviation > 1,
	};
}
