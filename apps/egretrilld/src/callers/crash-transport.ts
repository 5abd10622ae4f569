import {
	answerCrashReport, type CrashAnswer, type CrashReport, type CrashTracker, CrashTransport,
} from '@egretrill/callers';
import type {PeerDirectory} from '@egretrill/hosts';
import type {CrashLog} from '../crash-log.js';
import {crashMethod} from '../methods.js';

export type DaemonCrashTransportOptions = {
	readonly hostId: string;
	readonly crashes: CrashTracker;
	/** Stores the evidence while this host leads; undefined on hosts without a member of the log. */
	readonly getCrashLog: () => CrashLog | undefined;
	readonly peers: Pick<PeerDirectory, 'call'>;
	readonly getLeaderId: () => string | undefined;
	/** Wakes the hosts that follow this one. */
	readonly notifyFollowers: () => void;
};

/** Sends evidence to the leader, which may be this host. */
export class DaemonCrashTransport extends CrashTransport {
	constructor(private readonly opts: DaemonCrashTransportOptions) {
		super();
	}

	override async send(report: CrashReport): Promise<CrashAnswer | undefined> {
		const {hostId, crashes, getCrashLog, peers, getLeaderId, notifyFollowers} = this.opts;
		const leaderId = getLeaderId();
		if (leaderId === undefined) {
			return undefined;
		}

		if (leaderId === hostId) {
			notifyFollowers();
			return answerCrashReport(crashes, report, await getCrashLog()?.grantProbes(report) ?? []);
		}

		const answer = await peers.call(leaderId, crashMethod, report);
		return answer.isOk ? answer.value : undefined;
	}
}
