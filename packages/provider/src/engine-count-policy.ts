import type {ScalingRange} from '@egretrill/common';
import {
	GROWTH_PERIOD_MS, GROWTH_STEP_RATIO, GROWTH_WHILE_STARTING_RATIO, MEAN_USE_RATIO, MIN_GROWTH_MEASUREMENT_MS, PEAK_USE_RATIO, SATURATED_GROWTH_RATIO, SATURATED_USE_RATIO, SHRINK_AFTER_CHANGE_MS, SHRINK_PERIOD_MS, SHRINK_STEP_RATIO, SHRINK_USE_RATIO,
} from './constants.js';
import type {ZoneUse} from './zone-use.js';

/** What decides on the number of engines of a service in a zone. */
export type ZoneState = {
	readonly range: ScalingRange;
	/** Engines that the zone has or that were ordered for it. */
	readonly current: number;
	/** Registered engines, without those that leave. */
	readonly live: number;
	/** Engines that were live and have been missing for longer than their start takes, such as withdrawn ones. */
	readonly missing: number;
	/** Whether ordered engines that are not live may still start. */
	readonly mayStillStart: boolean;
	readonly slotsPerEngine: number;
	readonly use: Pick<ZoneUse, 'getMeasuredMs' | 'getPeak' | 'getMean'>;
	/** Time since the last order was decided or sent, or since this leader began to measure. */
	readonly sinceChangeMs: number;
	/** Whether the zone's engines may be reduced: all hosts report, and no other zone was reduced a moment ago. */
	readonly mayShrink: boolean;
};

/** Decides on the number of engines of a zone. */
export abstract class EngineCountPolicy {
	/** Returns the number of engines that the zone is to have; the current one if nothing is to change. */
	abstract decide(state: ZoneState): number;
}

/** Keeps the use of slots between two bounds: grows as soon as the peak or the mean of a wave exceeds the upper one, and shrinks slowly once no peak of several waves exceeds the lower one. */
export class SlotUsePolicy extends EngineCountPolicy {
	override decide(state: ZoneState): number {
		const {current, missing, range: {min, max}, use} = state;
		const clamp = (count: number): number => Math.max(min, Math.min(max, count));
		if (clamp(current) !== current) {
			return clamp(current);
		}

		if (use.getMeasuredMs() < MIN_GROWTH_MEASUREMENT_MS) {
			return current;
		}

		// Missing engines are ordered in addition, since the last order still counts them.
		const present = current - missing;
		const needed = this.getNeeded(state);
		if (needed > present) {
			return this.isWorthOrdering(state, needed) ? clamp(Math.max(needed, Math.ceil(present * GROWTH_STEP_RATIO)) + missing) : current;
		}

		return clamp(current - this.getShrinkStep(state));
	}

	/** Returns the engines for which the peak and the mean of a wave stay within the upper bounds. Refused requests are in none of the counts, so a zone whose slots are all taken needs more than these show. */
	private getNeeded({live, slotsPerEngine, use}: ZoneState): number {
		const mean = use.getMean(GROWTH_PERIOD_MS);
		const forPeak = use.getPeak(GROWTH_PERIOD_MS) / (slotsPerEngine * PEAK_USE_RATIO);
		// The mean of a part of a wave may be its peak.
		const forMean = use.getMeasuredMs() < GROWTH_PERIOD_MS ? 0 : mean / (slotsPerEngine * MEAN_USE_RATIO);
		const forSaturated = mean >= live * slotsPerEngine * SATURATED_USE_RATIO ? live * SATURATED_GROWTH_RATIO : 0;
		return Math.ceil(Math.max(forPeak, forMean, forSaturated));
	}

	private isWorthOrdering({current, live, missing, range: {bootMs}, sinceChangeMs}: ZoneState, needed: number): boolean {
		const isStarting = live < current - missing && sinceChangeMs < bootMs;
		return !isStarting || needed >= current * GROWTH_WHILE_STARTING_RATIO;
	}

	private getShrinkStep({current, live, mayShrink, mayStillStart, missing, range: {min}, sinceChangeMs, slotsPerEngine, use}: ZoneState): number {
		// Engines that may still start change the use.
		const present = current - missing;
		const isSteady = (live >= present || !mayStillStart) && sinceChangeMs >= SHRINK_AFTER_CHANGE_MS && use.getMeasuredMs() >= SHRINK_PERIOD_MS;
		if (!mayShrink || !isSteady) {
			return 0;
		}

		const sufficient = Math.max(min, Math.ceil(use.getPeak(SHRINK_PERIOD_MS) / (slotsPerEngine * SHRINK_USE_RATIO)));
		return sufficient < present ? Math.max(1, Math.floor((present - sufficient) * SHRINK_STEP_RATIO)) : 0;
	}
}
