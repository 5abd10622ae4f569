import type {Verdict} from '@egretrill/common';
import type {RequestHead} from './forward-dialect.js';

/** One request of a caller, and the way back to it. */
export abstract class CallerExchange {
	abstract readonly head: RequestHead;
	/** Aborts when the caller has left. */
	abstract readonly callerDisconnected: AbortSignal;
	/** Reads the whole body; undefined when it is longer than allowed. */
	abstract readBody(maxBytes: number): Promise<Uint8Array | undefined>;
	/** Whether the caller has received the head of an answer. */
	abstract hasStarted(): boolean;
	/** Sends the head of a target's answer; the headers are names and values in turn. */
	abstract start(status: number, headers: readonly string[], bodyLength?: number): void;
	/** Resolves when the caller can take more. */
	abstract write(bytes: Uint8Array): Promise<void>;
	abstract end(): void;
	/** Closes the connection, so that a begun answer does not look complete. */
	abstract abort(): void;
	/** Sends a refusal or failure of this host. */
	abstract refuse(verdict: Verdict): void;
}
