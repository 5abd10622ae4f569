import type {CrashGate} from './crash-gate.js';
import type {CrashTracker} from './crash-tracker.js';
import type {CrashAnswer, CrashReport, CrashRevision} from './types.js';

const NOTHING: CrashRevision = {origin: '', revision: 0};

/** The later of two revisions; one of another origin replaces the known one. */
function getLater(known: CrashRevision, {origin, revision}: CrashRevision): CrashRevision {
	return known.origin === origin ? {origin, revision: Math.max(known.revision, revision)} : {origin, revision};
}

/** Exchanges the evidence of a host with that of the leader. Several reports may be under way, and their answers may come in any order. */
export class CrashExchange {
	/** Changes of the leader that this host has. */
	private known = NOTHING;
	/** Changes of this host that the leader has. */
	private acknowledged = NOTHING;

	constructor(private readonly tracker: CrashTracker, private readonly gate: CrashGate) {}

	/** Whether there is something to report: evidence that the leader lacks, or a request that waits to be sent as a probe. */
	hasReport(): boolean {
		return this.tracker.hasChanges(this.acknowledged) || this.gate.getProbeCandidates().length > 0;
	}

	createReport(): CrashReport {
		return {...this.tracker.getChanges(this.acknowledged), known: this.known, probeCandidates: [...this.gate.getProbeCandidates()]};
	}

	/** Applies the answer to a report; a leader that is new to this host gets all its evidence again. */
	applyAnswer({origin, revision, records, acknowledged, probes}: CrashAnswer): void {
		this.acknowledged = origin === this.known.origin ? getLater(this.acknowledged, acknowledged) : NOTHING;
		this.known = getLater(this.known, {origin, revision});
		this.tracker.mergeShared(records);
		for (const key of probes) {
			this.gate.allowProbe(key);
		}
	}
}
