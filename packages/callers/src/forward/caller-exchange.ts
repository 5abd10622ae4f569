import type {Verdict} from '@egretrill/common';
import type {RequestHead} from './forward-dialect.js';

/** Reason of a disconnect by this host, which needs the memory of an answer that the caller does not read. */
export const UNREAD_ANSWER = 'unread-answer';

/** A caller's request and the channel for its answer. */
export abstract class CallerExchange {
	abstract readonly head: RequestHead;
	/** Aborts when the caller disconnects, or is disconnected because it does not read. */
	abstract readonly callerDisconnected: AbortSignal;
	/** Passes each chunk of the body on until that returns false; resolves with whether the body has been read to its end. */
	abstract readBody(onChunk: (chunk: Uint8Array) => boolean): Promise<boolean>;
	/** Whether the complete request, with its body, has arrived. */
	abstract isRequestComplete(): boolean;
	/** Whether the head of an answer has been sent. */
	abstract hasStarted(): boolean;
	/** Sends the head of a target's answer; the headers alternate names and values. */
	abstract start(status: number, headers: readonly string[], bodyLength?: number): void;
	/** Sets the signal that ends writes which wait for the caller; it must also abort when the caller disconnects. */
	abstract cancelWritesOn(signal: AbortSignal): void;
	/** Returns a promise if the caller cannot accept more data now: it resolves when the caller can, and rejects when the caller disconnects or the signal for waiting writes aborts. */
	abstract write(bytes: Uint8Array): Promise<void> | undefined;
	abstract end(): void;
	/** Closes the connection, so that a partial answer does not look complete. */
	abstract abort(): void;
	/** Sends a refusal or failure of this host. */
	abstract refuse(verdict: Verdict): void;
}
