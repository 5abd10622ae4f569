import type {Result} from 'true-myth';
import type {
	SendFailure, TargetAddress, TargetRequest, TargetResponse,
} from './target-client.js';

/** One item of a streamed answer, already checked against the request's id and the expected sequence number. */
export type StreamItem =
	| {readonly kind: 'chunk'; readonly seq: number; readonly data: string; readonly completionTokens?: number; readonly isLastOfText?: boolean}
	| {readonly kind: 'heartbeat'}
	/** `hasNoChunks` marks the end of a resumed stream that brought no chunk of its request, which proves an end only after the last chunk. */
	| {readonly kind: 'done'; readonly hasNoChunks?: boolean};

/** A streamed exchange that ended before its answer was complete. */
export class StreamBrokenError extends Error {
	override readonly name = 'StreamBrokenError';

	constructor(readonly failure: SendFailure, readonly status?: number) {
		super(failure.reason);
	}
}

/** Sends requests to model engines. */
export abstract class EngineChannel {
	/** Runs a completion that is not streamed. */
	abstract complete(target: TargetAddress, req: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, SendFailure>>;
	/** Yields the chunks of a streamed completion in batches as they arrive; throws `StreamBrokenError` when the stream ends early. */
	abstract stream(target: TargetAddress, req: TargetRequest, signal: AbortSignal): AsyncGenerator<readonly StreamItem[], void>;
}
