import type {Result} from 'true-myth';
import type {
	SendFailure, TargetAddress, TargetRequest, TargetResponse,
} from './target-client.js';

/** One step of a streamed answer, already checked against the request's id and sequence. */
export type StreamItem =
	| {readonly kind: 'chunk'; readonly seq: number; readonly data: string; readonly completionTokens?: number}
	| {readonly kind: 'heartbeat'}
	| {readonly kind: 'done'};

/** A streamed exchange that ended before its answer was whole. */
export class StreamBrokenError extends Error {
	override readonly name = 'StreamBrokenError';

	constructor(readonly failure: SendFailure, readonly status?: number) {
		super(failure.reason);
	}
}

/** Talks to model engines. */
export abstract class EngineChannel {
	/** Runs a completion whose answer comes as a whole. */
	abstract complete(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>>;
	/** Yields the chunks of a streamed completion in batches as they arrive; throws `StreamBrokenError` when the stream ends early. */
	abstract stream(target: TargetAddress, req: TargetRequest, signal: AbortSignal): AsyncGenerator<readonly StreamItem[], void>;
}
