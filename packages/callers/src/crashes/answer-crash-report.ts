import type {CrashTracker} from './crash-tracker.js';
import type {CrashAnswer, CrashReport} from './types.js';

/** Answers the report of a host, whose records have been joined: with what it does not know yet, and the probes that it may send. */
export function answerCrashReport(tracker: CrashTracker, {origin, revision, known, probeCandidates}: CrashReport): CrashAnswer {
	const probes = probeCandidates.filter(key => tracker.grantProbe(key));
	return {...tracker.getChanges(known), acknowledged: {origin, revision}, probes};
}
