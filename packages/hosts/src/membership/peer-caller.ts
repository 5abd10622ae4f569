import type {Result} from 'true-myth';
import type {Method, PeerCallError} from '../transport/index.js';

/** Calls other hosts by their id. */
export abstract class PeerCaller {
	abstract call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs?: number): Promise<Result<Res, PeerCallError>>;
	/** Known hosts that may become leader. */
	abstract getVoterIds(): readonly string[];
}
