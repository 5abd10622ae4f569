import {
	BACKLOG_DRAIN_MS, MEDIUM_DEMAND_TIME_CONSTANT_MS, MIN_TRACKED_RATE_PER_S, QUICK_DEMAND_TIME_CONSTANT_MS, SHIFT_SIGMAS, SLOW_DEMAND_TIME_CONSTANT_MS,
} from './constants.js';
import type {DemandEstimate, DemandReport, WaitingCount} from './types.js';

const MS_PER_SECOND = 1000;

/** Exponentially decayed counts of the arrivals for one model or adapter, as of `atMs`. */
type DecayedCounts = {
	readonly model: string;
	readonly adapter?: string;
	readonly atMs: number;
	readonly quick: number;
	readonly medium: number;
	readonly slow: number;
};

function decay(counts: DecayedCounts, nowMs: number): DecayedCounts {
	const elapsedMs = nowMs - counts.atMs;
	return {
		...counts,
		atMs: nowMs,
		quick: counts.quick * Math.exp(-elapsedMs / QUICK_DEMAND_TIME_CONSTANT_MS),
		medium: counts.medium * Math.exp(-elapsedMs / MEDIUM_DEMAND_TIME_CONSTANT_MS),
		slow: counts.slow * Math.exp(-elapsedMs / SLOW_DEMAND_TIME_CONSTANT_MS),
	};
}

/** Counts arrivals of each model and adapter at one host, refused requests included. */
export class DemandEstimator {
	private counts = new Map<string, DecayedCounts>();

	constructor(private readonly startedAtMs: number) {}

	/** Counts one arrival; call it before any decision to refuse the request. */
	recordArrival(model: string, adapter: string | undefined, nowMs: number): void {
		this.add(model, undefined, nowMs);
		if (adapter !== undefined) {
			this.add(model, adapter, nowMs);
		}
	}

	/** Returns this host's rates and waiting requests for the zone owner and drops names that are no longer requested. */
	report(nowMs: number, waiting: ReadonlyMap<string, number> = new Map()): readonly DemandReport[] {
		const decayed = [...this.counts].map(([key, counts]) => [key, decay(counts, nowMs)] as const);
		const reports = decayed.map(([key, counts]) => ({key, counts, rates: this.getRates(counts, nowMs)}));
		const live = reports.filter(({key, rates}) => waiting.has(key) || Math.max(rates.quickPerS, rates.slowPerS) >= MIN_TRACKED_RATE_PER_S);
		this.counts = new Map(live.map(({key, counts}) => [key, counts]));
		return live.map(({key, counts, rates}) => ({
			model: counts.model, ...(counts.adapter !== undefined && {adapter: counts.adapter}), ...rates, waiting: waiting.get(key) ?? 0,
		}));
	}

	private add(model: string, adapter: string | undefined, nowMs: number): void {
		const key = getDemandKey(model, adapter);
		const counts = decay(this.counts.get(key) ?? {
			model, adapter, atMs: nowMs, quick: 0, medium: 0, slow: 0,
		}, nowMs);
		this.counts.set(key, {
			...counts, quick: counts.quick + 1, medium: counts.medium + 1, slow: counts.slow + 1,
		});
	}

	private getRates({quick, medium, slow}: DecayedCounts, nowMs: number): Pick<DemandReport, 'quickPerS' | 'mediumPerS' | 'slowPerS'> {
		return {
			quickPerS: quick * MS_PER_SECOND / this.getWindowMs(QUICK_DEMAND_TIME_CONSTANT_MS, nowMs),
			mediumPerS: medium * MS_PER_SECOND / this.getWindowMs(MEDIUM_DEMAND_TIME_CONSTANT_MS, nowMs),
			slowPerS: slow * MS_PER_SECOND / this.getWindowMs(SLOW_DEMAND_TIME_CONSTANT_MS, nowMs),
		};
	}

	/** Returns the effective window of a decayed count, which is shorter than its time constant until the estimator has run long enough. */
	private getWindowMs(timeConstantMs: number, nowMs: number): number {
		const ageMs = Math.max(nowMs - this.startedAtMs, MS_PER_SECOND);
		return timeConstantMs * (1 - Math.exp(-ageMs / timeConstantMs));
	}
}

/** Returns the key of the demand for a model or adapter. */
export function getDemandKey(model: string, adapter?: string): string {
	return adapter === undefined ? model : `${model}/${adapter}`;
}

