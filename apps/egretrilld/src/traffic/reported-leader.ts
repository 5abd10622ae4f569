/** What a control host knows of who leads. */
export type LeaderObservation = {
	readonly hostId: string;
	/** Whether this host is a member of the log, as the leader told last. */
	readonly isMember: boolean;
	/** Whether this host leads and holds the lease. */
	readonly isLeading: boolean;
	/** Leader of the log's present term. */
	readonly logLeaderId: string | undefined;
	/** Leader that another control host named last. */
	readonly hintedLeaderId: string | undefined;
};

/** The leader that a control host names to others. A host that lost the leadership may still hear itself named by hosts that have not noticed. */
export function getReportedLeaderId({hostId, isMember, isLeading, logLeaderId, hintedLeaderId}: LeaderObservation): string | undefined {
	const candidateId = isMember ? logLeaderId ?? hintedLeaderId : hintedLeaderId ?? logLeaderId;
	return candidateId === hostId && !isLeading ? undefined : candidateId;
}
