import type {CrashTracker} from './crash-tracker.js';
import type {CrashAnswer, CrashReport} from './types.js';

/** Grants the probes that are due of those that a host could send. */
export function grantProbes(tracker: CrashTracker, {probeCandidates}: CrashReport): readonly string[] {
	return probeCandidates.filter(key => tracker.grantProbe(key));
}

/** Answers the report of a host, whose records have been joined: with what it does not know yet, and the probes that it may send. */
export function answerCrashReport(tracker: CrashTracker, {origin, revision, known}: CrashReport, probes: readonly string[]): CrashAnswer {
	return {...tracker.getChanges(known), acknowledged: {origin, revision}, probes: [...probes]};
}