/** Sums the hosts' rates and estimates for each name the demand and whether it has shifted. */
export function sumDemand(reports: readonly DemandReport[]): readonly DemandEstimate[] {
	const sums = new Map<string, DemandReport>();
	for (const report of reports) {
		const key = getDemandKey(report.model, report.adapter);
		const sum = sums.get(key);
		sums.set(key, {
			...report,
			quickPerS: report.quickPerS + (sum?.quickPerS ?? 0),
			mediumPerS: report.mediumPerS + (sum?.mediumPerS ?? 0),
			slowPerS: report.slowPerS + (sum?.slowPerS ?? 0),
			waiting: report.waiting + (sum?.waiting ?? 0),
		});
	}

	return [...sums.values()].map(sum => estimateDemand(sum));
}

/** Sums the requests that wait for each model over the hosts. */
export function sumWaiting(reports: readonly DemandReport[]): readonly WaitingCount[] {
	const counts = new Map<string, number>();
	for (const {model, adapter, waiting} of reports) {
		if (adapter === undefined && waiting > 0) {
			counts.set(model, (counts.get(model) ?? 0) + waiting);
		}
	}

	return [...counts].map(([model, count]) => ({model, count}));
}

/** Sums counts by name. */
export function sumCounts(...counts: ReadonlyArray<ReadonlyMap<string, number>>): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();
	for (const [name, count] of counts.flatMap(map => [...map])) {
		sums.set(name, (sums.get(name) ?? 0) + count);
	}

	return sums;
}

/** Adds the waiting requests to the demand for their models. */
export function addBacklog(demand: readonly DemandEstimate[], waiting: readonly WaitingCount[]): readonly DemandEstimate[] {
	const counts = new Map(waiting.map(({model, count}) => [model, count]));
	const measured = new Set(demand.filter(({adapter}) => adapter === undefined).map(({model}) => model));
	const unmeasured = waiting.filter(({model}) => !measured.has(model)).map(({model}): DemandEstimate => ({
		model, ratePerS: 0, sigmaPerS: 0, shifted: false,
	}));
	return [...demand, ...unmeasured].map(estimate => estimate.adapter === undefined
		? {...estimate, ratePerS: estimate.ratePerS + ((counts.get(estimate.model) ?? 0) * MS_PER_SECOND / BACKLOG_DRAIN_MS)}
		: estimate);
}

type RateEstimate = {readonly ratePerS: number; readonly sigmaPerS: number; readonly shifted: boolean};

function estimateDemand({
	model, adapter, quickPerS, mediumPerS, slowPerS,
}: DemandReport): DemandEstimate {
	const slowEstimate = {ratePerS: slowPerS, sigmaPerS: getSigma(slowPerS, SLOW_DEMAND_TIME_CONSTANT_MS), shifted: false};
	const mediumBlend = blendEstimates(slowEstimate, mediumPerS, MEDIUM_DEMAND_TIME_CONSTANT_MS);
	return {model, ...(adapter !== undefined && {adapter}), ...blendEstimates(mediumBlend, quickPerS, QUICK_DEMAND_TIME_CONSTANT_MS)};
}

/** Returns the standard deviation of a rate, from the variance of an exponentially decayed Poisson count. */
function getSigma(ratePerS: number, timeConstantMs: number): number {
	return Math.sqrt(ratePerS * MS_PER_SECOND / (2 * timeConstantMs));
}

/** Moves an estimate towards that of a shorter window, the more the less chance explains their difference. */
function blendEstimates(longer: RateEstimate, ratePerS: number, timeConstantMs: number): RateEstimate {
	const sigmaPerS = getSigma(Math.max(ratePerS, longer.ratePerS), timeConstantMs);
	const deviation = Math.abs(ratePerS - longer.ratePerS) / Math.max(Number.EPSILON, SHIFT_SIGMAS * Math.hypot(sigmaPerS, longer.sigmaPerS));
	// The estimates are blended, since switching between them would return to a stale rate before the longer one has converged.
	const weight = Math.min(1, deviation ** 2);
	return {
		ratePerS: longer.ratePerS + (weight * (ratePerS - longer.ratePerS)),
		sigmaPerS: longer.sigmaPerS + (weight * (sigmaPerS - longer.sigmaPerS)),
		shifted: longer.shifted || deviation > 1,
	};
}
