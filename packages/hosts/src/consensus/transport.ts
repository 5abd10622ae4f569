import type {
	AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse, RequestVoteRequest, RequestVoteResponse,
} from '../types.js';

/** Sends messages to other members; a call rejects if no valid answer is received or the signal is aborted. */
export abstract class ConsensusTransport {
	abstract requestVote(memberId: string, req: RequestVoteRequest, signal: AbortSignal): Promise<RequestVoteResponse>;
	abstract appendEntries(memberId: string, req: AppendEntriesRequest, signal: AbortSignal): Promise<AppendEntriesResponse>;
	abstract installSnapshot(memberId: string, req: InstallSnapshotRequest, signal: AbortSignal): Promise<InstallSnapshotResponse>;
}
