import {
	decodeShareAnswer, encodeShareRequest, type ShareAnswer, type ShareRequest, ShareTransport,
} from '@egretrill/callers';
import type {PeerDirectory} from '@egretrill/hosts';
import {Result} from 'true-myth';
import {shareMethod} from '../methods.js';

/** Exchanges bucket shares with the leader over gRPC. */
export class GrpcShareTransport extends ShareTransport {
	constructor(private readonly peers: PeerDirectory, private readonly getLeaderId: () => string | undefined) {
		super();
	}

	override async exchange(_ownerId: string, req: ShareRequest, timeoutMs: number): Promise<Result<ShareAnswer, string>> {
		const leaderId = this.getLeaderId();
		if (leaderId === undefined) {
			return Result.err('The leader is not known.');
		}

		const answer = await this.peers.call(leaderId, shareMethod, encodeShareRequest(req), timeoutMs);
		return answer.map(wire => decodeShareAnswer(wire)).mapErr(err => err.message);
	}
}
