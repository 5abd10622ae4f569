import type {CrashGate} from './crash-gate.js';
import type {CrashTracker} from './crash-tracker.js';
import type {CrashRevision, CrashAnswer, CrashReport} from './types.js';

const NOTHING: CrashRevision = {origin: '', revision: 0};

/** Exchanges the evidence of a host with that of the leader. */
export class CrashExchange {
	/** Changes of the leader that this host has. */
	private known = NOTHING;
	/** Changes of this host that the leader has, and those in the report that has not been answered. */
	private acknowledged = NOTHING;
	private reported = NOTHING;

	constructor(private readonly tracker: CrashTracker, private readonly gate: CrashGate) {}

	/** Whether there is something to report: evidence that the leader lacks, or a request that waits to be sent as a probe. */
	hasReport(): boolean {
		return this.tracker.hasChanges(this.acknowledged) || this.gate.getProbeCandidates().length > 0;
	}

	createReport(): CrashReport {
		const {origin, revision, records} = this.tracker.getChanges(this.acknowledged);
		this.reported = {origin, revision};
		return {known: this.known, records, probeCandidates: [...this.gate.getProbeCandidates()]};
	}

	/** Applies the answer to the last report; a leader that is new to this host gets all its evidence again. */
	applyAnswer({origin, revision, records, probes}: CrashAnswer): void {
		this.acknowledged = origin === this.known.origin ? this.reported : NOTHING;
		this.known = {origin, revision};
		this.tracker.mergeShared(records);
		for (const key of probes) {
			this.gate.allowProbe(key);
		}
	}
}
