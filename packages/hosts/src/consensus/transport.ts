import type {
	AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse, RequestVoteRequest, RequestVoteResponse,
} from '../types.js';

/** Calls to other members of the log; a call rejects when no valid answer came or the signal aborted. */
export abstract class ConsensusTransport {
	abstract requestVote(memberId: string, req: RequestVoteRequest, signal: AbortSignal): Promise<RequestVoteResponse>;
	abstract appendEntries(memberId: string, req: AppendEntriesRequest, signal: AbortSignal): Promise<AppendEntriesResponse>;
	abstract installSnapshot(memberId: string, req: InstallSnapshotRequest, signal: AbortSignal): Promise<InstallSnapshotResponse>;
}
