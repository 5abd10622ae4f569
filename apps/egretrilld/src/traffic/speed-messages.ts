import {
	MAX_TARGETS, type HostSpeeds, type SpeedObservation, type SpeedUpdate,
} from '@egretrill/engines';
import {z} from 'zod';

/** Factors of values that are sent as integers. */
const LOG_FACTOR = 1000;
const PERCENT = 100;

const count = z.int().nonnegative();
const KnownSpeeds = z.object({origin: z.string(), revision: count});

/** Streams that a host has observed since its last poll, and the revision of the speeds that it has received. */
export const SpeedReport = z.object({
	known: KnownSpeeds.optional(),
	/** By service: target, start time, model, number of streams, sum of the logarithms of their milliseconds per event, in thousandths. */
	observed: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), count, z.string(), count, z.int()])).max(MAX_TARGETS)])),
});
export type SpeedReport = z.infer<typeof SpeedReport>;

/** Speeds that have changed since the host received them: target, start time, percent of the mean speed; 0 if it is unknown again. */
export const SpeedPlan = z.object({...KnownSpeeds.shape, changed: z.array(z.tuple([z.string(), count, count])).max(MAX_TARGETS)});
export type SpeedPlan = z.infer<typeof SpeedPlan>;

/** Returns the report of a host, or undefined while none of its services reports current speeds. */
export function createSpeedReport(speeds: HostSpeeds): SpeedReport | undefined {
	const known = speeds.getKnown();
	return speeds.isAnyActive()
		? {
			...(known && {known}),
			observed: speeds.collect().map(([service, observations]) => [
				service, observations.map(({targetId, startedAtMs, model, count, logSum}) => [targetId, startedAtMs, model, count, Math.round(logSum * LOG_FACTOR)]),
			]),
		}
		: undefined;
}

/** Returns the observations of a report by service. */
export function fromSpeedReport({observed}: SpeedReport): ReadonlyArray<readonly [service: string, observations: readonly SpeedObservation[]]> {
	return observed.map(([service, rows]) => [service, rows.map(([targetId, startedAtMs, model, count, logSum]) => ({
		targetId, startedAtMs, model, count, logSum: logSum / LOG_FACTOR,
	}))]);
}

export function toSpeedPlan({changed, ...revision}: SpeedUpdate): SpeedPlan {
	return {...revision, changed: changed.map(({targetId, startedAtMs, speed}) => [targetId, startedAtMs, Math.round(speed * PERCENT)])};
}

export function fromSpeedPlan({changed, ...revision}: SpeedPlan): SpeedUpdate {
	return {...revision, changed: changed.map(([targetId, startedAtMs, percent]) => ({targetId, startedAtMs, speed: percent / PERCENT}))};
}
