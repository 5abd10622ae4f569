import type {Announcement} from '@egretrill/common';
import {MAX_PHASE_UTILISATION, PHASE_TIME_CONSTANT_MS} from './constants.js';
import type {PhaseLoad} from './types.js';

type PhaseTarget = Pick<Announcement, 'role' | 'load'>;

function getUtilisation(work: number, capacity: number): number {
	return work === 0 ? 0 : Math.min(MAX_PHASE_UTILISATION, work / Math.max(Number.EPSILON, capacity));
}

/** Measures how much of each phase's capacity is in use; undefined if no engine reports its phases separately. */
export function measurePhases(targets: readonly PhaseTarget[]): PhaseLoad | undefined {
	const measured = targets.filter(({load}) => load.prefilling !== undefined);
	if (measured.length === 0) {
		return undefined;
	}

	const limits = {prefill: 0, decode: 0, mixed: 0};
	let prefillWork = 0;
	let decodeWork = 0;
	for (const {role, load} of measured) {
		const {running, waiting, limit, prefilling = 0} = load;
		limits[role] += limit;
		prefillWork += prefilling + waiting;
		decodeWork += Math.max(0, running - prefilling);
	}

	// Mixed targets serve a phase with the capacity that the other phase leaves after using its own targets.
	const mixedLeftByDecode = Math.max(0, limits.mixed - Math.max(0, decodeWork - limits.decode));
	const mixedLeftByPrefill = Math.max(0, limits.mixed - Math.max(0, prefillWork - limits.prefill));
	return {
		prefillUtilisation: getUtilisation(prefillWork, limits.prefill + mixedLeftByDecode),
		decodeUtilisation: getUtilisation(decodeWork, limits.decode + mixedLeftByPrefill),
	};
}

/** Smooths a measurement exponentially with the earlier ones. */
export function smoothPhases(earlier: PhaseLoad | undefined, latest: PhaseLoad | undefined, elapsedMs: number): PhaseLoad | undefined {
	if (earlier === undefined || latest === undefined) {
		return latest;
	}

	const weight = 1 - Math.exp(-elapsedMs / PHASE_TIME_CONSTANT_MS);
	return {
		prefillUtilisation: earlier.prefillUtilisation + (weight * (latest.prefillUtilisation - earlier.prefillUtilisation)),
		decodeUtilisation: earlier.decodeUtilisation + (weight * (latest.decodeUtilisation - earlier.decodeUtilisation)),
	};
}
