import type {Result} from 'true-myth';
import type {Method, PeerCallError} from '../transport/index.js';

/** Calls other hosts by their id. */
export abstract class PeerCaller {
	abstract call<Req, Res>(hostId: string, method: Method<Req, Res>, req: Req, deadlineMs?: number): Promise<Result<Res, PeerCallError>>;
	/** Hosts that may lead, as far as this host knows them. */
	abstract getVoterIds(): readonly string[];
}
