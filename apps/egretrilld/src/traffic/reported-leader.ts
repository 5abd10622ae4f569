/** Information of a control host about the current leader. */
export type LeaderObservation = {
	readonly hostId: string;
	/** Whether this host is a member of the log, as last reported by the leader. */
	readonly isMember: boolean;
	/** Whether this host is the leader and holds the lease. */
	readonly isLeading: boolean;
	/** Leader of the log's current term. */
	readonly logLeaderId: string | undefined;
	/** Leader last reported by another control host. */
	readonly hintedLeaderId: string | undefined;
};

/** The leader that a control host reports to other hosts. Hosts that missed a change of leadership may still report this host as the leader after it has lost the leadership. */
export function getReportedLeaderId({hostId, isMember, isLeading, logLeaderId, hintedLeaderId}: LeaderObservation): string | undefined {
	const candidateId = isMember ? logLeaderId ?? hintedLeaderId : hintedLeaderId ?? logLeaderId;
	return candidateId === hostId && !isLeading ? undefined : candidateId;
}
