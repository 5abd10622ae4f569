import {
	answerCrashReport, type CrashAnswer, type CrashReport, type CrashTracker, CrashTransport,
} from '@egretrill/callers';
import type {PeerDirectory} from '@egretrill/hosts';
import {crashMethod} from '../methods.js';

export type DaemonCrashTransportOptions = {
	readonly hostId: string;
	readonly crashes: CrashTracker;
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
		const {hostId, crashes, peers, getLeaderId, notifyFollowers} = this.opts;
		const leaderId = getLeaderId();
		if (leaderId === undefined) {
			return undefined;
		}

		if (leaderId === hostId) {
			notifyFollowers();
			return answerCrashReport(crashes, report);
		}

		const answer = await peers.call(leaderId, crashMethod, report);
		return answer.isOk ? answer.value : undefined;
	}
}
