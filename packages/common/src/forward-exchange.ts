import type {BodyFraming} from './target-client.js';

/** A target's answer whose body has not been read yet. */
export type TargetAnswer = {
	readonly status: number;
	/** Alternating header names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: AsyncIterable<Uint8Array>;
	/** How the end of the body is detected. */
	readonly framing: BodyFraming;
	/** Whether the connection has carried an earlier request, whose answer this may be. */
	readonly isConnectionReused: boolean;
	/** Whether the body arrived completely; valid only after it has been read. */
	readonly isComplete: () => boolean;
	/** Reads and discards the body of a short answer, so that the connection can be reused. */
	readonly discard: () => void;
	/** Closes the connection, which cancels the request at the target. */
	readonly destroy: () => void;
};

/** A request as it is sent to a target. */
export type OutgoingMessage = {
	readonly address: string;
	readonly method: string;
	readonly url: string;
	/** Alternating header names and values, written unchanged. */
	readonly headers: string[];
	readonly body: Uint8Array;
	/** Whether the request may use a keep-alive connection, which the target may have closed already. */
	readonly mayReuse: boolean;
};
