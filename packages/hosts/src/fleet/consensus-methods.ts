import {APPEND_TIMEOUT_MS, SNAPSHOT_TIMEOUT_MS, VOTE_TIMEOUT_MS} from '../constants.js';
import {type ConsensusNode, ConsensusTransport} from '../consensus/index.js';
import type {PeerCaller} from '../membership/index.js';
import {
	bindMethod, defineMethod, type Method, type MethodHandler,
} from '../transport/index.js';
import {
	AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse, RequestVoteRequest, RequestVoteResponse,
} from '../types.js';

/** Methods of the consensus protocol. */
export const requestVoteMethod = defineMethod('Consensus', 'requestVote', RequestVoteRequest, RequestVoteResponse);
export const appendEntriesMethod = defineMethod('Consensus', 'appendEntries', AppendEntriesRequest, AppendEntriesResponse);
export const installSnapshotMethod = defineMethod('Consensus', 'installSnapshot', InstallSnapshotRequest, InstallSnapshotResponse);

/** Serves consensus messages of the other members. */
export function bindConsensus<Command, Result>(node: ConsensusNode<Command, Result>): readonly MethodHandler[] {
	return [
		bindMethod(requestVoteMethod, async req => node.handleRequestVote(req)),
		bindMethod(appendEntriesMethod, async req => node.handleAppendEntries(req)),
		bindMethod(installSnapshotMethod, async req => node.handleInstallSnapshot(req)),
	];
}

/** Sends consensus messages over the gRPC connections between hosts. */
export class GrpcConsensusTransport extends ConsensusTransport {
	constructor(private readonly peers: PeerCaller) {
		super();
	}

	override async requestVote(memberId: string, req: RequestVoteRequest): Promise<RequestVoteResponse> {
		return this.call(memberId, requestVoteMethod, req, VOTE_TIMEOUT_MS);
	}

	override async appendEntries(memberId: string, req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
		return this.call(memberId, appendEntriesMethod, req, APPEND_TIMEOUT_MS);
	}

	override async installSnapshot(memberId: string, req: InstallSnapshotRequest): Promise<InstallSnapshotResponse> {
		return this.call(memberId, installSnapshotMethod, req, SNAPSHOT_TIMEOUT_MS);
	}

	private async call<Req, Res>(memberId: string, method: Method<Req, Res>, req: Req, deadlineMs: number): Promise<Res> {
		const answer = await this.peers.call(memberId, method, req, deadlineMs);
		if (answer.isErr) {
			throw new Error(`${memberId} did not answer: ${answer.error.message}`);
		}

		return answer.value;
	}
}
